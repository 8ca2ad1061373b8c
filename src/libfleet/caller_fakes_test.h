/// \file
/// A caller service with fakes around it, for tests of what callers are told.
#pragma once

#include "fakes_test.h"

#include <damaskworks/caller_service.h>
#include <damaskworks/timed_table.h>

#include <boost/test/unit_test.hpp>

namespace damask::fleet {

using namespace std::chrono_literals;

class FakeExchange final : public HttpExchange {
public:
    explicit FakeExchange(std::string id, std::string_view prefix = "/quotes/", std::string method = "POST")
    {
        m_request.method = std::move(method);
        m_request.path = std::string(prefix) + std::move(id);
        m_request.headers = { { "Host", "shop.example" } };
    }
    const HttpRequest& request() const override { return m_request; }
    void setKey(const std::string& key) { m_request.headers.emplace_back("Key", key); }
    void reply(HttpResponse response) override { sentResponse = std::move(response); }
    void startStream(int, HttpHeaders) override { }
    void sendChunk(std::string_view) override { }
    std::size_t unsentBytes() const override { return 0; }
    void endStream() override { }
    bool isOpen() const override { return !m_hasLeft && !sentResponse; }
    void onCallerDisconnected(std::function<void()>) override { }

    /// The caller disconnects before it has a response.
    void leave() { m_hasLeft = true; }
    /// Status of the response; 0 before it.
    int status() const { return sentResponse ? sentResponse->status : 0; }

    std::optional<HttpResponse> sentResponse;

private:
    HttpRequest m_request;
    bool m_hasLeft = false;
};

/// A queue of the paths "/quotes/ID".
inline Queue makeQuotesQueue()
{
    Queue queue;
    queue.name = "quotes";
    queue.host = "shop.example";
    queue.prefix = "/quotes/";
    queue.pool = "pricing";
    return queue;
}

/// Decodes every body as a job with so many steps.
class FakeCodec final : public Codec {
public:
    CallerAction action(std::string_view method, std::string_view id) const override
    {
        if (method == "GET")
            return id.empty() ? CallerAction::CountPending : CallerAction::ReadState;
        return method == "DELETE" ? CallerAction::Cancel : CallerAction::Submit;
    }
    std::size_t stepCount = 1;
    StepSpec step; ///< each of the steps
    std::string spec;

    tl::expected<JobSpec, FormatError> decodeSubmission(std::string_view) const override
    {
        JobSpec job;
        job.steps.assign(stepCount, step);
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
    Duration directoryAge {};
    AdmissionControl admission { clock, metrics, 1 };
    CallerService service;

    explicit CallerFixture(milliseconds keyRevocationTime = 0ms, bool limitsAdmission = false)
        : service({ loop.base(), clock, metrics, table, codec, directory,
            [this] { return clock.now() - directoryAge; }, [this] { return clock.now() - configAge; }, 3000ms,
            contact, defaultMaxRowBytes, keyRevocationTime, limitsAdmission ? &admission : nullptr })
    {
        recordContact(contact, clock.now());
        FleetConfig config;
        config.queues = { makeQuotesQueue() };
        service.setConfig(std::make_shared<const FleetConfig>(config), {});
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

} // namespace damask::fleet
