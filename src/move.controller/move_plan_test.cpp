#include "move_plan.h"

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::move;
using nlohmann::json;

namespace {

struct MoveFixture {
    MoveFixture()
    {
        declare(Kind::Pool, "pricing", { { "slotsPerVm", 8 }, { "minVms", 1 }, { "spare", false } });
        declare(Kind::Pool, "misc", { { "slotsPerVm", 8 }, { "minVms", 1 }, { "spare", true } });
        addVm("p1", "pricing");
        for (auto name : { "m1", "m2", "m3" })
            addVm(name, "misc");
        demand["pricing"] = { 0, 12, 0 };
        demand["misc"] = { 0, 1, 0 };
        configure("reactive");
    }

    void configure(const std::string& policy)
    {
        declare(Kind::Configuration, "current", { { "policy", { { "move", { { "name", policy } } } } } });
    }

    void declare(Kind kind, const std::string& name, const json& spec)
    {
        Resource resource { kind, name };
        resource.spec = spec;
        catalogue.apply({ resource::specKey(kind, name), ++tableVersion, resource::encodeSpecRow(resource) });
    }

    void addVm(const std::string& name, const std::string& pool)
    {
        declare(Kind::Vm, name, { { "pool", pool } });
        vmReports[name] = { name, true, true };
        listedVms[name] = { name };
    }

    std::vector<controller::Action> planOnce()
    {
        return plan(
            { catalogue, vmReports, listedVms, taskReports, demand, TimePoint(std::chrono::hours(1)), 1 },
            plannerState);
    }

    Catalogue catalogue;
    TableVersion tableVersion = 0;
    std::map<std::string, VmReport> vmReports;
    std::map<std::string, ListedVm> listedVms;
    std::map<std::string, TaskReport> taskReports;
    std::map<std::string, controller::PoolDemand> demand;
    PlannerState plannerState;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(idleVmOfSparePoolIsMovedWithAConditionalWrite, MoveFixture)
{
    vmReports["m1"].runningRequests = 1;
    const auto actions = planOnce();
    BOOST_REQUIRE(actions.size() == 1u);
    const auto& transaction = std::get<controller::Commit>(actions[0]).transaction;
    BOOST_TEST(transaction.conditions.at(0).key == "f/s/vm/m2");
    BOOST_TEST(transaction.conditions.at(0).version == 0u);
    const auto status = json::parse(*transaction.writes.at(0).value);
    BOOST_TEST(status == (json { { "pool", "misc" }, { "phase", "in_service" }, { "moveTo", "pricing" } }));
    catalogue.apply({ "f/s/vm/m2", ++tableVersion, status.dump() });
    BOOST_TEST(planOnce().empty());
}

BOOST_FIXTURE_TEST_CASE(noVmMovesWithoutDemandOrPolicy, MoveFixture)
{
    configure("nonesuch");
    BOOST_TEST(planOnce().empty());
    configure("reactive");
    demand.clear();
    BOOST_TEST(planOnce().empty());
}

BOOST_FIXTURE_TEST_CASE(leavingOrUnreachableVmIsNotMoved, MoveFixture)
{
    for (auto name : { "m1", "m2" })
        vmReports[name].reachable = false;
    listedVms["m3"].state = ListedState::Leaving;
    BOOST_TEST(planOnce().empty());
}
