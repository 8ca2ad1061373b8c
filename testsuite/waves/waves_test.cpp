/// \file
/// Maintenance waves and VM moves on real processes under a steady request load.
#include "../harness/fleet.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <set>

using namespace damask;
using namespace damask::harness;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::size_t budget = 2;

struct WaveFixture {
    WaveFixture()
    {
        fleet.startEndpoints("east", { "e0", "e1", "e2", "e3", "e4", "e5", "m0", "m1" });
        for (const auto& node : liveNodes)
            fleet.startDaemon(node, "east", { "--lease_ms=1500", "--report_period_ms=100" });
        fleet.publishVmList();
        const auto admin = fleet.daemon("a").admin;
        fleet.declarePool(admin, "pricing", vms);
        fleet.declarePool(admin, "misc", { "m0", "m1" });
        fleet.create(admin, "budgets", "pricing", { { "pool", "pricing" }, { "maxUnavailable", budget } });
        fleet.create(admin, "configurations", "current",
            { { "routes", { { { "prefix", "/pricing" }, { "pool", "pricing" } } } },
                { "policy",
                    { { "maintenance",
                        { { "reportLagMs", 300 }, { "drainNoticeMs", 400 }, { "routeLagMs", 1000 } } } } } });
        for (const auto& vm : vms)
            sendControl(vm, "mode", { { "delayMs", 15 } });
        BOOST_REQUIRE(fleet.eventually([&] { return isServed(); }));
        BOOST_REQUIRE(fleet.eventually([&] { return !leaseHolder("pool/pricing").empty(); }));
        sentIds.clear();
        initialRuns = fleet.runCountsById();
    }

    json sendControl(const std::string& vm, const std::string& command, const json& body)
    {
        return fleet.callJson(fleet.endpoint(vm).address, "POST", "/_control/" + command, body).second;
    }

    json history() { return fleet.callJson(fleet.platform(), "GET", "/admin/history").second; }

    std::string leaseHolder(const std::string& lease) { return leaseRow(lease).value("holder", ""); }

    json leaseRow(const std::string& lease)
    {
        json out = json::object();
        const auto rows = history()["rows"];
        for (const auto& row : rows) {
            if (row["key"] == "l/" + lease)
                out = json::parse(row["value"].get<std::string>());
        }
        return out;
    }

    bool isServed()
    {
        for (const auto& node : liveNodes) {
            if (!send(node))
                return false;
        }
        return true;
    }

    bool send(const std::string& node)
    {
        const auto id = "r" + std::to_string(nextId++);
        const auto result = fleet.call(
            fleet.daemon(node).callers, { "POST", "/pricing/quote", "", { { "X-Request-Id", id } }, "cake" });
        sentIds.insert(id);
        BOOST_TEST_INFO(
            id << ": " << (result ? std::to_string(result->status) + " " + result->body : "no response"));
        return result && result->status == 200;
    }

    /// Sends one request through each daemon and checks that the unavailable VMs stay within the budget.
    void sendAndCheckBudget()
    {
        for (const auto& node : liveNodes)
            BOOST_TEST(send(node), "a request through " << node << " did not succeed");
        std::set<std::string> unavailable;
        for (const auto& vm : vms) {
            const auto report = sendControl(vm, "report", json::object())["report"];
            if (report.value("draining", false) || !report.value("healthy", false))
                unavailable.insert(vm + "#" + std::to_string(report.value("incarnation", 0)));
        }
        // A VM that is unavailable in two samples with the same incarnation was unavailable between them.
        std::size_t inBoth = 0;
        for (const auto& vm : unavailable)
            inBoth += previousUnavailable.contains(vm);
        BOOST_TEST(inBoth <= budget);
        previousUnavailable = unavailable;
    }

    json wave() { return fleet.callJson(fleet.daemon(liveNodes[0]).admin, "GET", "/v1/waves/w").second; }

    std::size_t doneVmCount() { return wave()["status"].value("done", 0u); }

    void startWave()
    {
        fleet.create(fleet.daemon(liveNodes[0]).admin, "waves", "w", { { "pool", "pricing" } });
    }

    bool sendUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit = 60s)
    {
        return fleet.eventually(
            [&] {
                sendAndCheckBudget();
                return condition();
            },
            limit);
    }

    bool isFinished() { return wave()["status"].value("phase", "") == "finished"; }

    /// Checks the invariants of every test case: each request ran once and the history of the table is valid.
    void checkInvariants()
    {
        for (const auto& [id, runs] : fleet.runCountsById()) {
            if (sentIds.contains(id))
                BOOST_TEST(runs == 1, id << " ran " << runs << " times");
        }
        BOOST_TEST(fleet.runCountsById().size() - initialRuns.size() == sentIds.size());
        checkHistory();
    }

    /// Replays the history of the table: the budget holds at each version, and only lease holders write
    /// statuses.
    void checkHistory()
    {
        std::map<std::string, std::string> fenceHolders;
        std::map<std::string, std::string> phases;
        std::map<std::uint64_t, std::vector<json>> commits;
        const auto history = this->history();
        for (const auto& row : history["rows"])
            commits[row["version"].get<std::uint64_t>()].push_back(row);
        for (const auto& [version, rows] : commits) {
            std::string writer;
            std::string pool;
            for (const auto& row : rows) {
                const auto key = row["key"].get<std::string>();
                if (key.starts_with("o/") && !row["deleted"])
                    writer = key.substr(2, key.find('/', 2) - 2);
                const auto value = json::parse(row["value"].get<std::string>(), nullptr, false);
                if (key.starts_with("e/pool/"))
                    fenceHolders[key.substr(7)] = value.value("holder", "");
                if (key.starts_with("f/s/pool/"))
                    pool = key.substr(9);
                if (key.starts_with("f/s/vm/e"))
                    phases[key] = value.value("phase", "");
            }
            if (!pool.empty())
                BOOST_TEST(
                    writer == fenceHolders[pool], "version " << version << " was written by " << writer);
            std::size_t unavailable = 0;
            for (const auto& [vm, phase] : phases)
                unavailable += phase != "in_service";
            BOOST_TEST(unavailable <= budget, "version " << version);
        }
    }

    void checkAllRebooted()
    {
        for (const auto& vm : vms)
            BOOST_TEST(sendControl(vm, "report", json::object())["report"]["incarnation"] == 2, vm);
    }

    std::vector<std::string> vms { "e0", "e1", "e2", "e3", "e4", "e5" };
    std::vector<std::string> liveNodes { "a", "b", "c" };
    Fleet fleet;
    int nextId = 0;
    std::set<std::string> sentIds;
    std::map<std::string, int> initialRuns;
    std::set<std::string> previousUnavailable;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(waveFinishesUnderLoad, WaveFixture)
{
    startWave();
    BOOST_TEST(sendUntil([&] { return isFinished(); }));
    checkAllRebooted();
    checkInvariants();
}

BOOST_FIXTURE_TEST_CASE(killedHolderIsReplacedAndTheWaveFinishes, WaveFixture)
{
    startWave();
    BOOST_REQUIRE(sendUntil([&] { return doneVmCount() >= 1; }));
    const auto killed = leaseHolder("pool/pricing");
    std::erase(liveNodes, killed);
    fleet.daemon(killed).process->signal(SIGKILL);
    BOOST_TEST(sendUntil([&] { return isFinished(); }));
    BOOST_TEST(leaseHolder("pool/pricing") != killed);
    checkAllRebooted();
    checkInvariants();
}

BOOST_FIXTURE_TEST_CASE(suspendedHolderDoesNotDisturbTheWave, WaveFixture)
{
    startWave();
    BOOST_REQUIRE(sendUntil([&] { return doneVmCount() >= 1; }));
    const auto suspended = leaseHolder("pool/pricing");
    const auto all = liveNodes;
    std::erase(liveNodes, suspended);
    fleet.daemon(suspended).process->signal(SIGSTOP);
    BOOST_REQUIRE(sendUntil([&] { return leaseHolder("pool/pricing") != suspended; }));
    fleet.daemon(suspended).process->signal(SIGCONT);
    BOOST_TEST(sendUntil([&] { return isFinished(); }));
    checkAllRebooted();
    checkInvariants();
}

BOOST_FIXTURE_TEST_CASE(noWaveStepStartsDuringATableOutage, WaveFixture)
{
    startWave();
    BOOST_REQUIRE(sendUntil([&] { return doneVmCount() >= 1; }));
    fleet.setPlatformFaults({ { "table", "down" } });
    // Steps that were in progress when the table failed end within one lease.
    const auto leaseEnd = std::chrono::steady_clock::now() + 2s;
    sendUntil([&] { return std::chrono::steady_clock::now() >= leaseEnd; });
    const auto commands = history()["commands"].size();
    const auto end = std::chrono::steady_clock::now() + 3s;
    sendUntil([&] { return std::chrono::steady_clock::now() >= end; });
    BOOST_TEST(history()["commands"].size() == commands);
    fleet.setPlatformFaults(json::object());
    BOOST_TEST(sendUntil([&] { return isFinished(); }));
    checkAllRebooted();
    checkInvariants();
}

BOOST_FIXTURE_TEST_CASE(vmMovesToAnotherPool, WaveFixture)
{
    const json transaction { { "conditions", json::array() },
        { "writes", { { { "key", "f/s/vm/m0" }, { "value", json { { "moveTo", "pricing" } }.dump() } } } } };
    BOOST_REQUIRE(fleet.callJson(fleet.platform(), "POST", "/table/commit", transaction).first == 200);
    BOOST_TEST(sendUntil([&] {
        const auto status
            = fleet.callJson(fleet.daemon("a").admin, "GET", "/v1/vms/m0").second.value("status", json());
        return status.value("pool", "") == "pricing" && status.value("phase", "") == "in_service";
    }));
    BOOST_TEST(sendUntil([&] { return !fleet.runsOf("m0").empty(); }));
    checkInvariants();
}

BOOST_FIXTURE_TEST_CASE(plannedStopReleasesTheLeaseAtOnce, WaveFixture)
{
    // After this many renewals the preferred holder has the lease.
    constexpr int settledRenewals = 8;
    BOOST_REQUIRE(
        fleet.eventually([&] { return leaseRow("pool/pricing").value("renewal", 0) >= settledRenewals; }));
    const auto first = leaseHolder("pool/pricing");
    std::erase(liveNodes, first);
    fleet.daemon(first).process->signal(SIGTERM);
    BOOST_TEST(fleet.daemon(first).process->wait() == 0);
    BOOST_TEST(leaseHolder("pool/pricing") != first);
}
