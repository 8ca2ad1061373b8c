/// \file
/// The demo: a small fleet runs the services of both firms during a configuration change, a VM move, a
/// maintenance wave and planned stops. Prints `demo: ok` at the end if no request was lost, duplicated or cut
/// off.
#include "callers.h"

#include <csignal>
#include <iostream>

using namespace damask;
using namespace damask::harness;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

const std::vector<std::pair<std::string, std::vector<std::string>>> firms {
    { "sugarcraft", { "pricing", "designer", "inventory", "accounts", "misc" } },
    { "lin-brothers", { "intake", "imaging", "listing", "warranty", "backoffice" } },
};
const std::vector<std::string> dataCentres { "centre-1", "centre-2", "centre-3" };

class Demo {
public:
    bool run()
    {
        start();
        declare();
        m_callers.start(m_services, { "entry-1", "entry-2", "entry-3" });
        changeConfiguration();
        moveVm();
        runWave();
        stopDaemons();
        return printReport();
    }

private:
    static void printStep(const std::string& line) { std::cout << "== " << line << std::endl; }

    void check(bool condition, const std::string& what)
    {
        if (condition)
            return;
        m_failures.push_back(what);
        std::cout << "FAILED: " << what << std::endl;
    }

    /// Runs damaskctl as an operator would and prints its output if \p isShown.
    CommandResult runDamaskctl(std::vector<std::string> words, bool isShown = true)
    {
        std::string line = "$ damaskctl";
        for (const auto& word : words)
            line += " " + word;
        words.insert(words.begin(), binary("damaskctl"));
        words.push_back("--server=" + m_servers);
        auto result = runCommand(words);
        if (isShown)
            std::cout << line << "\n" << result.output << std::flush;
        return result;
    }

    void start()
    {
        printStep("starting 3 data centres: the platform, 24 endpoint VMs, 3 entry VMs");
        std::map<std::string, std::vector<std::string>> byCentre;
        std::size_t index = 0;
        for (const auto& [firm, names] : firms) {
            for (const auto& name : names) {
                demo::Service service { firm, name, {} };
                const int size = name == "pricing" ? 4 : name == "misc" ? 4 : 2;
                for (int i = 1; i <= size; ++i) {
                    service.vms.push_back(name + "-" + std::to_string(i));
                    byCentre[dataCentres[index++ % dataCentres.size()]].push_back(service.vms.back());
                }
                m_services.push_back(service);
            }
        }
        for (const auto& [centre, vms] : byCentre)
            m_fleet.startEndpoints(centre, vms);
        for (std::size_t i = 0; i < dataCentres.size(); ++i) {
            const auto& daemon = m_fleet.startDaemon("entry-" + std::to_string(i + 1), dataCentres[i]);
            m_servers += (m_servers.empty() ? "" : ",") + http::toString(daemon.admin);
        }
        m_fleet.publishVmList();
    }

    void declare()
    {
        printStep("declaring pools, VMs, budgets and a configuration through damaskctl and the API");
        json routes = json::array();
        const auto admin = m_fleet.daemon("entry-1").admin;
        for (const auto& service : m_services) {
            const bool isSpare = service.name == "misc" || service.name == "backoffice";
            m_fleet.declarePool(admin, service.name, service.vms, { { "spare", isSpare } });
            routes.push_back({ { "prefix", "/" + service.name }, { "pool", service.name } });
        }
        m_routes = routes;
        const auto budget = runDamaskctl(
            { "create", "budget", "pricing", R"(--spec={"pool":"pricing","maxUnavailable":1})" });
        check(budget.exitCode == 0, "the budget was declared");
        const auto configuration = runDamaskctl(
            { "create", "configuration", "current", "--spec=" + json { { "routes", routes } }.dump() },
            false);
        check(configuration.exitCode == 0, "the configuration was declared");
        check(waitUntilInForce(1), "the first configuration is in force on all nodes");
        runDamaskctl({ "list", "pools" });
    }

    bool waitUntilInForce(std::uint64_t generation)
    {
        return m_fleet.eventually([&] {
            for (const auto* node : { "entry-1", "entry-2", "entry-3" }) {
                const auto status = m_fleet.callJson(m_fleet.daemon(node).admin, "GET", "/v1/status").second;
                if (!status.is_object() || status.value("configurationGeneration", 0u) != generation)
                    return false;
            }
            return true;
        });
    }

    void changeConfiguration()
    {
        printStep("an operator replaces the configuration while callers keep sending");
        auto routes = m_routes;
        routes.push_back({ { "prefix", "/quotes" }, { "pool", "pricing" } });
        check(runDamaskctl(
                  { "replace", "configuration", "current", "--spec=" + json { { "routes", routes } }.dump() },
                  false)
                    .exitCode
                == 0,
            "the configuration was replaced");
        check(waitUntilInForce(2), "the second configuration is in force on all nodes");
        runDamaskctl({ "rollout" });
    }

    std::string poolOf(const std::string& vm)
    {
        const auto body = m_fleet.callJson(m_fleet.daemon("entry-2").admin, "GET", "/v1/vms/" + vm).second;
        if (!body.is_object())
            return "";
        const auto& status = body["status"];
        return status.value("phase", "") == "in_service" ? status.value("pool", "") : "";
    }

    void moveVm()
    {
        printStep("one VM moves from the spare pool misc to pricing");
        check(runDamaskctl({ "move", "misc-1", "pricing" }).exitCode == 0, "the move was requested");
        check(m_fleet.eventually([&] { return poolOf("misc-1") == "pricing"; }, 30s),
            "misc-1 is in service in pricing");
        runDamaskctl({ "get", "vm", "misc-1" });
    }

    void runWave()
    {
        printStep("a maintenance wave over pricing, at most one VM unavailable");
        check(
            runDamaskctl({ "create", "wave", "kernel-update", R"(--spec={"pool":"pricing"})" }).exitCode == 0,
            "the wave was declared");
        Process waveCommand({ binary("damaskctl"), "wave", "kernel-update", "--server=" + m_servers });
        check(m_fleet.eventually([&] { return isWaveFinished(); }, 60s), "the wave has finished within 60 s");
        const int code = waveCommand.wait();
        std::cout << waveCommand.remainingOutput();
        check(code == 0, "damaskctl reports the wave as finished");
    }

    bool isWaveFinished()
    {
        const auto body
            = m_fleet.callJson(m_fleet.daemon("entry-2").admin, "GET", "/v1/waves/kernel-update").second;
        return body.is_object() && body["status"].value("phase", "") == "finished";
    }

    void stopDaemons()
    {
        for (const auto* node : { "entry-1", "entry-2", "entry-3" }) {
            printStep(std::string("planned stop of ") + node);
            auto& process = *m_fleet.daemon(node).process;
            process.signal(SIGTERM);
            const bool isLast = std::string_view(node) == "entry-3";
            if (isLast)
                check(m_callers.finish(), "every caller got a response");
            else
                m_fleet.eventually([&] { return isAnnouncedAsStopping(node); });
            if (!isLast)
                m_callers.stopUsing(node);
            m_fleet.eventually([&] { return process.hasEnded(); }, 40s);
            check(process.wait() == 0, std::string(node) + " stopped without interrupting a request");
        }
    }

    /// Whether the daemon has told the balancer that it accepts no more requests.
    bool isAnnouncedAsStopping(const std::string& node)
    {
        const auto announced
            = m_fleet.callJson(m_fleet.platform(), "GET", "/admin/history").second["announcements"];
        return announced.contains(node) && announced[node] == false;
    }

    bool printReport()
    {
        demo::OutcomeCounts total;
        std::cout << "\nservice      sent  done  not-run  unknown  cut\n";
        for (const auto& [service, counts] : m_callers.countsByService()) {
            std::printf("%-12s %4d  %4d  %7d  %7d  %3d\n", service.c_str(), counts.sent, counts.done,
                counts.notRun, counts.unknown, counts.cut);
            total.sent += counts.sent;
            total.done += counts.done;
            total.notRun += counts.notRun;
            total.unknown += counts.unknown;
            total.cut += counts.cut;
        }
        const auto mismatches = m_callers.mismatches();
        for (const auto& line : mismatches)
            std::cout << line << "\n";
        const bool hasPassed
            = m_failures.empty() && mismatches.empty() && total.cut == 0 && total.unknown == 0;
        std::cout << "demo: " << (hasPassed ? "ok" : "FAILED") << " sent=" << total.sent
                  << " done=" << total.done << " not_run=" << total.notRun << " unknown=" << total.unknown
                  << " cut=" << total.cut << " mismatches=" << mismatches.size() << std::endl;
        return hasPassed;
    }

    Fleet m_fleet;
    demo::Callers m_callers { m_fleet };
    std::vector<demo::Service> m_services;
    json m_routes;
    std::string m_servers;
    std::vector<std::string> m_failures;
};

} // namespace

int main() { return Demo().run() ? 0 : 1; }
