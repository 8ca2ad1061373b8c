/// \file
/// One real process of the fleet role whose link to the table is a relay of limited bandwidth. The operators'
/// configuration comes from the stand-in; the tests see which one the node applies from its answers to
/// counts.
#pragma once

#include "../../platform/standin/platform.h"
#include "../harness/process.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <unistd.h>

namespace damask::fleet::standin {

/// Ignores what VMs do; these tests have none.
class NoObserver final : public RunObserver {
public:
    void started(
        const std::string&, const std::string&, const TaskId&, std::uint32_t, const std::string&) override
    {
    }
    void ended(const std::string&, const TaskId&, std::uint32_t, const std::string&) override { }
    void acknowledged(const TaskId&, std::uint32_t, const std::string&) override { }
    void crashed(const std::string&, const TaskId&) override { }
    void reportViolation(const std::string&) override { }
};

struct SlowLinkFixture {
    /// A configuration of this size takes about 0.4 MB on the wire.
    static constexpr int manyQueues = 1500;
    /// Bound for a configuration to be in force, as in the settings that the stand-in writes.
    static constexpr std::chrono::milliseconds applyBound { 3000 };

    NoObserver observer;
    Loop loop;
    Platform platform { loop.base(), observer, 20261204 };
    HttpClient client { loop.base(), {} };
    harness::Process relay { { harness::binary("standin_relay"), "1" } };
    Address relayAdmin;
    NodeAddresses node;
    std::filesystem::path folder
        = std::filesystem::temp_directory_path() / ("damask_slow_link_" + std::to_string(getpid()));
    std::unique_ptr<harness::Process> process;

    SlowLinkFixture()
    {
        std::filesystem::create_directories(folder);
        const auto line = relay.waitForEvent("listening");
        const auto portField = [&](const char* name) {
            return static_cast<std::uint16_t>(std::stoi(harness::Process::field(line, name)));
        };
        relayAdmin = { "127.0.0.1", portField("port") };
        // An address in 127/8 derived from the process id, so that concurrent tests do not share ports.
        const auto ip = "127." + std::to_string(64 + (getpid() >> 8) % 128) + "."
            + std::to_string(getpid() % 256) + ".1";
        node = { "n0", ip, { ip, 7001 }, { ip, 7002 }, { "127.0.0.1", portField("ports") } };
        const auto settings = (folder / "n0.toml").string();
        platform.writeSettings(node, settings);
        setRelay(nlohmann::json::object());
        configure({ "old" }, 0);
        process = std::make_unique<harness::Process>(std::vector<std::string> { harness::binary("damaskd"),
                                                         "fleet", "--deployment_settings=" + settings },
            (folder / "n0.log").string());
        BOOST_REQUIRE(loop.runUntil([this] { return countStatus("old") == 200; }, std::chrono::seconds(20)));
    }

    ~SlowLinkFixture()
    {
        process.reset();
        std::filesystem::remove_all(folder);
    }

    /// Sets the faults and the bandwidth of the node's link to the table.
    void setRelay(nlohmann::json state)
    {
        state["relay"] = 0;
        state["target"] = http::toString(platform.table().address());
        BOOST_REQUIRE_EQUAL(call(relayAdmin, { "POST", "/admin/relays", "", {}, state.dump() }), 200);
    }

    /// Writes the next configuration: the named queues and \p others more.
    void configure(const std::vector<std::string>& names, int others)
    {
        std::vector<QueueSpec> queues;
        for (const auto& name : names)
            queues.push_back({ name, "pricing" });
        for (int i = 0; i < others; ++i)
            queues.push_back({ "queue" + std::to_string(i), "pricing" });
        platform.configure(queues, { "pricing" });
    }

    /// Status of the node's answer to a count of the queue's jobs; 0 if there is none.
    int countStatus(const std::string& queue)
    {
        return call(node.callers, stateRequest({ queue, "pricing" }, ""));
    }

    int call(const Address& address, const HttpRequest& request)
    {
        std::optional<int> status;
        client.send(address, request, std::chrono::seconds(4),
            [&](const HttpResult& result) { status = result ? result->status : 0; });
        loop.runUntil([&] { return status.has_value(); }, std::chrono::seconds(10));
        return status.value_or(0);
    }
};

} // namespace damask::fleet::standin
