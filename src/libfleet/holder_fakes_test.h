/// \file
/// A pool's surroundings for tests of its holder: VMs, machines and advice.
#pragma once

#include "fakes_test.h"

#include <damaskworks/job_directory.h>
#include <damaskworks/pool_holder.h>

#include <set>

namespace damask::fleet {

using namespace std::chrono_literals;

/// VMs whose tasks are done as soon as they are started.
class WorkingEndpoints final : public EndpointControl {
public:
    explicit WorkingEndpoints(ManualClock& clock)
        : m_clock(clock)
    {
    }

    std::set<std::string> startedJobs;
    std::function<void(const std::string& job)> onStart;

    void start(const VmTarget&, const StartCommand& command, CommandCallback callback) override
    {
        startedJobs.insert(command.task.job);
        if (onStart)
            onStart(command.task.job);
        m_ends.push_back({ ++m_endCount, command.task, command.run, EndKind::Done, "" });
        m_responses.push_back([this, callback = std::move(callback)] {
            callback({ CommandOutcome::Accepted, vmClock() });
        });
    }
    void stop(const VmTarget&, const TaskId&, std::uint32_t, CommandCallback) override { }
    void heartbeat(const VmTarget&, const HeartbeatCommand& command, ReportCallback callback) override
    {
        std::erase_if(m_ends, [&](const EndReport& end) { return end.number <= command.acknowledged; });
        m_responses.push_back([this, callback = std::move(callback)] {
            VmReport report;
            report.vmClock = vmClock();
            report.bootTime = 1;
            constexpr std::size_t maxListedEnds = 500;
            report.ended.assign(m_ends.begin(),
                m_ends.begin() + static_cast<std::ptrdiff_t>(std::min(m_ends.size(), maxListedEnds)));
            callback(report);
        });
    }
    void throttle(const VmTarget&, const TaskId&, std::uint32_t, int, CommandCallback) override { }

    void respond()
    {
        for (auto& response : std::exchange(m_responses, {}))
            response();
    }

private:
    milliseconds vmClock() const
    {
        return std::chrono::duration_cast<milliseconds>(m_clock.now().time_since_epoch());
    }

    ManualClock& m_clock;
    std::uint64_t m_endCount = 0;
    std::vector<EndReport> m_ends; ///< not acknowledged
    std::vector<std::function<void()>> m_responses;
};

class NoMachines final : public MachineControl {
public:
    void list(std::function<void(tl::expected<std::vector<Machine>, CommandOutcome>)>) override { }
    void move(const std::string&, const std::string&, std::uint64_t, CommandCallback) override { }
    void startMaintenance(const std::string&, std::int64_t, std::uint64_t, CommandCallback) override { }
};

class NoAdvice final : public AdviceControl {
public:
    void requestAdvice(const StepId&, const std::vector<std::string>&, milliseconds, AdviceCallback) override
    {
    }
};

/// A configuration with one queue of pool "pricing".
inline FleetConfig makeHolderConfig()
{
    FleetConfig config;
    Queue queue;
    queue.name = "quotes";
    queue.pool = "pricing";
    config.queues.push_back(queue);
    return config;
}

/// The VM of the pool.
inline VmRegistration makeHolderVm()
{
    VmRegistration vm;
    vm.id = "v1";
    vm.machine = "m1";
    vm.pool = "pricing";
    vm.capacity = { 32'000, 32'000, 0 };
    return vm;
}

} // namespace damask::fleet
