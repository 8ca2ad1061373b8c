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

/// Nodes that share a table and serve callers of the queue "quotes".
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
        config.queues = { makeQuotesQueue() };
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

    std::shared_ptr<FakeExchange> send(
        std::size_t node, const std::string& method, const std::string& id, const std::string& key = "")
    {
        auto exchange = std::make_shared<FakeExchange>(id, "/quotes/", method);
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
        loop.runUntil([&] { return exchange->status() != 0; }, 10s);
        return exchange->status();
    }

    /// Sends a submission whose first attempt gets no response from the table; it may be performed later.
    std::shared_ptr<FakeExchange> submitLate(
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
