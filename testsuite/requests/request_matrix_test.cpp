/// The fault matrix of a request on real processes: each fault at each step that it can meet. The
/// checks read what the caller got and what the endpoint received, and nothing of the daemon's own.
#include "requests_fixture.h"

#include <damaskworks/names.h>

#include <csignal>

using namespace damask;
using namespace damask::harness;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

enum class Step { Accept, Admit, Queue, Choose, Connect, Send, Wait, Reply, Close };
constexpr NameTable<Step, 9> stepNames { {
    { Step::Accept, "accept" },
    { Step::Admit, "admit" },
    { Step::Queue, "queue" },
    { Step::Choose, "choose" },
    { Step::Connect, "connect" },
    { Step::Send, "send" },
    { Step::Wait, "wait" },
    { Step::Reply, "reply" },
    { Step::Close, "close" },
} };

enum class Fault { CallerCut, EndpointCut, EndpointFreeze, EntryKill, EntryFreeze, PlatformDown };
constexpr NameTable<Fault, 6> faultNames { {
    { Fault::CallerCut, "caller cut" },
    { Fault::EndpointCut, "endpoint cut" },
    { Fault::EndpointFreeze, "endpoint frozen" },
    { Fault::EntryKill, "entry VM killed" },
    { Fault::EntryFreeze, "entry VM frozen" },
    { Fault::PlatformDown, "platform down" },
} };

/// What a caller may be told, as a set of bits; None: its connection ends without an answer.
enum Told : unsigned { Done = 1, NotRun = 2, Unknown = 4, None = 8 };

struct Cell {
    Step step;
    Fault fault;
    unsigned told; ///< 0: the cell can't occur
    int maxRuns;
    std::string_view why {}; ///< why the cell can't occur
};

constexpr std::string_view oneTurn = "decided within one turn of the loop, so nothing can come between";
constexpr std::string_view noEndpoint = "no endpoint is involved before the request is whole";
constexpr std::string_view noHold = "a connection on one machine is made or refused at once";

const Cell cells[] = {
    { Step::Accept, Fault::CallerCut, None, 0 },
    { Step::Accept, Fault::EndpointCut, 0, 0, noEndpoint },
    { Step::Accept, Fault::EndpointFreeze, 0, 0, noEndpoint },
    { Step::Accept, Fault::EntryKill, None, 0 },
    { Step::Accept, Fault::EntryFreeze, Done | NotRun, 1 },
    { Step::Accept, Fault::PlatformDown, Done, 1 },
    { Step::Admit, Fault::CallerCut, None, 0 },
    { Step::Admit, Fault::EndpointCut, 0, 0, noEndpoint },
    { Step::Admit, Fault::EndpointFreeze, 0, 0, noEndpoint },
    { Step::Admit, Fault::EntryKill, None, 0 },
    { Step::Admit, Fault::EntryFreeze, Done | NotRun, 1 },
    { Step::Admit, Fault::PlatformDown, Done, 1 },
    { Step::Queue, Fault::CallerCut, None, 0 },
    { Step::Queue, Fault::EndpointCut, Done, 1 },
    { Step::Queue, Fault::EndpointFreeze, NotRun, 0 },
    { Step::Queue, Fault::EntryKill, None, 0 },
    { Step::Queue, Fault::EntryFreeze, Done | NotRun, 1 },
    { Step::Queue, Fault::PlatformDown, Done, 1 },
    { Step::Choose, Fault::CallerCut, 0, 0, oneTurn },
    { Step::Choose, Fault::EndpointCut, 0, 0, oneTurn },
    { Step::Choose, Fault::EndpointFreeze, 0, 0, oneTurn },
    { Step::Choose, Fault::EntryKill, 0, 0, oneTurn },
    { Step::Choose, Fault::EntryFreeze, 0, 0, oneTurn },
    { Step::Choose, Fault::PlatformDown, 0, 0, oneTurn },
    { Step::Connect, Fault::CallerCut, 0, 0, noHold },
    { Step::Connect, Fault::EndpointCut, NotRun, 0 },
    { Step::Connect, Fault::EndpointFreeze, 0, 0, noHold },
    { Step::Connect, Fault::EntryKill, 0, 0, noHold },
    { Step::Connect, Fault::EntryFreeze, 0, 0, noHold },
    { Step::Connect, Fault::PlatformDown, 0, 0, noHold },
    { Step::Send, Fault::CallerCut, None, 1 },
    { Step::Send, Fault::EndpointCut, Unknown, 0 },
    { Step::Send, Fault::EndpointFreeze, Unknown, 0 },
    { Step::Send, Fault::EntryKill, None, 0 },
    { Step::Send, Fault::EntryFreeze, Unknown, 0 },
    { Step::Send, Fault::PlatformDown, Unknown, 0 },
    { Step::Wait, Fault::CallerCut, None, 1 },
    { Step::Wait, Fault::EndpointCut, Unknown, 1 },
    { Step::Wait, Fault::EndpointFreeze, Unknown, 1 },
    { Step::Wait, Fault::EntryKill, None, 1 },
    { Step::Wait, Fault::EntryFreeze, Done, 1 },
    { Step::Wait, Fault::PlatformDown, Done, 1 },
    { Step::Reply, Fault::CallerCut, None, 1 },
    { Step::Reply, Fault::EndpointCut, Unknown, 1 },
    { Step::Reply, Fault::EndpointFreeze, Unknown, 1 },
    { Step::Reply, Fault::EntryKill, None, 1 },
    { Step::Reply, Fault::EntryFreeze, Done, 1 },
    { Step::Reply, Fault::PlatformDown, Done, 1 },
    { Step::Close, Fault::CallerCut, Done, 1 },
    { Step::Close, Fault::EndpointCut, Done, 1 },
    { Step::Close, Fault::EndpointFreeze, Done, 1 },
    { Step::Close, Fault::EntryKill, Done, 1 },
    { Step::Close, Fault::EntryFreeze, Done, 1 },
    { Step::Close, Fault::PlatformDown, Done, 1 },
};

constexpr std::string_view firstHalf = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwh";
constexpr std::string_view secondHalf = "ole";

/// One request taken to a step in a fleet of its own entry VM and endpoint.
class Trial {
public:
    Trial(Edge& edge, const Cell& cell, int number)
        : m_edge(edge)
        , m_cell(cell)
        , m_node("v" + std::to_string(number))
        , m_pool("p" + std::to_string(number))
    {
        auto& fleet = edge.fleet;
        m_endpoint = std::make_unique<RawEndpoint>(fleet.loop().base(),
            [this](const auto& connection, const auto& request) { answer(connection, request); });
        m_endpoint->setReadingDisabled(cell.step == Step::Send);
        m_entry = fleet.startDaemon(m_node, "east", { "--platform_timeout_ms=300" }).callers;
        fleet.create(edge.admin(), "pools", m_pool, { { "slotsPerVm", 1 } });
        fleet.create(edge.admin(), "vms", "raw-" + m_pool,
            { { "pool", m_pool }, { "address", http::toString(m_endpoint->address()) },
                { "dataCentre", "east" }, { "rack", "r1" } });
    }

    /// Waits until the entry VM routes to the endpoint.
    bool isReady()
    {
        HttpRequest probe { "GET", path() + "/probe", "", {}, "" };
        if (m_cell.step == Step::Send)
            probe.headers.emplace_back("Damask-Timeout-Ms", "20");
        const auto result = m_edge.fleet.call(m_entry, probe);
        return result && (result->status == 200 || result->status == 502);
    }

    void reach()
    {
        m_hold = m_cell.step == Step::Queue || m_cell.step == Step::Wait || m_cell.step == Step::Reply;
        auto* base = m_edge.fleet.loop().base();
        if (m_cell.step == Step::Queue) {
            m_filler = std::make_unique<RawCaller>(base, m_entry);
            m_filler->send("GET " + path() + "/filler HTTP/1.1\r\nHost: x\r\n\r\n");
            BOOST_TEST(m_edge.fleet.eventually([&] { return !m_held.empty(); }));
        }
        if (m_cell.step == Step::Connect)
            m_endpoint.reset();
        m_caller = std::make_unique<RawCaller>(base, m_entry);
        if (m_cell.step == Step::Accept)
            return pass(50ms);
        if (m_cell.step == Step::Admit) {
            m_caller->send(request().substr(0, 40));
            return pass(50ms);
        }
        m_caller->send(request());
        if (m_cell.step == Step::Wait || m_cell.step == Step::Reply)
            BOOST_TEST(m_edge.fleet.eventually([&] { return runs() == 1; }));
        else if (m_cell.step == Step::Close)
            BOOST_TEST(m_edge.fleet.eventually([&] { return told() == Done; }));
        else
            pass(100ms);
    }

    void strike()
    {
        auto& process = *m_edge.fleet.daemon(m_node).process;
        switch (m_cell.fault) {
        case Fault::CallerCut:
            m_caller.reset();
            return pass(50ms);
        case Fault::EndpointCut:
            m_hold = false;
            return m_endpoint ? m_endpoint->closeAll() : void();
        case Fault::EndpointFreeze:
            return;
        case Fault::EntryKill:
            return process.signal(SIGKILL);
        case Fault::EntryFreeze:
            process.signal(SIGSTOP);
            release();
            complete();
            pass(1200ms);
            return process.signal(SIGCONT);
        case Fault::PlatformDown:
            m_edge.fleet.setPlatformFaults({ { "table", "down" } });
            pass(400ms);
            release();
            return complete();
        }
    }

    /// Waits for what the caller is told and checks it and the runs.
    void check()
    {
        const auto name = std::string(nameOf(stepNames, m_cell.step)) + " x "
            + std::string(nameOf(faultNames, m_cell.fault));
        BOOST_TEST(m_edge.fleet.eventually([&] { return told() != 0; }, 10s), name << ": no end");
        BOOST_TEST((told() & m_cell.told), name << ": told " << told() << ", got " << received());
        BOOST_TEST(runs() <= m_cell.maxRuns, name << ": ran " << runs() << " times");
        if (told() == NotRun)
            BOOST_TEST(runs() == 0, name << ": told not run, and it ran");
        if (told() == Done)
            BOOST_TEST(runs() == 1, name << ": told done, and it did not run");
        if (m_cell.fault == Fault::CallerCut && m_cell.step != Step::Send) {
            // The slot is free again: the pool has one.
            m_hold = false;
            release();
            BOOST_TEST(isReady(), name << ": the slot is not free");
        }
        m_edge.fleet.setPlatformFaults(json::object());
    }

private:
    std::string path() const { return "/" + m_pool; }

    std::string request() const
    {
        const std::string body(m_cell.step == Step::Send ? 3'000'000 : 4, 'x');
        const bool ends = m_cell.fault == Fault::EndpointFreeze || m_cell.step == Step::Send;
        return "POST " + path() + "/order HTTP/1.1\r\nHost: x\r\nX-Request-Id: cell\r\n"
            + (ends ? "Damask-Timeout-Ms: 1000\r\n" : "") + "Content-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    void answer(const std::shared_ptr<RawConnection>& connection, const std::string& request)
    {
        const bool order = request.starts_with("POST");
        m_runs += order;
        if (!m_hold)
            return connection->send(std::string(firstHalf) + std::string(secondHalf));
        const bool half = order && m_cell.step == Step::Reply;
        if (half)
            connection->send(std::string(firstHalf));
        m_held.emplace_back(connection, half ? secondHalf : std::string(firstHalf) + std::string(secondHalf));
    }

    /// Lets the endpoint give the answers that it holds back.
    void release()
    {
        m_hold = false;
        for (const auto& [connection, rest] : m_held)
            connection->send(rest);
        m_held.clear();
    }

    /// Sends what the caller has not sent yet.
    void complete()
    {
        if (m_cell.step == Step::Accept)
            m_caller->send(request());
        if (m_cell.step == Step::Admit)
            m_caller->send(request().substr(40));
    }

    void pass(std::chrono::milliseconds time)
    {
        m_edge.fleet.eventually([] { return false; }, time);
    }

    std::string received() const { return m_caller ? m_caller->received().substr(0, 200) : ""; }

    /// What the caller has been told so far; 0: nothing.
    unsigned told() const
    {
        if (!m_caller)
            return m_cell.step == Step::Close ? unsigned(Done) : unsigned(None);
        const auto& text = m_caller->received();
        if (text.find("Damask-Outcome: done") != std::string::npos && text.ends_with("whole"))
            return Done;
        if (text.find("Damask-Outcome: not-run") != std::string::npos)
            return NotRun;
        if (text.find("Damask-Outcome: unknown") != std::string::npos)
            return Unknown;
        return m_caller->isClosed() ? unsigned(None) : 0;
    }

    int runs() const { return m_runs; }

    Edge& m_edge;
    const Cell& m_cell;
    std::string m_node;
    std::string m_pool;
    Address m_entry;
    std::unique_ptr<RawEndpoint> m_endpoint;
    std::unique_ptr<RawCaller> m_caller;
    std::unique_ptr<RawCaller> m_filler;
    std::vector<std::pair<std::shared_ptr<RawConnection>, std::string>> m_held;
    int m_runs = 0;
    bool m_hold = false;
};

} // namespace

BOOST_AUTO_TEST_CASE(everyCellIsInTheTable)
{
    BOOST_TEST(std::size(cells) == stepNames.size() * faultNames.size());
    for (const auto& cell : cells)
        BOOST_TEST((cell.told == 0) != cell.why.empty());
}

BOOST_AUTO_TEST_CASE(eachFaultAtEachStepHasItsExpectedOutcome)
{
    Edge edge;
    int number = 0;
    for (const auto& cell : cells) {
        const int index = number++;
        if (cell.told == 0)
            continue;
        Trial trial(edge, cell, index);
        const auto current = edge.fleet.callJson(edge.admin(), "GET", "/v1/configurations/current").second;
        edge.fleet.callJson(edge.admin(), "PUT", "/v1/configurations/current",
            { { "resourceVersion", current["resourceVersion"] },
                { "spec",
                    { { "routes",
                        { { { "prefix", "/p" + std::to_string(index) },
                            { "pool", "p" + std::to_string(index) } } } } } } });
        BOOST_REQUIRE(edge.fleet.eventually([&] { return trial.isReady(); }));
        trial.reach();
        trial.strike();
        trial.check();
    }
}
