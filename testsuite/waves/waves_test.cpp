/// Maintenance waves and moves on real processes, while requests flow.
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

struct Waves {
    Waves()
    {
        fleet.startEndpoints("east", { "e0", "e1", "e2", "e3", "e4", "e5", "m0", "m1" });
        for (const auto& node : live)
            fleet.startDaemon(node, "east", { "--lease_ms=1500", "--report_period_ms=100" });
        fleet.publishList();
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
            control(vm, "mode", { { "delayMs", 15 } });
        BOOST_REQUIRE(fleet.eventually([&] { return isServed(); }));
        BOOST_REQUIRE(fleet.eventually([&] { return !holder("pool/pricing").empty(); }));
        sent.clear();
        base = fleet.runCountsById();
    }

    json control(const std::string& vm, const std::string& command, const json& body)
    {
        return fleet.callJson(fleet.endpoint(vm).address, "POST", "/_control/" + command, body).second;
    }

    json history() { return fleet.callJson(fleet.platform(), "GET", "/admin/history").second; }

    std::string holder(const std::string& lease) { return leaseRow(lease).value("holder", ""); }

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
        for (const auto& node : live) {
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
        sent.insert(id);
        BOOST_TEST_INFO(
            id << ": " << (result ? std::to_string(result->status) + " " + result->body : "no answer"));
        return result && result->status == 200;
    }

    /// Sends one request through each daemon and notes which VMs are out of service.
    void serveAndSample()
    {
        for (const auto& node : live)
            BOOST_TEST(send(node), "a request through " << node << " was not served");
        std::set<std::string> out;
        for (const auto& vm : vms) {
            const auto report = control(vm, "report", json::object())["report"];
            if (report.value("draining", false) || !report.value("healthy", false))
                out.insert(vm + "#" + std::to_string(report.value("incarnation", 0)));
        }
        // A VM that is out in two samples with the same incarnation was out between them.
        std::size_t both = 0;
        for (const auto& vm : out)
            both += lastOut.contains(vm);
        BOOST_TEST(both <= budget);
        lastOut = out;
    }

    json wave() { return fleet.callJson(fleet.daemon(live[0]).admin, "GET", "/v1/waves/w").second; }

    std::size_t done() { return wave()["status"].value("done", 0u); }

    void startWave() { fleet.create(fleet.daemon(live[0]).admin, "waves", "w", { { "pool", "pricing" } }); }

    bool serveUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit = 60s)
    {
        return fleet.eventually(
            [&] {
                serveAndSample();
                return condition();
            },
            limit);
    }

    bool isFinished() { return wave()["status"].value("phase", "") == "finished"; }

    /// What must hold after each case.
    void checkAll()
    {
        for (const auto& [id, runs] : fleet.runCountsById()) {
            if (sent.contains(id))
                BOOST_TEST(runs == 1, id << " ran " << runs << " times");
        }
        BOOST_TEST(fleet.runCountsById().size() - base.size() == sent.size());
        checkHistory();
    }

    /// Replays the table: the budget holds at each version, and only holders write statuses.
    void checkHistory()
    {
        std::map<std::string, std::string> fences;
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
                    fences[key.substr(7)] = value.value("holder", "");
                if (key.starts_with("f/s/pool/"))
                    pool = key.substr(9);
                if (key.starts_with("f/s/vm/e"))
                    phases[key] = value.value("phase", "");
            }
            if (!pool.empty())
                BOOST_TEST(writer == fences[pool], "version " << version << " was written by " << writer);
            std::size_t out = 0;
            for (const auto& [vm, phase] : phases)
                out += phase != "in_service";
            BOOST_TEST(out <= budget, "version " << version);
        }
    }

    void checkAllRebooted()
    {
        for (const auto& vm : vms)
            BOOST_TEST(control(vm, "report", json::object())["report"]["incarnation"] == 2, vm);
    }

    std::vector<std::string> vms { "e0", "e1", "e2", "e3", "e4", "e5" };
    std::vector<std::string> live { "a", "b", "c" };
    Fleet fleet;
    int nextId = 0;
    std::set<std::string> sent;
    std::map<std::string, int> base;
    std::set<std::string> lastOut;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(waveFinishesWhileRequestsFlow, Waves)
{
    startWave();
    BOOST_TEST(serveUntil([&] { return isFinished(); }));
    checkAllRebooted();
    checkAll();
}

BOOST_FIXTURE_TEST_CASE(killedHolderIsReplacedAndTheWaveFinishes, Waves)
{
    startWave();
    BOOST_REQUIRE(serveUntil([&] { return done() >= 1; }));
    const auto killed = holder("pool/pricing");
    std::erase(live, killed);
    fleet.daemon(killed).process->signal(SIGKILL);
    BOOST_TEST(serveUntil([&] { return isFinished(); }));
    BOOST_TEST(holder("pool/pricing") != killed);
    checkAllRebooted();
    checkAll();
}

BOOST_FIXTURE_TEST_CASE(frozenHolderChangesNothing, Waves)
{
    startWave();
    BOOST_REQUIRE(serveUntil([&] { return done() >= 1; }));
    const auto frozen = holder("pool/pricing");
    const auto all = live;
    std::erase(live, frozen);
    fleet.daemon(frozen).process->signal(SIGSTOP);
    BOOST_REQUIRE(serveUntil([&] { return holder("pool/pricing") != frozen; }));
    fleet.daemon(frozen).process->signal(SIGCONT);
    BOOST_TEST(serveUntil([&] { return isFinished(); }));
    checkAllRebooted();
    checkAll();
}

BOOST_FIXTURE_TEST_CASE(noStepIsBegunWhileTheTableIsDown, Waves)
{
    startWave();
    BOOST_REQUIRE(serveUntil([&] { return done() >= 1; }));
    fleet.setPlatformFaults({ { "table", "down" } });
    // What was under way when the table went down ends within a lease.
    const auto leaseEnd = std::chrono::steady_clock::now() + 2s;
    serveUntil([&] { return std::chrono::steady_clock::now() >= leaseEnd; });
    const auto commands = history()["commands"].size();
    const auto end = std::chrono::steady_clock::now() + 3s;
    serveUntil([&] { return std::chrono::steady_clock::now() >= end; });
    BOOST_TEST(history()["commands"].size() == commands);
    fleet.setPlatformFaults(json::object());
    BOOST_TEST(serveUntil([&] { return isFinished(); }));
    checkAllRebooted();
    checkAll();
}

BOOST_FIXTURE_TEST_CASE(vmMovesToAnotherPool, Waves)
{
    const json change { { "conditions", json::array() },
        { "writes", { { { "key", "f/s/vm/m0" }, { "value", json { { "moveTo", "pricing" } }.dump() } } } } };
    BOOST_REQUIRE(fleet.callJson(fleet.platform(), "POST", "/table/commit", change).first == 200);
    BOOST_TEST(serveUntil([&] {
        const auto status
            = fleet.callJson(fleet.daemon("a").admin, "GET", "/v1/vms/m0").second.value("status", json());
        return status.value("pool", "") == "pricing" && status.value("phase", "") == "in_service";
    }));
    BOOST_TEST(serveUntil([&] { return !fleet.runsOf("m0").empty(); }));
    checkAll();
}

BOOST_FIXTURE_TEST_CASE(plannedStopGivesTheLeaseUpAtOnce, Waves)
{
    // By then the lease has gone back to its preferred holder.
    constexpr int settledRenewals = 8;
    BOOST_REQUIRE(
        fleet.eventually([&] { return leaseRow("pool/pricing").value("renewal", 0) >= settledRenewals; }));
    const auto first = holder("pool/pricing");
    std::erase(live, first);
    fleet.daemon(first).process->signal(SIGTERM);
    BOOST_TEST(fleet.daemon(first).process->wait() == 0);
    BOOST_TEST(holder("pool/pricing") != first);
}
