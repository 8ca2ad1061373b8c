/// Model test of cancellations: submissions and cancellations of the same jobs by callers of several nodes,
/// in random order, while writes are late and holders follow each other.
#include "cancel_nodes_test.h"
#include "holder_fakes_test.h"

#include <random>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

constexpr int nodeCount = 3;
constexpr int jobCount = 20;
constexpr int steps = 160;
/// Within which a cancelled job that was accepted may still start; equals cancel_ms of the deployments.
constexpr milliseconds maxStartAfterCancel { 3000 };
/// Longest time for which the model leaves a node without the newest rows.
constexpr milliseconds maxLag { 500 };

/// What the callers of a job have seen.
struct JobCalls {
    std::vector<std::shared_ptr<FakeExchange>> submissions;
    std::vector<std::shared_ptr<FakeExchange>> cancellations;
    TimePoint fencedAt {}; ///< when the cancellation of the unknown job was acknowledged
    TimePoint cancelledAt {}; ///< when the cancellation of the accepted job was acknowledged
    bool isFromEarlierBuild = false;
    int starts = 0;
};

class CancelModel : CallerNodes {
public:
    explicit CancelModel(std::uint64_t seed)
        : CallerNodes(nodeCount)
        , m_random(seed)
    {
        m_endpoints.onStart = [this](const std::string& job) { checkStart(job); };
        takeOver();
    }

    void run()
    {
        for (int i = 0; i < steps; ++i) {
            act();
            pass(milliseconds(between(1, 40)));
        }
        settle();
        for (const auto& [id, calls] : m_calls)
            checkOutcome(id, calls);
    }

    const std::string& violation() const { return m_violation; }
    int fenced() const { return m_fenced; }
    int starts() const { return m_starts; }

private:
    int between(int least, int most) { return std::uniform_int_distribution<int>(least, most)(m_random); }
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
    std::size_t anyNode() { return static_cast<std::size_t>(between(0, nodeCount - 1)); }
    std::string anyJob() { return "a0000000000000" + std::to_string(10 + between(0, jobCount - 1)); }

    CommitFault anyFault()
    {
        static constexpr std::array<CommitFault, 6> kinds { CommitFault::None, CommitFault::None,
            CommitFault::ResponseLost, CommitFault::Delayed, CommitFault::Delayed, CommitFault::Refused };
        return kinds.at(static_cast<std::size_t>(between(0, kinds.size() - 1)));
    }

    /// Something that a caller, the table or a node does.
    void act()
    {
        const int kind = between(0, 19);
        const auto id = anyJob();
        auto& calls = m_calls[id];
        if (kind < 6) {
            table.faults = { anyFault(), anyFault() };
            calls.submissions.push_back(send(anyNode(), "POST", id));
        } else if (kind < 11) {
            table.faults = { anyFault(), anyFault() };
            calls.cancellations.push_back(send(anyNode(), "DELETE", id));
        } else if (kind < 13 && !calls.submissions.empty()) {
            calls.submissions.back()->leave();
        } else if (kind < 16 && table.delayedTransactions() > 0) {
            table.applyDelayed(
                static_cast<std::size_t>(between(0, static_cast<int>(table.delayedTransactions()) - 1)));
        } else if (kind == 16) {
            reload(*nodes[anyNode()]);
        } else if (kind == 17 && chance(0.5)) {
            takeOver();
        } else if (kind == 18 && chance(0.3)) {
            storeByEarlierBuild(id);
        } else if (kind == 19 && chance(0.1)) {
            expireFences();
        }
    }

    /// Lets time pass, and some rows reach some nodes.
    void pass(milliseconds time)
    {
        clock.advance(time);
        m_endpoints.respond();
        loop.runUntil([] { return false; }, 1ms);
        const bool isLagOver = clock.now() - m_followedAt > maxLag;
        for (auto& node : nodes) {
            if (isLagOver || chance(0.3))
                node->follow(isLagOver ? SIZE_MAX : static_cast<std::size_t>(between(1, 5)));
        }
        if (isLagOver)
            m_followedAt = clock.now();
        noteAnswers();
        if (m_hasEnded)
            takeOver();
    }

    void noteAnswers()
    {
        for (auto& [id, calls] : m_calls) {
            for (const auto& cancellation : calls.cancellations) {
                if (cancellation->status() == 410 && calls.fencedAt == TimePoint {}) {
                    calls.fencedAt = clock.now();
                    ++m_fenced;
                }
                if (cancellation->status() == 200 && calls.cancelledAt == TimePoint {})
                    calls.cancelledAt = clock.now();
            }
        }
    }

    void checkStart(const std::string& id)
    {
        ++m_starts;
        auto& calls = m_calls[id];
        ++calls.starts;
        if (calls.fencedAt != TimePoint {})
            m_violation += id + " starts after its cancellation was answered 410; ";
        if (calls.cancelledAt != TimePoint {} && clock.now() > calls.cancelledAt + maxStartAfterCancel)
            m_violation += id + " starts long after its cancellation was answered 200; ";
    }

    void checkOutcome(const std::string& id, const JobCalls& calls)
    {
        const bool isRefused = !calls.isFromEarlierBuild && !calls.submissions.empty()
            && std::all_of(calls.submissions.begin(), calls.submissions.end(), [](const auto& submission) {
                   return submission->status() == 503 || submission->status() == 410;
               });
        if (isAccepted(calls) && !isStored(id))
            m_violation += id + " was accepted and is not stored; ";
        if (isAccepted(calls) && calls.cancellations.empty() && calls.starts == 0)
            m_violation += id + " was accepted and never starts; ";
        if (isRefused && calls.starts > 0)
            m_violation += id + " was refused and has run; ";
    }

    void reload(CallerNode& node)
    {
        node.feed.clear();
        node.directory.reset(table.rows(std::string(jobTable)));
    }

    /// Stores the job as builds without fences do.
    void storeByEarlierBuild(const std::string& id)
    {
        JobSpec spec;
        spec.id = id;
        spec.queue = "quotes";
        spec.pool = "pricing";
        spec.steps.resize(1);
        const std::string name(jobTable);
        table.faults.clear();
        table.commit({ rows::jobPart("quotes", id), { { name, rows::jobKey(id), 0 } },
                         { { name, rows::jobKey(id), encodeJob(spec) } } },
            1s, [](const TableResult<Version>&) {});
        m_calls[id].isFromEarlierBuild = true;
    }

    /// Lets all fences expire and be removed. Their jobs may be submitted again.
    void expireFences()
    {
        settle();
        for (int i = 0; i < 32; ++i) {
            const auto number = std::to_string(100 + i);
            call(0, "DELETE", "a" + std::string(15 - number.size(), '0') + number);
        }
        for (int i = 0; i < 3; ++i) {
            clock.advance(testRetention);
            followAll();
            call(0, "DELETE", "a00000000000090" + std::to_string(i));
        }
        followAll();
        for (auto& [id, calls] : m_calls) {
            const auto key = rows::cancelFenceKey(id, "");
            if (!table.find(std::string(jobTable), rows::jobPart("quotes", id), key) && !isStored(id))
                calls = {};
        }
        takeOver();
    }

    /// Ends the faults and gives the calls and the holder time to finish. Late writes that are left stay.
    void settle()
    {
        table.faults.clear();
        const auto isAnswered = [this] {
            for (const auto& [id, calls] : m_calls) {
                for (const auto& submission : calls.submissions) {
                    if (submission->isOpen())
                        return false;
                }
                for (const auto& cancellation : calls.cancellations) {
                    if (cancellation->status() == 0)
                        return false;
                }
            }
            return true;
        };
        loop.runUntil(isAnswered, 5s);
        noteAnswers();
        constexpr int minPasses = 150;
        constexpr int maxPasses = 2000;
        for (int i = 0; i < minPasses || (i < maxPasses && isStartAwaited()); ++i)
            pass(20ms);
        noteAnswers();
    }

    /// Whether a job was accepted, was never cancelled, and has not started.
    bool isStartAwaited() const
    {
        return std::any_of(m_calls.begin(), m_calls.end(), [](const auto& entry) {
            const JobCalls& calls = entry.second;
            return isAccepted(calls) && calls.cancellations.empty() && calls.starts == 0;
        });
    }

    static bool isAccepted(const JobCalls& calls)
    {
        return calls.isFromEarlierBuild
            || std::any_of(calls.submissions.begin(), calls.submissions.end(),
                [](const auto& submission) { return submission->status() == 200; });
    }

    /// Lets any node hold the pool from now on.
    void takeOver()
    {
        m_holder.reset();
        m_hasEnded = false;
        table.faults.clear();
        const auto number = anyNode();
        auto& node = *nodes[number];
        const LeaseRow lease { "n" + std::to_string(number), "s" + std::to_string(m_terms), m_terms,
            m_terms };
        ++m_terms;
        const auto* earlier
            = table.find(std::string(controlTable), rows::poolPart("pricing"), std::string(leaseKey));
        Version version = 0;
        table.commit(
            { rows::poolPart("pricing"),
                { { std::string(controlTable), std::string(leaseKey), earlier ? earlier->version : 0 } },
                { { std::string(controlTable), std::string(leaseKey), encodeLease(lease) } } },
            1s, [&](TableResult<Version> result) { version = *result; });
        BOOST_REQUIRE(loop.runUntil([&] { return version > 0; }, 10s));
        for (auto& other : nodes)
            other->directory.setListener(nullptr);
        HolderContext context { loop.base(), clock, metrics, table, m_endpoints, m_machines, m_advice,
            node.directory, [] { return true; } };
        m_holder = std::make_unique<PoolHolder>(
            context, "pricing", AcquiredLease { lease, version, clock.now() }, LeaseTiming {}, 4500ms, [] {},
            [this] { m_hasEnded = true; });
        BOOST_REQUIRE(loop.runUntil([&] { return m_holder->isProgressLoaded(); }, 10s));
        node.follow();
        node.directory.setListener([this](const std::string& id, const JobRecord& record) {
            if (m_holder)
                m_holder->applyJob(id, record);
        });
        m_holder->begin(makeHolderConfig(), { { "v1", makeHolderVm() } });
    }

    std::mt19937_64 m_random;
    WorkingEndpoints m_endpoints { clock };
    NoMachines m_machines;
    NoAdvice m_advice;
    std::map<std::string, JobCalls> m_calls;
    std::unique_ptr<PoolHolder> m_holder;
    std::uint64_t m_terms = 0;
    bool m_hasEnded = false;
    TimePoint m_followedAt {}; ///< when all nodes last had the newest rows
    int m_fenced = 0;
    int m_starts = 0;
    std::string m_violation;
};

} // namespace

BOOST_AUTO_TEST_SUITE(cancel_model)

// A job ran although its cancellation was acknowledged, did not run although it was accepted, or ran although
// all its submissions were refused.
BOOST_AUTO_TEST_CASE(nothingStartsAfterAnAcknowledgedCancellation)
{
    constexpr std::uint64_t seeds = 10;
    int fenced = 0;
    int starts = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CancelModel model(seed);
        model.run();
        BOOST_TEST(model.violation() == "", "seed " << seed << ": " << model.violation());
        fenced += model.fenced();
        starts += model.starts();
    }
    BOOST_TEST(fenced > static_cast<int>(seeds));
    BOOST_TEST(starts > static_cast<int>(seeds));
}

BOOST_AUTO_TEST_SUITE_END()
