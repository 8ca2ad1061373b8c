#include "maintenance_pvt.h"

#include <algorithm>

namespace damask::maintenance {
namespace {

const std::string& domainOf(const Vm& vm, FailureDomain domain)
{
    return domain == FailureDomain::Rack ? vm.rack : vm.dataCentre;
}

/// A rack with so many failed VMs that a common cause is likely; empty: none.
std::string rackWithCorrelatedFailures(const Pool& pool, const Settings& settings)
{
    std::map<std::string, std::uint32_t> failures;
    for (const auto& vm : pool.vms) {
        for (const auto& entry : pool.disruptions) {
            if (entry.vm == vm.name && entry.reason == budget::Reason::Failure
                && ++failures[vm.rack] >= settings.rackFailureLimit)
                return vm.rack;
        }
    }
    return {};
}

void grantPermit(Pool& pool, Vm& vm, budget::Reason reason, const std::string& operation, StepResult& result)
{
    pool.disruptions.push_back({ vm.name, reason, operation });
    vm.phase = Phase::Draining;
    vm.operation = operation;
    result.hasPermits = true;
}

void grantMovePermits(Pool& pool, StepResult& result)
{
    for (auto& vm : pool.vms) {
        if (vm.phase != Phase::InService || vm.moveTo.empty() || vm.moveTo == pool.name
            || vm.pool != pool.name)
            continue;
        if (!pool.pools.contains(vm.moveTo)) {
            pool.conditions.push_back(
                { "MoveImpossible", "VM " + vm.name + " can't move: no pool " + vm.moveTo });
            continue;
        }
        if (budget::mayDisrupt(budgetUsage(pool), vm.name))
            grantPermit(pool, vm, budget::Reason::Move, std::string(movePrefix) + vm.moveTo, result);
    }
}

bool isWaveCandidate(const Pool& pool, const Vm& vm, const Wave& wave)
{
    return vm.pool == pool.name && vm.phase == Phase::InService && vm.moveTo.empty()
        && !wave.done.contains(vm.name) && !wave.failed.contains(vm.name) && isServing(vm);
}

/// VMs that the wave may reboot next. VMs of domains that the wave has started come first, so that it
/// affects few domains at a time.
std::vector<Vm*> waveCandidates(Pool& pool, const Wave& wave)
{
    std::set<std::string> startedDomains;
    for (const auto& vm : pool.vms) {
        if (wave.done.contains(vm.name) || findWave(pool, vm.operation) == &wave)
            startedDomains.insert(domainOf(vm, wave.domain));
    }
    std::vector<Vm*> out;
    for (auto& vm : pool.vms) {
        if (isWaveCandidate(pool, vm, wave))
            out.push_back(&vm);
    }
    const auto order = [&](const Vm* vm) {
        const auto& domain = domainOf(*vm, wave.domain);
        return std::tuple(!startedDomains.contains(domain), domain, vm->name);
    };
    std::sort(out.begin(), out.end(), [&](auto* a, auto* b) { return order(a) < order(b); });
    return out;
}

void grantWavePermits(Pool& pool, Wave& wave, StepResult& result)
{
    const bool isInactive = wave.phase == WavePhase::Finished || wave.isCancelled || wave.isPaused;
    if (isInactive || wave.failed.size() >= wave.stopAfterFailures)
        return;
    for (auto* vm : waveCandidates(pool, wave)) {
        if (!budget::mayDisrupt(budgetUsage(pool), vm->name))
            return;
        grantPermit(pool, *vm, budget::Reason::Wave, std::string(wavePrefix) + wave.name, result);
        result.wavesWithNewPermits.insert(wave.name);
    }
}

std::string join(const std::vector<std::string>& names)
{
    std::string out;
    for (const auto& name : names)
        out += (out.empty() ? "" : ", ") + name;
    return out;
}

/// VMs that the wave has neither finished nor started.
std::vector<std::string> remainingVms(const Pool& pool, const Wave& wave)
{
    std::vector<std::string> out;
    for (const auto& vm : pool.vms) {
        if (vm.pool == pool.name && vm.operation != std::string(wavePrefix) + wave.name
            && !wave.done.contains(vm.name) && !wave.failed.contains(vm.name))
            out.push_back(vm.name);
    }
    return out;
}

/// VMs that the wave is draining, rebooting, verifying or attaching.
std::vector<std::string> vmsInProgress(const Pool& pool, const Wave& wave)
{
    std::vector<std::string> out;
    for (const auto& vm : pool.vms) {
        if (vm.operation == std::string(wavePrefix) + wave.name && vm.phase != Phase::Unavailable)
            out.push_back(vm.name);
    }
    return out;
}

/// VMs that use up the budget, each with the reason.
std::string describeBlockers(const Pool& pool)
{
    std::vector<std::string> names;
    for (const auto& entry : pool.disruptions)
        names.push_back(entry.vm + " (" + std::string(nameOf(budget::reasonNames, entry.reason)) + ")");
    for (const auto& name : budgetUsage(pool).notReportedHealthy)
        names.push_back(name + " (not seen healthy)");
    return join(names);
}

std::string numberText(std::size_t number) { return std::to_string(number); }

void updateWave(Pool& pool, Wave& wave)
{
    if (wave.phase == WavePhase::Finished)
        return;
    wave.conditions.clear();
    const auto remaining = remainingVms(pool, wave);
    const auto inProgress = vmsInProgress(pool, wave);
    wave.total = static_cast<std::uint32_t>(
        wave.done.size() + wave.failed.size() + remaining.size() + inProgress.size());
    const std::vector<std::string> failed(wave.failed.begin(), wave.failed.end());
    if (!failed.empty())
        wave.conditions.push_back({ "RebootFailed", "reboots failed: " + join(failed) });
    if (wave.isCancelled) {
        wave.phase = inProgress.empty() ? WavePhase::Cancelled : WavePhase::Running;
        return;
    }
    if (remaining.empty() && inProgress.empty()) {
        wave.phase = WavePhase::Finished;
        return;
    }
    if (wave.failed.size() >= wave.stopAfterFailures) {
        wave.phase = WavePhase::Stopped;
        wave.conditions.push_back({ "Stopped",
            numberText(failed.size()) + " reboots failed; repair these VMs, or raise stopAfterFailures" });
        return;
    }
    if (wave.isPaused) {
        wave.phase = WavePhase::Paused;
        return;
    }
    wave.phase = inProgress.empty() ? WavePhase::Waiting : WavePhase::Running;
    if (wave.phase == WavePhase::Waiting)
        wave.conditions.push_back({ "BudgetExhausted",
            "at most " + numberText(pool.maxUnavailable) + " VMs may be unavailable; needs healthy: "
                + describeBlockers(pool) + "; left: " + join(remaining) });
}

} // namespace

budget::Usage budgetUsage(const Pool& pool)
{
    budget::Usage usage { pool.disruptions, {}, pool.maxUnavailable };
    for (const auto& vm : pool.vms) {
        if (vm.pool == pool.name && vm.phase == Phase::InService && !isServing(vm))
            usage.notReportedHealthy.insert(vm.name);
    }
    return usage;
}

void updateFailureEntries(Pool& pool)
{
    std::erase_if(pool.disruptions, [&pool](const auto& entry) {
        const auto vm = std::find_if(
            pool.vms.begin(), pool.vms.end(), [&](const auto& item) { return item.name == entry.vm; });
        if (vm == pool.vms.end() || vm->pool != pool.name)
            return true;
        return vm->phase == Phase::InService && isServing(*vm);
    });
    for (const auto& vm : pool.vms) {
        const bool hasFailed = vm.report && !(vm.report->reachable && vm.report->healthy);
        if (vm.phase == Phase::InService && vm.pool == pool.name && hasFailed
            && !budget::contains(pool.disruptions, vm.name))
            pool.disruptions.push_back({ vm.name, budget::Reason::Failure, "" });
    }
}

void grantPermits(Pool& pool, const Settings& settings, StepResult& result)
{
    if (const auto rack = rackWithCorrelatedFailures(pool, settings); !rack.empty()) {
        pool.conditions.push_back(
            { "CorrelatedFailures", "several VMs of rack " + rack + " have failed; no new permits" });
        return;
    }
    grantMovePermits(pool, result);
    for (auto& wave : pool.waves)
        grantWavePermits(pool, wave, result);
}

void updateWaves(Pool& pool)
{
    for (auto& wave : pool.waves)
        updateWave(pool, wave);
}

} // namespace damask::maintenance
