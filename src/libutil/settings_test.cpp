#include <boost/test/unit_test.hpp>

#include <damaskworks/settings.h>

#include <absl/flags/flag.h>
#include <array>
#include <cstdlib>

ABSL_FLAG(int, test_count, 3, "Number of items, an integer.");
ABSL_FLAG(bool, test_verbose, false, "Whether to log details.");

using namespace damask;

namespace {

constexpr std::array<std::string_view, 2> settingNames { "test_count", "test_verbose" };

SettingsResult readArguments(std::vector<std::string> arguments)
{
    std::vector<char*> pointers;
    for (auto& argument : arguments)
        pointers.push_back(argument.data());
    return settings::read(pointers, "DAMASKTEST_", settingNames);
}

} // namespace

BOOST_AUTO_TEST_CASE(flagWinsOverEnvironment)
{
    setenv("DAMASKTEST_TEST_COUNT", "7", 1);
    BOOST_TEST(readArguments({}).errors.empty());
    BOOST_TEST(absl::GetFlag(FLAGS_test_count) == 7);
    BOOST_TEST(readArguments({ "--test_count=9", "--test_verbose", "word" }).positional.size() == 1u);
    BOOST_TEST(absl::GetFlag(FLAGS_test_count) == 9);
    BOOST_TEST(absl::GetFlag(FLAGS_test_verbose));
    unsetenv("DAMASKTEST_TEST_COUNT");
}

BOOST_AUTO_TEST_CASE(everyInvalidSettingIsReported)
{
    setenv("DAMASKTEST_TEST_COUNT", "many", 1);
    auto result = readArguments({ "--test_verbose=perhaps", "--no_such_flag=1" });
    unsetenv("DAMASKTEST_TEST_COUNT");
    BOOST_TEST(result.errors.size() == 3u);
    BOOST_TEST(settings::describe(result.errors[0]).find("DAMASKTEST_TEST_COUNT") != std::string::npos);
}
