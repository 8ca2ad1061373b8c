/// Responses to callers while the table is unreachable, overloaded or slow.
#include "caller_fakes_test.h"

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

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
