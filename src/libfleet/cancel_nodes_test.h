/// \file
/// Several nodes over one table, for tests of cancellations beside submissions that are still under way.
#pragma once

#include "caller_fakes_test.h"

#include <damaskworks/caller_service.h>

#include <deque>
#include <memory>

namespace damask::fleet {

/// How long jobs that were cancelled before they were accepted stay cancelled.
constexpr milliseconds testRetention { 10'000 };

/// A node: its view of the jobs, which follows the table as far as the test lets it, and its callers'
/// service.
struct CallerNode {
    TableContact contact;
    JobDirectory directory;
    std::deque<TableRow> feed; ///< changes that the directory has not applied
    std::unique_ptr<CallerService> service;

    /// Applies the next \p most changes.
    void follow(std::size_t most = SIZE_MAX)
    {
        for (; most > 0 && !feed.empty(); --most) {
            const auto row = std::move(feed.front());
            feed.pop_front();
            directory.apply(row);
        }
    }
};

/// A caller that may leave before it has an answer.
class LeavingExchange final : public HttpExchange {
public:
    explicit LeavingExchange(const std::string& method, const std::string& prefix, const std::string& id)
    {
        m_request.method = method;
        m_request.path = prefix + id;
        m_request.headers = { { "Host", "shop.example" } };
    }
    const HttpRequest& request() const override { return m_request; }
    void setKey(const std::string& key) { m_request.headers.emplace_back("Key", key); }
    void leave()
    {
        m_hasLeft = true;
        if (m_onLeft)
            std::exchange(m_onLeft, nullptr)();
    }
    void reply(HttpResponse response) override { status = response.status; }
    void startStream(int, HttpHeaders) override { }
    void sendChunk(std::string_view) override { }
    std::size_t unsentBytes() const override { return 0; }
    void endStream() override { }
    bool isOpen() const override { return !m_hasLeft && status == 0; }
    void onCallerDisconnected(std::function<void()> callback) override { m_onLeft = std::move(callback); }

    int status = 0; ///< of the response; 0 before it

private:
    HttpRequest m_request;
    bool m_hasLeft = false;
    std::function<void()> m_onLeft;
};

struct CallerNodes {
    Loop loop;
    ManualClock clock;
    Metrics metrics;
    FakeTable table { loop.base() };
    FakeCodec codec;
    std::vector<std::unique_ptr<CallerNode>> nodes;

    /// The queue "quotes" is of organisations with keys if \p hasKeys.
    explicit CallerNodes(int count, bool hasKeys = false)
    {
        clock.advance(1h);
        table.onChange = [this](const std::string& name, const TableRow& row) {
            for (auto& node : nodes) {
                if (name == jobTable)
                    node->feed.push_back(row);
            }
        };
        for (int i = 0; i < count; ++i)
            addNode(hasKeys);
    }

    static FleetConfig makeConfig(bool hasKeys)
    {
        FleetConfig config;
        Queue queue;
        queue.name = "quotes";
        queue.host = "shop.example";
        queue.prefix = "/quotes/";
        queue.pool = "pricing";
        config.queues = { queue };
        if (hasKeys) {
            config.organisations["bakers"].keys = { "key-bakers" };
            config.organisations["grocers"].keys = { "key-grocers" };
        }
        return config;
    }

    void addNode(bool hasKeys)
    {
        auto& node = *nodes.emplace_back(std::make_unique<CallerNode>());
        CallerContext context { loop.base(), clock, metrics, table, codec, node.directory,
            [this] { return clock.now(); }, [this] { return clock.now(); }, 3000ms, node.contact };
        context.cancelledJobRetention = testRetention;
        node.service = std::make_unique<CallerService>(context);
        auto config = makeConfig(hasKeys);
        auto keys = CallerKeys::takeFrom(config);
        node.service->setConfig(std::make_shared<const FleetConfig>(std::move(config)), std::move(keys));
    }

    std::shared_ptr<LeavingExchange> send(
        std::size_t node, const std::string& method, const std::string& id, const std::string& key = "")
    {
        auto exchange = std::make_shared<LeavingExchange>(method, "/quotes/", id);
        if (!key.empty())
            exchange->setKey(key);
        recordContact(nodes[node]->contact, clock.now());
        nodes[node]->service->handle(exchange);
        return exchange;
    }

    /// Sends a request and returns the status of the response.
    int call(std::size_t node, const std::string& method, const std::string& id, const std::string& key = "")
    {
        const auto exchange = send(node, method, id, key);
        loop.runUntil([&] { return exchange->status != 0; }, 10s);
        return exchange->status;
    }

    /// Sends a submission whose first attempt gets no response from the table; it may be performed later.
    std::shared_ptr<LeavingExchange> submitLate(
        std::size_t node, const std::string& id, const std::string& key = "")
    {
        table.faults = { CommitFault::Delayed };
        auto exchange = send(node, "POST", id, key);
        loop.runUntil([&] { return table.faults.empty(); }, 1s);
        return exchange;
    }

    bool isStored(const std::string& id) const
    {
        return table.find(std::string(jobTable), rows::jobPart("quotes", id), rows::jobKey(id)) != nullptr;
    }

    std::size_t fencesInTable() const
    {
        std::size_t fences = 0;
        for (const auto& row : table.rows(std::string(jobTable)))
            fences += !parseCancelFenceKey(row.key).job.empty();
        return fences;
    }

    void followAll()
    {
        for (auto& node : nodes)
            node->follow();
    }
};

} // namespace damask::fleet
