/// \file
/// Fixture with the state of one pool for tests.
#pragma once

#include <damaskworks/pool_plan.h>

#include <algorithm>
#include <string>
#include <vector>

namespace damask::fleet {

/// Pool "pricing" with queue "quotes". Time starts at one hour and moves only by advance().
struct PoolFixture {
    PoolState state;
    ManualClock clock;
    WallTime wallNow { 1'000'000 };

    PoolFixture()
    {
        state.pool = "pricing";
        Queue queue;
        queue.name = "quotes";
        queue.pool = "pricing";
        queue.maxAttempts = 2;
        queue.stretch = 1.6;
        queue.latencyTarget = milliseconds(600);
        state.queues.emplace(queue.name, queue);
    }

    void addVm(
        const std::string& id, std::int64_t cpu = 4000, const std::string& rack = "r1", bool reports = true)
    {
        VmRegistration vm;
        vm.id = id;
        vm.machine = "m-" + id;
        vm.pool = "pricing";
        vm.capacity = { cpu, 32'000, 0 };
        vm.rack = rack;
        vm.labels = { "a", rack };
        listVm(state, vm);
        if (reports)
            report(id);
    }

    /// Changes the capacity in the registration of a VM.
    void setCapacity(const std::string& id, const Resources& capacity)
    {
        auto entry = state.vms.at(id).entry;
        entry.capacity = capacity;
        listVm(state, entry);
    }

    /// Machine of the pool that runs the VM, as addVm() registers it.
    static Machine machineOf(const std::string& vm) { return { "m-" + vm, "pricing", MachineState::Up, vm }; }

    /// Applies a list of the machines of these VMs.
    void listMachinesOf(const std::vector<std::string>& vms)
    {
        std::vector<Machine> machines;
        for (const auto& vm : vms)
            machines.push_back(machineOf(vm));
        applyMachineList(state, machines);
    }

    static StepSpec makeStep(int count, std::int64_t cpu = 1000)
    {
        StepSpec out;
        out.count = count;
        out.need = { cpu, 100, 0 };
        out.estimate = milliseconds(1000);
        return out;
    }

    JobSpec makeJob(const std::string& id, std::vector<StepSpec> steps) const
    {
        JobSpec out;
        out.id = id;
        out.queue = "quotes";
        out.pool = "pricing";
        out.spec = "work";
        out.steps = std::move(steps);
        out.acceptedAt = wallNow;
        return out;
    }

    /// Adds a job. A recovered job gets a record, since an earlier holder has started it.
    void submit(const std::string& id, std::vector<StepSpec> steps, bool isRecovered = false,
        std::string progress = "")
    {
        if (isRecovered && progress.empty())
            progress = "{\"state\":\"running\"}";
        addJob(state, makeJob(id, std::move(steps)), progress, isRecovered);
    }

    void advance(milliseconds span)
    {
        clock.advance(span);
        wallNow += span;
    }

    std::vector<StartAction> starts() { return planStarts(state, clock.now(), wallNow); }

    /// Starts all tasks that can start, and lets the VMs accept every start.
    std::vector<StartAction> startAndAccept()
    {
        auto out = starts();
        for (const auto& start : out) {
            runOn(*findTask(state, start.command.task), start.vm)->sentAt = clock.now();
            applyStartOutcome(state, start.vm, start.command.task, start.command.run,
                CommandOutcome::Accepted, clock.now());
        }
        return out;
    }

    /// Applies a report of the runs that the state has on the VM, without those in \p ended, which it lists
    /// as ends.
    void report(const std::string& vm, std::vector<EndReport> ended = {}, std::int64_t bootTime = 1)
    {
        VmReport out;
        out.vmClock = std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch());
        out.bootTime = bootTime;
        for (const auto& id : state.vms.at(vm).runs) {
            const auto& task = *findTask(state, id);
            const bool over = std::any_of(
                ended.begin(), ended.end(), [&](const EndReport& end) { return end.task == id; });
            if (!over)
                out.running.push_back({ id, runOn(task, vm)->number, "", 50, 0 });
        }
        out.ended = std::move(ended);
        applyReport(state, vm, out, clock.now(), clock.now());
    }

    /// Applies a report without any runs or ends.
    void reportEmpty(const std::string& vm, std::int64_t bootTime = 1)
    {
        VmReport out;
        out.vmClock = std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch());
        out.bootTime = bootTime;
        applyReport(state, vm, out, clock.now(), clock.now());
    }

    /// Raises the holder's fencing token for the VMs that require it.
    void raiseToken() { applyNewToken(state, state.fencingToken + 1, clock.now()); }

    /// Applies the first reports of another boot, without runs: one that shows the restart, and one to a
    /// heartbeat with the raised token.
    void restartEmpty(const std::string& vm, std::int64_t bootTime)
    {
        reportEmpty(vm, bootTime);
        raiseToken();
        reportEmpty(vm, bootTime);
    }

    static EndReport makeEnd(std::uint64_t number, const StartAction& start, EndKind kind = EndKind::Done)
    {
        return { number, start.command.task, start.command.run, kind, "" };
    }

    const TaskState& task(const std::string& job, int step, int index)
    {
        return *findTask(state, { job, 0, step, index });
    }
};

} // namespace damask::fleet
