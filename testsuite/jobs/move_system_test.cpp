/// \file
/// A VM of a spare pool moves to a pool whose demand exceeds its capacity, on real processes.
#include "../harness/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::harness;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int requestsInFlight = 14;

json moveConfiguration()
{
    return { { "routes", { { { "prefix", "/pricing" }, { "pool", "pricing" } } } },
        { "policy", { { "move", { { "name", "reactive" } } } } } };
}

json vmStatus(Fleet& fleet, const std::string& vm)
{
    const auto answer = fleet.callJson(fleet.daemon("a").admin, "GET", "/v1/vms/" + vm).second;
    return answer.value("status", json::object());
}

} // namespace

BOOST_AUTO_TEST_CASE(spareVmMovesToTheOverloadedPoolAndServesIt)
{
    Fleet fleet;
    fleet.startEndpoints("east", { "p1", "m1", "m2", "m3" });
    fleet.startDaemon("a", "east", { "--report_period_ms=100", "--lease_ms=1500" });
    fleet.publishVmList();
    const auto admin = fleet.daemon("a").admin;
    fleet.declarePool(admin, "pricing", { "p1" });
    fleet.declarePool(admin, "misc", { "m1", "m2", "m3" }, { { "spare", true } });
    fleet.create(admin, "budgets", "misc", { { "pool", "misc" }, { "maxUnavailable", 1 } });
    fleet.create(admin, "configurations", "current", moveConfiguration());
    const auto isServed = [&] {
        auto result = fleet.call(fleet.daemon("a").callers, { .path = "/pricing" });
        return result && result->status == 200;
    };
    BOOST_REQUIRE(fleet.eventually(isServed));
    fleet.call(fleet.endpoint("p1").address, { "POST", "/_control/mode", "", {}, R"({"mode":"hang"})" });
    int responseCount = 0;
    for (int i = 0; i < requestsInFlight; ++i)
        fleet.client().send(fleet.daemon("a").callers, { .path = "/pricing" }, 20s,
            [&](const HttpResult&) { ++responseCount; });
    const auto movedVmCount = [&] {
        int count = 0;
        for (auto vm : { "m1", "m2", "m3" }) {
            const auto status = vmStatus(fleet, vm);
            count += status.value("pool", "") == "pricing" && status.value("phase", "") == "in_service";
        }
        return count;
    };
    BOOST_TEST(fleet.eventually([&] { return movedVmCount() >= 1; }),
        vmStatus(fleet, "m1").dump() << vmStatus(fleet, "m2").dump() << vmStatus(fleet, "m3").dump());
    BOOST_TEST(fleet.eventually([&] { return responseCount == requestsInFlight; }, 30s));
}
