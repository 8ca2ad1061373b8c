/// \file
/// Fault matrix of a request on real processes: each fault at each step of the request at which it can occur.
/// The checks use only what the caller and the endpoint received, and no state of the daemon.
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

enum class Fault {
    CallerDisconnect,
    EndpointDisconnect,
    EndpointSuspend,
    EntryKill,
    EntrySuspend,
    PlatformDown
};
constexpr NameTable<Fault, 6> faultNames { {
    { Fault::CallerDisconnect, "caller disconnected" },
    { Fault::EndpointDisconnect, "endpoint disconnected" },
    { Fault::EndpointSuspend, "endpoint suspended" },
    { Fault::EntryKill, "entry VM killed" },
    { Fault::EntrySuspend, "entry VM suspended" },
    { Fault::PlatformDown, "platform down" },
} };

/// Outcomes that a caller may see, as bits. None: the connection closes without a response.
enum Outcome : unsigned { Done = 1, NotRun = 2, Unknown = 4, None = 8 };

struct MatrixCell {
    Step step;
    Fault fault;
    unsigned allowedOutcomes; ///< bits of Outcome; 0: the combination cannot occur
    int maxRuns;
    std::string_view impossibleReason {}; ///< why the combination cannot occur
};

constexpr std::string_view oneLoopIteration
    = "happens within one iteration of the event loop, so no fault can come between";
constexpr std::string_view noEndpoint = "no endpoint is involved before the request is complete";
constexpr std::string_view noDelay = "a connection on one machine is accepted or refused at once";

const MatrixCell cells[] = {
    { Step::Accept, Fault::CallerDisconnect, None, 0 },
    { Step::Accept, Fault::EndpointDisconnect, 0, 0, noEndpoint },
    { Step::Accept, Fault::EndpointSuspend, 0, 0, noEndpoint },
    { Step::Accept, Fault::EntryKill, None, 0 },
    { Step::Accept, Fault::EntrySuspend, Done | NotRun, 1 },
    { Step::Accept, Fault::PlatformDown, Done, 1 },
    { Step::Admit, Fault::CallerDisconnect, None, 0 },
    { Step::Admit, Fault::EndpointDisconnect, 0, 0, noEndpoint },
    { Step::Admit, Fault::EndpointSuspend, 0, 0, noEndpoint },
    { Step::Admit, Fault::EntryKill, None, 0 },
    { Step::Admit, Fault::EntrySuspend, Done | NotRun, 1 },
    { Step::Admit, Fault::PlatformDown, Done, 1 },
    { Step::Queue, Fault::CallerDisconnect, None, 0 },
    { Step::Queue, Fault::EndpointDisconnect, Done, 1 },
    { Step::Queue, Fault::EndpointSuspend, NotRun, 0 },
    { Step::Queue, Fault::EntryKill, None, 0 },
    { Step::Queue, Fault::EntrySuspend, Done | NotRun, 1 },
    { Step::Queue, Fault::PlatformDown, Done, 1 },
    { Step::Choose, Fault::CallerDisconnect, 0, 0, oneLoopIteration },
    { Step::Choose, Fault::EndpointDisconnect, 0, 0, oneLoopIteration },
    { Step::Choose, Fault::EndpointSuspend, 0, 0, oneLoopIteration },
    { Step::Choose, Fault::EntryKill, 0, 0, oneLoopIteration },
    { Step::Choose, Fault::EntrySuspend, 0, 0, oneLoopIteration },
    { Step::Choose, Fault::PlatformDown, 0, 0, oneLoopIteration },
    { Step::Connect, Fault::CallerDisconnect, 0, 0, noDelay },
    { Step::Connect, Fault::EndpointDisconnect, NotRun, 0 },
    { Step::Connect, Fault::EndpointSuspend, 0, 0, noDelay },
    { Step::Connect, Fault::EntryKill, 0, 0, noDelay },
    { Step::Connect, Fault::EntrySuspend, 0, 0, noDelay },
    { Step::Connect, Fault::PlatformDown, 0, 0, noDelay },
    { Step::Send, Fault::CallerDisconnect, None, 1 },
    { Step::Send, Fault::EndpointDisconnect, Unknown, 0 },
    { Step::Send, Fault::EndpointSuspend, Unknown, 0 },
    { Step::Send, Fault::EntryKill, None, 0 },
    { Step::Send, Fault::EntrySuspend, Unknown, 0 },
    { Step::Send, Fault::PlatformDown, Unknown, 0 },
    { Step::Wait, Fault::CallerDisconnect, None, 1 },
    { Step::Wait, Fault::EndpointDisconnect, Unknown, 1 },
    { Step::Wait, Fault::EndpointSuspend, Unknown, 1 },
    { Step::Wait, Fault::EntryKill, None, 1 },
    { Step::Wait, Fault::EntrySuspend, Done, 1 },
    { Step::Wait, Fault::PlatformDown, Done, 1 },
    { Step::Reply, Fault::CallerDisconnect, None, 1 },
    { Step::Reply, Fault::EndpointDisconnect, Unknown, 1 },
    { Step::Reply, Fault::EndpointSuspend, Unknown, 1 },
    { Step::Reply, Fault::EntryKill, None, 1 },
    { Step::Reply, Fault::EntrySuspend, Done, 1 },
    { Step::Reply, Fault::PlatformDown, Done, 1 },
    { Step::Close, Fault::CallerDisconnect, Done, 1 },
    { Step::Close, Fault::EndpointDisconnect, Done, 1 },
    { Step::Close, Fault::EndpointSuspend, Done, 1 },
    { Step::Close, Fault::EntryKill, Done, 1 },
    { Step::Close, Fault::EntrySuspend, Done, 1 },
    { Step::Close, Fault::PlatformDown, Done, 1 },
};

constexpr std::string_view firstHalf = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwh";
constexpr std::string_view secondHalf = "ole";

/// Brings one request to a step, with an entry VM, a pool and an endpoint of its own, and injects a fault.
class Trial {
public:
    Trial(RequestFixture& fixture, const MatrixCell& cell, int number)
        : m_fixture(fixture)
        , m_cell(cell)
        , m_node("v" + std::to_string(number))
        , m_pool("p" + std::to_string(number))
    {
        auto& fleet = fixture.fleet;
        m_endpoint = std::make_unique<RawEndpoint>(fleet.loop().base(),
            [this](const auto& connection, const auto& request) { answer(connection, request); });
        m_endpoint->setReadingDisabled(cell.step == Step::Send);
        m_entry = fleet.startDaemon(m_node, "east", { "--platform_timeout_ms=300" }).callers;
        fleet.create(fixture.admin(), "pools", m_pool, { { "slotsPerVm", 1 } });
        fleet.create(fixture.admin(), "vms", "raw-" + m_pool,
            { { "pool", m_pool }, { "address", http::toString(m_endpoint->address()) },
                { "dataCentre", "east" }, { "rack", "r1" } });
    }

    /// Waits until the entry VM routes to the endpoint.
    bool isReady()
    {
        HttpRequest probe { "GET", path() + "/probe", "", {}, "" };
        if (m_cell.step == Step::Send)
            probe.headers.emplace_back("Damask-Timeout-Ms", "20");
        const auto result = m_fixture.fleet.call(m_entry, probe);
        return result && (result->status == 200 || result->status == 502);
    }

    /// Brings the request to the step of the cell.
    void reachStep()
    {
        m_isHolding = m_cell.step == Step::Queue || m_cell.step == Step::Wait || m_cell.step == Step::Reply;
        auto* base = m_fixture.fleet.loop().base();
        if (m_cell.step == Step::Queue) {
            m_slotOccupant = std::make_unique<RawCaller>(base, m_entry);
            m_slotOccupant->send("GET " + path() + "/filler HTTP/1.1\r\nHost: x\r\n\r\n");
            BOOST_TEST(m_fixture.fleet.eventually([&] { return !m_heldResponses.empty(); }));
        }
        if (m_cell.step == Step::Connect)
            m_endpoint.reset();
        m_caller = std::make_unique<RawCaller>(base, m_entry);
        if (m_cell.step == Step::Accept)
            return waitFor(50ms);
        if (m_cell.step == Step::Admit) {
            m_caller->send(request().substr(0, 40));
            return waitFor(50ms);
        }
        m_caller->send(request());
        if (m_cell.step == Step::Wait || m_cell.step == Step::Reply)
            BOOST_TEST(m_fixture.fleet.eventually([&] { return runs() == 1; }));
        else if (m_cell.step == Step::Close)
            BOOST_TEST(m_fixture.fleet.eventually([&] { return outcome() == Done; }));
        else
            waitFor(100ms);
    }

    /// Injects the fault of the cell.
    void injectFault()
    {
        auto& process = *m_fixture.fleet.daemon(m_node).process;
        switch (m_cell.fault) {
        case Fault::CallerDisconnect:
            m_caller.reset();
            return waitFor(50ms);
        case Fault::EndpointDisconnect:
            m_isHolding = false;
            return m_endpoint ? m_endpoint->closeAll() : void();
        case Fault::EndpointSuspend:
            return;
        case Fault::EntryKill:
            return process.signal(SIGKILL);
        case Fault::EntrySuspend:
            process.signal(SIGSTOP);
            release();
            sendRemainder();
            waitFor(1200ms);
            return process.signal(SIGCONT);
        case Fault::PlatformDown:
            m_fixture.fleet.setPlatformFaults({ { "table", "down" } });
            waitFor(400ms);
            release();
            return sendRemainder();
        }
    }

    /// Waits for the outcome at the caller and checks it and the number of runs.
    void check()
    {
        const auto name = std::string(nameOf(stepNames, m_cell.step)) + " x "
            + std::string(nameOf(faultNames, m_cell.fault));
        BOOST_TEST(m_fixture.fleet.eventually([&] { return outcome() != 0; }, 10s),
            name << ": the caller got no outcome");
        BOOST_TEST((outcome() & m_cell.allowedOutcomes),
            name << ": outcome " << outcome() << ", received " << received());
        BOOST_TEST(runs() <= m_cell.maxRuns, name << ": ran " << runs() << " times");
        if (outcome() == NotRun)
            BOOST_TEST(runs() == 0, name << ": reported as not run, but it ran");
        if (outcome() == Done)
            BOOST_TEST(runs() == 1, name << ": reported as done, but it did not run");
        if (m_cell.fault == Fault::CallerDisconnect && m_cell.step != Step::Send) {
            // The only slot of the pool must be free again.
            m_isHolding = false;
            release();
            BOOST_TEST(isReady(), name << ": the slot was not freed");
        }
        m_fixture.fleet.setPlatformFaults(json::object());
    }

private:
    std::string path() const { return "/" + m_pool; }

    std::string request() const
    {
        const std::string body(m_cell.step == Step::Send ? 3'000'000 : 4, 'x');
        const bool hasTimeout = m_cell.fault == Fault::EndpointSuspend || m_cell.step == Step::Send;
        return "POST " + path() + "/order HTTP/1.1\r\nHost: x\r\nX-Request-Id: cell\r\n"
            + (hasTimeout ? "Damask-Timeout-Ms: 1000\r\n" : "")
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void answer(const std::shared_ptr<RawConnection>& connection, const std::string& request)
    {
        const bool isOrder = request.starts_with("POST");
        m_runs += isOrder;
        if (!m_isHolding)
            return connection->send(std::string(firstHalf) + std::string(secondHalf));
        const bool sendsHalf = isOrder && m_cell.step == Step::Reply;
        if (sendsHalf)
            connection->send(std::string(firstHalf));
        m_heldResponses.emplace_back(
            connection, sendsHalf ? secondHalf : std::string(firstHalf) + std::string(secondHalf));
    }

    /// Sends the responses that the endpoint holds back.
    void release()
    {
        m_isHolding = false;
        for (const auto& [connection, rest] : m_heldResponses)
            connection->send(rest);
        m_heldResponses.clear();
    }

    /// Sends the part of the request that the caller has not sent yet.
    void sendRemainder()
    {
        if (m_cell.step == Step::Accept)
            m_caller->send(request());
        if (m_cell.step == Step::Admit)
            m_caller->send(request().substr(40));
    }

    void waitFor(std::chrono::milliseconds time)
    {
        m_fixture.fleet.eventually([] { return false; }, time);
    }

    std::string received() const { return m_caller ? m_caller->received().substr(0, 200) : ""; }

    /// Outcome that the caller has seen so far; 0: none yet.
    unsigned outcome() const
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

    RequestFixture& m_fixture;
    const MatrixCell& m_cell;
    std::string m_node;
    std::string m_pool;
    Address m_entry;
    std::unique_ptr<RawEndpoint> m_endpoint;
    std::unique_ptr<RawCaller> m_caller;
    std::unique_ptr<RawCaller> m_slotOccupant;
    std::vector<std::pair<std::shared_ptr<RawConnection>, std::string>> m_heldResponses;
    int m_runs = 0;
    bool m_isHolding = false;
};

} // namespace

BOOST_AUTO_TEST_CASE(matrixCoversEveryStepAndFault)
{
    BOOST_TEST(std::size(cells) == stepNames.size() * faultNames.size());
    for (const auto& cell : cells)
        BOOST_TEST((cell.allowedOutcomes == 0) != cell.impossibleReason.empty());
}

BOOST_AUTO_TEST_CASE(eachFaultAtEachStepHasAnAllowedOutcome)
{
    RequestFixture fixture;
    int number = 0;
    for (const auto& cell : cells) {
        const int index = number++;
        if (cell.allowedOutcomes == 0)
            continue;
        Trial trial(fixture, cell, index);
        const auto current
            = fixture.fleet.callJson(fixture.admin(), "GET", "/v1/configurations/current").second;
        fixture.fleet.callJson(fixture.admin(), "PUT", "/v1/configurations/current",
            { { "resourceVersion", current["resourceVersion"] },
                { "spec",
                    { { "routes",
                        { { { "prefix", "/p" + std::to_string(index) },
                            { "pool", "p" + std::to_string(index) } } } } } } });
        BOOST_REQUIRE(fixture.fleet.eventually([&] { return trial.isReady(); }));
        trial.reachStep();
        trial.injectFault();
        trial.check();
    }
}
