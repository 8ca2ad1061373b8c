/// \file
/// Several daemons that share one endpoint, on real processes.
#include "../harness/fleet.h"

#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace damask;
using namespace damask::harness;
using nlohmann::json;

namespace {

constexpr int endpointSlots = 8;
constexpr int requestsPerDaemon = 12;

struct SharedEndpointFixture {
    SharedEndpointFixture()
    {
        fleet.startEndpoints("east", { "e1" });
        for (const auto& node : nodes)
            fleet.startDaemon(node, "east");
        fleet.publishVmList();
        const auto admin = fleet.daemon("a").admin;
        fleet.declarePool(admin, "pricing", { "e1" });
        fleet.create(admin, "configurations", "current",
            { { "routes", { { { "prefix", "/pricing" }, { "pool", "pricing" } } } } });
        fleet.call(fleet.endpoint("e1").address, { "POST", "/_control/mode", "", {}, R"({"mode":"hang"})" });
    }

    /// Sum of a metric over the daemons; nothing if a daemon does not report it.
    std::optional<double> total(const std::string& metric)
    {
        double sum = 0;
        for (const auto& node : nodes) {
            const auto result = fleet.call(fleet.daemon(node).admin, { "GET", "/metrics" });
            const auto at = result ? result->body.find("\n" + metric + " ") : std::string::npos;
            if (at == std::string::npos)
                return std::nullopt;
            sum += std::stod(result->body.substr(at + metric.size() + 2));
        }
        return sum;
    }

    const std::vector<std::string> nodes { "a", "b", "c" };
    Fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(daemonsTogetherStayWithinTheSlotsOfAnEndpoint, SharedEndpointFixture)
{
    BOOST_REQUIRE(fleet.eventually([&] { return total("damask_configuration_generation") == 3.0; }));
    BOOST_REQUIRE(fleet.eventually([&] { return total("damask_pool_slots{pool=\"pricing\"}") == 8.0; }));
    std::size_t ended = 0;
    for (const auto& node : nodes) {
        for (int i = 0; i < requestsPerDaemon; ++i)
            fleet.client().send(fleet.daemon(node).callers,
                { "POST", "/pricing/quote", "", { { "X-Request-Id", node + std::to_string(i) } }, "cake" },
                std::chrono::seconds(30), [&](const HttpResult&) { ++ended; });
    }
    const double requestCount = requestsPerDaemon * double(nodes.size());
    BOOST_REQUIRE(fleet.eventually([&] { return total("damask_requests_total") == requestCount; }));
    BOOST_TEST(ended == 0u);
    BOOST_REQUIRE(fleet.eventually([&] { return fleet.runsOf("e1").size() >= endpointSlots; }));
    BOOST_TEST(fleet.runsOf("e1").size() == std::size_t(endpointSlots));
}
