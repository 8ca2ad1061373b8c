#include "maintenance_pvt.h"

#include <algorithm>

namespace damask::maintenance {
namespace {

bool isDrained(const Vm& vm)
{
    return vm.report && vm.report->reachable && vm.report->draining && vm.report->runningRequests == 0
        && vm.report->runningTasks == 0 && vm.runningTasks == 0;
}

void removeDisruption(Pool& pool, std::string_view vm)
{
    std::erase_if(pool.disruptions, [vm](const auto& entry) { return entry.vm == vm; });
}

/// Returns the VM to service. The same transaction removes its permit.
void returnToService(Pool& pool, Vm& vm)
{
    if (auto* wave = findWave(pool, vm.operation);
        wave && vm.report && vm.report->incarnation > vm.incarnationBefore && vm.attempt > 0) {
        wave->done.insert(vm.name);
        wave->failed.erase(vm.name);
    }
    vm.phase = Phase::InService;
    vm.operation.clear();
    vm.incarnationBefore = 0;
    vm.attempt = 0;
    removeDisruption(pool, vm.name);
}

void startReboot(Vm& vm)
{
    vm.phase = Phase::Rebooting;
    vm.incarnationBefore = vm.report->incarnation;
    ++vm.attempt;
}

/// Retries the reboot. After the last attempt, enters Phase::Unavailable until a report shows the VM
/// healthy.
void retryRebootOrFail(Pool& pool, Vm& vm, const Settings& settings)
{
    if (vm.attempt < settings.rebootAttempts) {
        if (vm.report)
            vm.incarnationBefore = std::max(vm.incarnationBefore, vm.report->incarnation);
        vm.phase = Phase::Rebooting;
        ++vm.attempt;
        return;
    }
    vm.phase = Phase::Unavailable;
    if (auto* wave = findWave(pool, vm.operation))
        wave->failed.insert(vm.name);
    for (auto& entry : pool.disruptions) {
        if (entry.vm == vm.name)
            entry.reason = budget::Reason::Failure;
    }
}

/// Sends the phase's command once per holder, phase and attempt.
void sendCommandOnce(const Vm& vm, VmCommand command, VmTracker& tracker, TimePoint now, StepResult& result)
{
    if (tracker.commandSentAt || now < tracker.earliestCommandTime)
        return;
    tracker.commandSentAt = now;
    result.commands.push_back({ vm.name, command });
}

/// Whether all reports now show the VM's state after the phase's command, or after the start of the phase
/// if no command was sent.
bool areReportsCurrent(const VmTracker& tracker, const Settings& settings, TimePoint now)
{
    return now >= tracker.commandSentAt.value_or(tracker.phaseSince) + settings.reportLag;
}

/// Whether the operation is cancelled, or its wave or target pool no longer exists.
bool isOperationCancelled(Pool& pool, const Vm& vm)
{
    if (vm.operation.starts_with(movePrefix))
        return vm.operation != std::string(movePrefix) + vm.moveTo || !pool.pools.contains(vm.moveTo);
    const auto* wave = findWave(pool, vm.operation);
    return !wave || wave->isCancelled;
}

void drain(
    Pool& pool, Vm& vm, VmTracker& tracker, const Settings& settings, TimePoint now, StepResult& result)
{
    // The permit's transaction may have been delayed until its reports were out of date. So the budget is
    // checked again before the first command to the VM.
    const bool isOverBudget
        = !tracker.commandSentAt && budget::unavailableCount(budgetUsage(pool)) > pool.maxUnavailable;
    if (isOverBudget || isOperationCancelled(pool, vm)) {
        vm.phase = Phase::Attaching;
        return;
    }
    if (isDrained(vm) && tracker.commandSentAt) {
        if (!vm.operation.starts_with(movePrefix)) {
            startReboot(vm);
            return;
        }
        if (now - tracker.phaseSince < settings.routeLag)
            return;
        vm.pool = vm.moveTo;
        vm.moveTo.clear();
        vm.operation.clear();
        vm.phase = Phase::Attaching;
        removeDisruption(pool, vm.name);
        return;
    }
    // A VM that restarts while draining loses the command, so it is sent again.
    if (tracker.commandSentAt && areReportsCurrent(tracker, settings, now) && vm.report
        && !vm.report->draining)
        tracker.commandSentAt.reset();
    sendCommandOnce(vm, VmCommand::Drain, tracker, now, result);
}

void reboot(
    Pool& pool, Vm& vm, VmTracker& tracker, const Settings& settings, TimePoint now, StepResult& result)
{
    const bool isRebooted = vm.report && vm.report->incarnation > vm.incarnationBefore;
    if (!isRebooted) {
        sendCommandOnce(vm, VmCommand::Reboot, tracker, now, result);
        if (now - tracker.phaseSince >= settings.rebootTimeout)
            retryRebootOrFail(pool, vm, settings);
        return;
    }
    if (!areReportsCurrent(tracker, settings, now))
        return;
    if (isServing(vm))
        returnToService(pool, vm);
    else
        vm.phase = Phase::Verifying;
}

void verify(Pool& pool, Vm& vm, VmTracker& tracker, const Settings& settings, TimePoint now)
{
    if (isServing(vm))
        returnToService(pool, vm);
    else if (now - tracker.phaseSince >= settings.verifyTimeout)
        retryRebootOrFail(pool, vm, settings);
}

void attach(
    Pool& pool, Vm& vm, VmTracker& tracker, const Settings& settings, TimePoint now, StepResult& result)
{
    sendCommandOnce(vm, VmCommand::Attach, tracker, now, result);
    if (!tracker.commandSentAt || !areReportsCurrent(tracker, settings, now))
        return;
    if (isServing(vm))
        returnToService(pool, vm);
    else if (vm.report && vm.report->draining)
        tracker.commandSentAt.reset();
}

void reportSlowPhase(
    Pool& pool, const Vm& vm, const VmTracker& tracker, const Settings& settings, TimePoint now)
{
    if (vm.phase == Phase::InService || now - tracker.phaseSince < settings.slowPhaseThreshold)
        return;
    pool.conditions.push_back({ "Slow",
        "VM " + vm.name + " is not done with phase " + std::string(nameOf(phaseNames, vm.phase))
            + (vm.report && vm.report->reachable ? "" : ": it can't be reached") });
}

VmTracker& trackerFor(VmTrackers& trackers, const Vm& vm, const Settings& settings, TimePoint now)
{
    auto [found, isNew] = trackers.vms.try_emplace(vm.name);
    auto& tracker = found->second;
    if (!isNew && tracker.phase == vm.phase && tracker.attempt == vm.attempt)
        return tracker;
    tracker = { vm.phase, vm.attempt, now, now, std::nullopt };
    if (vm.phase == Phase::Draining)
        tracker.earliestCommandTime = now + settings.drainNotice;
    if (trackers.isFirstStep)
        tracker.earliestCommandTime = std::max(tracker.earliestCommandTime, now + settings.reportLag);
    return tracker;
}

} // namespace

bool Vm::operator==(const Vm& other) const
{
    return name == other.name && pool == other.pool && phase == other.phase && operation == other.operation
        && moveTo == other.moveTo && incarnationBefore == other.incarnationBefore && attempt == other.attempt;
}

bool isServing(const Vm& vm)
{
    return vm.report && vm.report->reachable && vm.report->healthy && !vm.report->draining;
}

Wave* findWave(Pool& pool, std::string_view operation)
{
    if (!operation.starts_with(wavePrefix))
        return nullptr;
    operation.remove_prefix(wavePrefix.size());
    const auto found = std::find_if(
        pool.waves.begin(), pool.waves.end(), [&](const auto& wave) { return wave.name == operation; });
    return found == pool.waves.end() ? nullptr : &*found;
}

void advanceVms(Pool& pool, VmTrackers& trackers, const Settings& settings, TimePoint now, StepResult& result)
{
    for (auto& vm : pool.vms) {
        auto& tracker = trackerFor(trackers, vm, settings, now);
        reportSlowPhase(pool, vm, tracker, settings, now);
        switch (vm.phase) {
        case Phase::InService:
            // A previous holder lost its lease while its drain command was in flight: undo the drain.
            if (vm.report && vm.report->draining)
                sendCommandOnce(vm, VmCommand::Attach, tracker, now, result);
            else
                tracker.commandSentAt.reset();
            continue;
        case Phase::Draining:
            drain(pool, vm, tracker, settings, now, result);
            continue;
        case Phase::Rebooting:
            reboot(pool, vm, tracker, settings, now, result);
            continue;
        case Phase::Verifying:
            verify(pool, vm, tracker, settings, now);
            continue;
        case Phase::Attaching:
            attach(pool, vm, tracker, settings, now, result);
            continue;
        case Phase::Unavailable:
            if (vm.report && vm.report->reachable && vm.report->healthy
                && areReportsCurrent(tracker, settings, now))
                vm.phase = Phase::Attaching;
            continue;
        }
    }
    trackers.isFirstStep = false;
}

StepResult step(Pool& pool, VmTrackers& trackers, const Settings& settings, TimePoint now)
{
    StepResult result;
    pool.conditions.clear();
    advanceVms(pool, trackers, settings, now, result);
    updateFailureEntries(pool);
    grantPermits(pool, settings, result);
    updateWaves(pool);
    return result;
}

} // namespace damask::maintenance
