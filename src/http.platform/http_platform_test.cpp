/// Responses of the platform with odd entries.
#include <damaskworks/http.h>
#include <damaskworks/loop.h>
#include <damaskworks/platform.h>
#include <damaskworks/registry.h>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace damask;
using namespace std::chrono_literals;

namespace {

std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

/// A platform that sends one fixed body for each path.
struct PlatformFixture {
    PlatformFixture()
        : server(loop.base(), HttpLimits {},
            [this](const std::shared_ptr<HttpExchange>& exchange) {
                exchange->reply({ status, {}, bodies[exchange->request().path] });
            })
        , platform((*Registry<PlatformFactory>::instance().find("http"))(
              { loop.base(), { "127.0.0.1", *server.listen({ "127.0.0.1", 0 }) }, 5s, "test" }))
    {
    }

    /// Calls \p function with a callback and returns the result that this is called with.
    template <typename T, typename Function> PlatformResult<T> call(Function function)
    {
        std::optional<PlatformResult<T>> out;
        function([&](PlatformResult<T> result) { out = std::move(result); });
        BOOST_REQUIRE(loop.runUntil([&] { return out.has_value(); }, 10s));
        return *out;
    }

    PlatformResult<std::vector<ListedVm>> listVms()
    {
        return call<std::vector<ListedVm>>([this](auto callback) { platform->listVms(callback); });
    }

    Loop loop;
    std::map<std::string, std::string> bodies;
    int status = 200;
    HttpServer server;
    std::unique_ptr<Platform> platform;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(oddVmOfTheListHidesNoOther, PlatformFixture)
{
    for (const auto& odd : { std::string("{\"id\":7}"), std::string("{\"id\":\"v\",\"address\":5}"),
             std::string("{\"id\":\"v\",\"incarnation\":1e999}"),
             std::string("{\"id\":\"v\",\"incarnation\":-1}"), std::string("7"), std::string("null"),
             "{\"id\":\"v\",\"labels\":" + nested(100'000) + "}" }) {
        bodies["/vms"] = "{\"items\":[{\"id\":\"a\",\"role\":\"worker\",\"state\":\"live\"}," + odd
            + ",{\"id\":\"z\",\"state\":\"live\",\"address\":\"127.0.0.1:99999\"}]}";
        const auto vms = listVms();
        BOOST_REQUIRE(vms.has_value());
        BOOST_REQUIRE(vms->size() == 2u);
        BOOST_TEST(vms->front().id == "a");
        BOOST_TEST(vms->back().id == "z");
        BOOST_TEST(vms->back().address.port == 0u);
    }
}

BOOST_FIXTURE_TEST_CASE(oddReportOnAVmHidesNoOther, PlatformFixture)
{
    bodies["/reports/vms"]
        = "{\"items\":[{\"id\":\"a\",\"reachable\":true},{\"id\":\"v\",\"runningTasks\":-1},"
          "{\"id\":\"w\",\"runningRequests\":1e999},{\"id\":\"z\",\"reachable\":true}]}";
    const auto reports
        = call<std::vector<VmReport>>([this](auto callback) { platform->readVmReports(callback); });
    BOOST_REQUIRE(reports.has_value());
    BOOST_REQUIRE(reports->size() == 2u);
    BOOST_TEST(reports->back().id == "z");
}

// A task without a report counts as lost and is run again, so that none may be left out.
BOOST_FIXTURE_TEST_CASE(oddReportOnATaskIsNoMissingReport, PlatformFixture)
{
    const auto read = [this](const std::string& odd) {
        bodies["/reports/tasks"]
            = "{\"items\":[{\"task\":\"t1\",\"vm\":\"a\",\"state\":\"running\"," + odd + "}]}";
        return call<std::vector<TaskReport>>([this](auto callback) { platform->readTaskReports(callback); });
    };
    for (const auto& odd : { std::string("\"cpuUsed\":1e999"), std::string("\"cpuUsed\":\"much\""),
             "\"memoryUsedMb\":" + nested(100'000) }) {
        const auto reports = read(odd);
        BOOST_REQUIRE(reports.has_value());
        BOOST_REQUIRE(reports->size() == 1u);
        BOOST_TEST(reports->front().task == "t1");
        BOOST_TEST((reports->front().state == TaskState::Running));
    }
    BOOST_TEST(!read("\"job\":7").has_value());
    BOOST_TEST(!read("\"checkpointed\":\"no\"").has_value());
}

// The type error left the callback of the event loop and ended the daemon.
BOOST_FIXTURE_TEST_CASE(oddErrorBodyIsStillTheError, PlatformFixture)
{
    status = 409;
    for (const auto& odd : { std::string("{\"key\":7}"), std::string("{\"key\":\"k\",\"version\":\"1\"}"),
             std::string("{\"key\":\"k\",\"version\":-1}"), "{\"other\":" + nested(100'000) + "}" }) {
        bodies["/table/commit"] = odd;
        const auto result
            = call<TableVersion>([this](auto callback) { platform->commit(Transaction {}, callback); });
        BOOST_REQUIRE(!result.has_value());
        BOOST_TEST((result.error().failure == PlatformFailure::Conflict));
    }
}

BOOST_FIXTURE_TEST_CASE(deeplyNestedResponseIsMalformed, PlatformFixture)
{
    for (const auto* path : { "/vms", "/table/rows" }) {
        for (const auto* member : { "items", "rows", "other" })
            bodies[path]
                += (bodies[path].empty() ? "{\"" : ",\"") + std::string(member) + "\":" + nested(500'000);
        bodies[path] += "}";
    }
    const auto rows = call<Changes>([this](auto callback) { platform->readRows("f/", callback); });
    BOOST_TEST(!rows.has_value());
    const auto vms = listVms();
    BOOST_TEST((!vms || vms->empty()));
}
