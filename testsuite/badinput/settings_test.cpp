/// \file
/// Invalid settings and command lines with the real binaries.
#include "../harness/process.h"

#include <boost/test/unit_test.hpp>

using namespace damask::harness;

namespace {

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(daemonReportsAllInvalidSettingsAtOnce)
{
    const auto result
        = runCommand({ binary("damaskd"), "--node=Bad Name", "--listen=nowhere", "--poll_period_ms=99999",
                         "--log_level=loud", "--no_such_flag=1", "word" },
            { "DAMASKD_PLATFORM_TIMEOUT_MS=many" });
    BOOST_TEST(result.exitCode == 2);
    for (auto setting : { "setting node: value 'Bad Name'", "setting listen: value 'nowhere'",
             "setting poll_period_ms: value '99999'", "setting log_level: value 'loud'",
             "setting --no_such_flag", "setting argument: value 'word'",
             "setting DAMASKD_PLATFORM_TIMEOUT_MS: value 'many'", "setting platform: value ''",
             "setting data_centre: value ''" })
        BOOST_TEST(contains(result.output, setting), setting << " is missing in:\n" << result.output);
}

// Nothing can be reached at port 0; a daemon without a platform ran, but never became ready.
BOOST_AUTO_TEST_CASE(numbersAndPortsOutOfRangeAreReported)
{
    const auto result
        = runCommand({ binary("damaskd"), "--node=a", "--data_centre=east", "--platform=127.0.0.1:0",
            "--peers=127.0.0.1:1,127.0.0.1:0", "--peer_advertise=127.0.0.1:65536", "--listen=127.0.0.1:65536",
            "--lease_ms=99999999999", "--poll_period_ms=-1", "--stop_timeout_ms=1e300" });
    BOOST_TEST(result.exitCode == 2);
    for (auto setting : { "setting platform: value '127.0.0.1:0'", "setting peers: value '127.0.0.1:0'",
             "setting peer_advertise: value '127.0.0.1:65536'", "setting listen: value '127.0.0.1:65536'",
             "setting --lease_ms: value '99999999999'", "setting poll_period_ms: value '-1'",
             "setting --stop_timeout_ms: value '1e300'" })
        BOOST_TEST(contains(result.output, setting), setting << " is missing in:\n" << result.output);
    BOOST_TEST(runCommand({ binary("damaskctl"), "list", "pools", "--server=127.0.0.1:0" }).exitCode == 2);
}

BOOST_AUTO_TEST_CASE(flagOverridesEnvironment)
{
    const auto result = runCommand({ binary("damaskd"), "--print_settings", "--node=a", "--data_centre=east",
                                       "--platform=127.0.0.1:1", "--poll_period_ms=50" },
        { "DAMASKD_POLL_PERIOD_MS=70", "DAMASKD_STOP_TIMEOUT_MS=123" });
    BOOST_TEST(result.exitCode == 0);
    BOOST_TEST(contains(result.output, "poll_period_ms=50\n"));
    BOOST_TEST(contains(result.output, "stop_timeout_ms=123\n"));
}

BOOST_AUTO_TEST_CASE(invalidTraceTargetIsReported)
{
    const auto result = runCommand({ binary("damaskd"), "--node=a", "--data_centre=east",
        "--platform=127.0.0.1:1", "--listen=127.0.0.1:0", "--admin_listen=127.0.0.1:0",
        "--peer_listen=127.0.0.1:0", "--trace_exporter=http", "--trace_target=nowhere" });
    BOOST_TEST(result.exitCode == 1);
    BOOST_TEST(contains(result.output, "trace_target nowhere"));
}

BOOST_AUTO_TEST_CASE(helpExplainsEverySettingAndCommand)
{
    BOOST_TEST(contains(runCommand({ binary("damaskd"), "--help" }).output, "DAMASKD_DATA_CENTRE"));
    const auto help = runCommand({ binary("damaskctl"), "help" });
    BOOST_TEST(help.exitCode == 0);
    for (auto command : { "create", "get", "list", "replace", "delete", "watch", "rollout", "status" }) {
        BOOST_TEST(contains(help.output, command));
        BOOST_TEST(contains(runCommand({ binary("damaskctl"), "help", command }).output,
            std::string("Usage: damaskctl ") + command));
    }
}

BOOST_AUTO_TEST_CASE(invalidCommandLinesHaveExitCodeTwo)
{
    const std::string server = "--server=127.0.0.1:1";
    const std::vector<std::vector<std::string>> invalidCommandLines {
        {},
        { "nonsense", server },
        { "get", "pool", server },
        { "list", "colours", server },
        { "list", "pools" },
        { "list", "pools", "--server=here" },
        { "list", "pools", server, "--output=xml" },
        { "create", "pool", "p", server, "--spec=[" },
        { "create", "pool", "p", server, "--file=/nonexistent" },
    };
    for (const auto& words : invalidCommandLines) {
        std::vector<std::string> arguments { binary("damaskctl") };
        arguments.insert(arguments.end(), words.begin(), words.end());
        const auto result = runCommand(arguments);
        BOOST_TEST(result.exitCode == 2, "got " << result.exitCode << ": " << result.output);
        BOOST_TEST(!result.output.empty());
    }
    BOOST_TEST(runCommand({ binary("damaskctl"), "list", "pools", server }).exitCode == 6);
}
