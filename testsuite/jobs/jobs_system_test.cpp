/// \file
/// Jobs on real processes: created through the API, placed, run, preempted and cancelled.
#include "../harness/fleet.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace damask;
using namespace damask::harness;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const std::vector<std::string> shortPeriodFlags { "--report_period_ms=100", "--lease_ms=1500" };

struct JobFixture {
    JobFixture()
    {
        fleet.startEndpoints("east", { "e1", "e2" });
        fleet.startDaemon("a", "east", shortPeriodFlags);
        fleet.startDaemon("b", "east", shortPeriodFlags);
        fleet.publishVmList();
        admin = fleet.daemon("a").admin;
        fleet.declarePool(admin, "imaging", { "e1", "e2" });
    }

    void declare(const std::string& name, double cpu, const std::string& command,
        const std::string& priority = "normal")
    {
        fleet.create(admin, "jobs", name,
            { { "pool", "imaging" }, { "cpu", cpu }, { "memoryMb", 100 }, { "command", command },
                { "priority", priority } });
    }

    json status(const std::string& job)
    {
        return fleet.callJson(admin, "GET", "/v1/jobs/" + job).second.value("status", json::object());
    }

    bool reachesPhase(const std::string& job, const std::string& phase, std::chrono::milliseconds limit = 20s)
    {
        return fleet.eventually([&] { return status(job).value("phase", "") == phase; }, limit);
    }

    void cancel(const std::string& job)
    {
        auto resource = fleet.callJson(admin, "GET", "/v1/jobs/" + job).second;
        resource["spec"]["cancelled"] = true;
        const json change
            = { { "resourceVersion", resource["resourceVersion"] }, { "spec", resource["spec"] } };
        BOOST_REQUIRE(fleet.callJson(admin, "PUT", "/v1/jobs/" + job, change).first == 200);
    }

    /// Number of tasks that the endpoints started for the job.
    int startCount(const std::string& job)
    {
        int count = 0;
        for (auto id : { "e1", "e2" }) {
            for (const auto& run : fleet.runsOf(id))
                count += run.value("method", "") == "TASK" && run.value("path", "") == job;
        }
        return count;
    }

    Fleet fleet;
    Address admin;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(jobRunsOnceAndFinishes, JobFixture)
{
    declare("wipe", 1, "finish 200");
    BOOST_TEST(reachesPhase("wipe", "succeeded"), status("wipe").dump());
    BOOST_TEST(startCount("wipe") == 1);
}

BOOST_FIXTURE_TEST_CASE(unschedulableJobIsReportedAndDoesNotBlockOthers, JobFixture)
{
    declare("huge", 1000, "finish 1", "urgent");
    declare("small", 1, "finish 1", "low");
    BOOST_TEST(reachesPhase("huge", "unschedulable"));
    BOOST_TEST(status("huge")["conditions"].at(0) == "larger than any VM of pool imaging");
    BOOST_TEST(reachesPhase("small", "succeeded"), status("small").dump());
}

BOOST_FIXTURE_TEST_CASE(failingJobFailsAfterItsLastAttempt, JobFixture)
{
    declare("broken", 1, "fail 1");
    BOOST_TEST(reachesPhase("broken", "failed"), status("broken").dump());
    BOOST_TEST(startCount("broken") == 3);
}

BOOST_FIXTURE_TEST_CASE(cancelledJobsReachTheCancelledPhase, JobFixture)
{
    for (auto name : { "x", "y", "z" })
        declare(name, 12, "run");
    BOOST_TEST((reachesPhase("x", "running") && reachesPhase("y", "running")));
    for (auto name : { "x", "y", "z" })
        cancel(name);
    for (auto name : { "x", "y", "z" })
        BOOST_TEST(reachesPhase(name, "cancelled"), status(name).dump());
}

BOOST_FIXTURE_TEST_CASE(urgentJobPreemptsLowerPriorityJobsInTime, JobFixture)
{
    declare("low-a", 16, "run", "low");
    declare("low-b", 16, "run", "low");
    BOOST_REQUIRE((reachesPhase("low-a", "running") && reachesPhase("low-b", "running")));
    declare("recall", 16, "finish 100000", "urgent");
    BOOST_TEST(fleet.eventually([&] { return startCount("recall") == 1; }, 3600ms), status("recall").dump());
    BOOST_TEST(reachesPhase("recall", "running"));
    BOOST_TEST((reachesPhase("low-a", "queued", 1s) || reachesPhase("low-b", "queued", 1s)));
}

BOOST_FIXTURE_TEST_CASE(jobRunsOnceAlthoughTheLeaseHolderIsSuspended, JobFixture)
{
    declare("long", 1, "finish 6000");
    BOOST_REQUIRE(reachesPhase("long", "running"));
    fleet.daemon("a").process->signal(SIGSTOP);
    admin = fleet.daemon("b").admin;
    declare("next", 1, "finish 100");
    BOOST_TEST(reachesPhase("next", "succeeded"), status("next").dump());
    fleet.daemon("a").process->signal(SIGCONT);
    BOOST_TEST(reachesPhase("long", "succeeded"), status("long").dump());
    BOOST_TEST(startCount("long") == 1);
    BOOST_TEST(startCount("next") == 1);
}
