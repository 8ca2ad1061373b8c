/// Responses to callers while the table is unreachable, overloaded or slow.
#include "fakes_test.h"

#include <damaskworks/caller_service.h>
#include <damaskworks/timed_table.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

class FakeExchange final : public HttpExchange {
public:
    explicit FakeExchange(std::string id, std::string_view prefix = "/quotes/")
    {
        m_request.method = "POST";
        m_request.path = std::string(prefix) + std::move(id);
        m_request.headers = { { "Host", "shop.example" } };
    }
    const HttpRequest& request() const override { return m_request; }
    void reply(HttpResponse response) override { sentResponse = std::move(response); }
    void startStream(int, HttpHeaders) override { }
    void sendChunk(std::string_view) override { }
    std::size_t unsentBytes() const override { return 0; }
    void endStream() override { }
    bool isOpen() const override { return !sentResponse; }
    void onCallerDisconnected(std::function<void()>) override { }

    std::optional<HttpResponse> sentResponse;

private:
    HttpRequest m_request;
};

/// Decodes every body as a job with so many steps.
class FakeCodec final : public Codec {
public:
    CallerAction action(std::string_view, std::string_view) const override { return CallerAction::Submit; }
    std::size_t stepCount = 1;
    std::string spec;

    tl::expected<JobSpec, FormatError> decodeSubmission(std::string_view) const override
    {
        JobSpec job;
        job.steps.resize(stepCount);
        job.spec = spec;
        return job;
    }
    std::optional<milliseconds> callerDeadline(const HttpRequest&) const override { return 3000ms; }
    std::string_view callerKey(const HttpRequest& request) const override
    {
        return http::header(request.headers, "Key").value_or(std::string_view());
    }
    std::string encodeState(JobState) const override { return "{}"; }
    std::string encodePending(std::size_t) const override { return "{}"; }
    tl::expected<VmRegistration, FormatError> decodeVm(const TableRow&) const override
    {
        return VmRegistration {};
    }
    tl::expected<FleetConfig, FormatError> decodeConfig(const TableRow&) const override
    {
        return FleetConfig {};
    }
    tl::expected<WaveRequest, FormatError> decodeWave(const TableRow&) const override
    {
        return WaveRequest {};
    }
    std::string encodeWaveState(std::int64_t, bool) const override { return ""; }
    const std::string& vmTable() const override { return m_name; }
    const std::string& operatorTable() const override { return m_name; }
    const std::string& statusTable() const override { return m_name; }
    bool isConfigKey(std::string_view) const override { return false; }
    bool isWaveKey(std::string_view) const override { return false; }
    std::string waveStatusKey(std::int64_t) const override { return ""; }

private:
    std::string m_name = "unused";
};

struct CallerFixture {
    Loop loop;
    ManualClock clock;
    Metrics metrics;
    TableContact contact;
    FakeTable* fakeTable = new FakeTable(loop.base()); ///< owned by table
    TimedTable table { std::unique_ptr<SharedTable>(fakeTable), clock, metrics, contact };
    FakeCodec codec;
    JobDirectory directory;
    Duration configAge {};
    CallerService service { { loop.base(), clock, metrics, table, codec, directory,
        [this] { return clock.now(); }, [this] { return clock.now() - configAge; }, 3000ms, contact } };

    CallerFixture()
    {
        recordContact(contact, clock.now());
        FleetConfig config;
        Queue queue;
        queue.name = "quotes";
        queue.host = "shop.example";
        queue.prefix = "/quotes/";
        queue.pool = "pricing";
        config.queues = { queue };
        service.setConfig(std::make_shared<const FleetConfig>(config));
    }

    std::shared_ptr<FakeExchange> submit(const std::string& id, std::string_view prefix = "/quotes/")
    {
        auto exchange = std::make_shared<FakeExchange>(id, prefix);
        service.handle(exchange);
        loop.runUntil([&] { return exchange->sentResponse.has_value(); }, 10s);
        BOOST_REQUIRE(exchange->sentResponse);
        return exchange;
    }

    bool isStored(const std::string& id) const
    {
        return fakeTable->find(std::string(jobTable), rows::jobPart("quotes", id), rows::jobKey(id))
            != nullptr;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(caller_service, CallerFixture)

BOOST_AUTO_TEST_CASE(submissionIsRefusedAtOnceWhileTableIsLost)
{
    for (int i = 0; i < 3; ++i)
        recordFailedContact(contact);
    const auto exchange = submit("a1");
    BOOST_TEST(exchange->sentResponse->status == 503);
    BOOST_TEST(http::header(exchange->sentResponse->headers, "Retry-After").value_or("") == "1");
    BOOST_TEST(!isStored("a1"));
    clock.advance(3s);
    BOOST_TEST(http::header(submit("a2")->sentResponse->headers, "Retry-After").value_or("") == "2");
    // After one response of the table, to any call, the service accepts submissions again.
    recordContact(contact, clock.now());
    BOOST_TEST(submit("a3")->sentResponse->status == 200);
    BOOST_TEST(isStored("a3"));
}

BOOST_AUTO_TEST_CASE(submissionThatMayBeStoredIsAnsweredAsUnknown)
{
    // Callers of a node that had lost the table waited 2.8 s for this response.
    fakeTable->faults.assign(20, CommitFault::Delayed);
    auto exchange = std::make_shared<FakeExchange>("a1");
    service.handle(exchange);
    BOOST_REQUIRE(loop.runUntil([&] { return fakeTable->faults.size() <= 18; }, 10s));
    BOOST_TEST(!exchange->sentResponse);
    clock.advance(1500ms); // no call has got a response since
    BOOST_REQUIRE(loop.runUntil([&] { return exchange->sentResponse.has_value(); }, 10s));
    BOOST_TEST(exchange->sentResponse->status == 504);
    BOOST_TEST(fakeTable->applyDelayed() == 1);
    BOOST_TEST(isStored("a1"));
    // The caller repeats the submission; the table still holds one job.
    fakeTable->faults.clear();
    recordContact(contact, clock.now());
    BOOST_TEST(submit("a1")->sentResponse->status == 200);
    BOOST_TEST(fakeTable->rows(std::string(jobTable)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(overloadedTableStillCountsAsReachable)
{
    // When all nodes restarted at once, their reads overloaded the table.
    fakeTable->faults.assign(4, CommitFault::Overloaded);
    BOOST_TEST(submit("a1")->sentResponse->status == 503);
    BOOST_TEST(submit("a2")->sentResponse->status == 503);
    BOOST_TEST(contact.failures == 0);
    BOOST_TEST(looksReachable(contact, clock.now()));
}

BOOST_AUTO_TEST_CASE(slowTableOrLostResponsesStillCountAsReachable)
{
    // When a third of the responses to writes were lost for 4.5 s, all nodes in turn became unready and
    // refused callers, although the table accepted every job.
    for (const auto fault : { CommitFault::Delayed, CommitFault::ResponseLost }) {
        fakeTable->faults.assign(3, fault);
        int completedCommits = 0;
        for (int i = 0; i < 3; ++i)
            table.commit({ "part", {}, {} }, 900ms, [&](const TableResult<Version>&) { ++completedCommits; });
        clock.advance(500ms);
        BOOST_REQUIRE(loop.runUntil([&] { return completedCommits == 3; }, 10s));
        BOOST_TEST(looksReachable(contact, clock.now()));
        BOOST_TEST(!isUnreachable(contact, clock.now()));
    }
    BOOST_TEST(submit("a1")->sentResponse->status == 200);
}

BOOST_AUTO_TEST_CASE(submissionIsRetriedAfterLostResponse)
{
    fakeTable->faults = { CommitFault::ResponseLost };
    BOOST_TEST(submit("a1")->sentResponse->status == 200);
    BOOST_TEST(isStored("a1"));
}

// A node that had been turned away by the table answered by a configuration replaced seconds before.
BOOST_AUTO_TEST_CASE(newJobsAreRefusedByAConfigurationThatMayBeOutOfDate)
{
    configAge = 3000ms;
    BOOST_TEST(submit("a1")->sentResponse->status == 200);
    configAge = 3001ms;
    const auto refused = submit("a2");
    BOOST_TEST(refused->sentResponse->status == 503);
    BOOST_TEST(http::header(refused->sentResponse->headers, "Retry-After").value_or("") == "1");
    BOOST_TEST(!isStored("a2"));
}

BOOST_AUTO_TEST_CASE(noQueueIsDeniedByAConfigurationThatMayBeOutOfDate)
{
    BOOST_TEST(submit("a1", "/added/")->sentResponse->status == 404);
    configAge = 3001ms;
    BOOST_TEST(submit("a1", "/added/")->sentResponse->status == 503);
}

BOOST_AUTO_TEST_CASE(knownJobIsStillConfirmedByAConfigurationThatMayBeOutOfDate)
{
    submit("a1");
    directory.apply(
        *fakeTable->find(std::string(jobTable), rows::jobPart("quotes", "a1"), rows::jobKey("a1")));
    configAge = 3001ms;
    BOOST_TEST(submit("a1")->sentResponse->status == 200);
}

// The table rejected the rows, and the caller was told to come again.
BOOST_AUTO_TEST_CASE(jobThatNoRowHoldsIsRejectedAtOnceWithAReason)
{
    codec.stepCount = 30'000;
    const auto tooManySteps = submit("j1");
    BOOST_TEST(tooManySteps->sentResponse->status == 413);
    BOOST_TEST(
        tooManySteps->sentResponse->body.find("bytes in a row, at most 65536 fit") != std::string::npos);
    codec.stepCount = 1;
    codec.spec = std::string(defaultMaxRowBytes + 1, 'x');
    BOOST_TEST(submit("j2")->sentResponse->status == 413);
    BOOST_TEST(fakeTable->largestTransaction == 0u); // nothing was sent
    codec.spec = std::string(defaultMaxRowBytes, 'x');
    BOOST_TEST(submit("j3")->sentResponse->status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
