/// \file
/// The holder's calls to the VMs of its pool, and what it makes of their answers.
#include <damaskworks/log.h>
#include <damaskworks/pool_holder.h>
#include <damaskworks/pool_plan.h>

namespace damask::fleet {
namespace {

/// Pause after a call without an answer, and between calls that return at once.
constexpr milliseconds holdPause { 200 };
/// Longest delay of a renewal while ends wait to become durable; a VM's lease lasts several times this.
constexpr milliseconds longestAcknowledgementWait { 300 };

} // namespace

VmTarget PoolHolder::target(const VmState& vm) const
{
    return { vm.entry.address, vm.entry.id, m_ledger.fence() };
}

void PoolHolder::noteOutcome(const std::string& vm, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Superseded) {
        logEvent(LogLevel::Warning, "order_superseded",
            { { "pool", m_state.pool }, { "vm", vm }, { "fence", std::to_string(m_ledger.fence()) } });
        m_ledger.raiseFence();
    }
    if (outcome == OrderOutcome::WrongVm) {
        // What ran under that id has ended with its VM.
        auto found = m_state.vms.find(vm);
        if (found == m_state.vms.end())
            return;
        found->second.listed = false;
        found->second.silent = true;
        found->second.leaseUntil = milliseconds(0);
    }
}

void PoolHolder::sendStops(TimePoint now)
{
    for (const auto& stop : planStops(m_state, now)) {
        const auto& vm = m_state.vms.find(stop.vm)->second;
        logEvent(LogLevel::Info, "task_stop",
            { { "task", toString(stop.task) }, { "run", std::to_string(stop.run) }, { "vm", stop.vm } });
        m_context.endpoints.stop(
            target(vm), stop.task, stop.run, [this, stop, alive = m_alive](OrderOutcome outcome) {
                if (!*alive || m_ended)
                    return;
                noteOutcome(stop.vm, outcome);
                applyStopOutcome(m_state, stop.vm, stop.task, stop.run, outcome, m_context.clock.now());
                wake(passDelay);
            });
    }
}

void PoolHolder::sendStarts(TimePoint now)
{
    const auto wallNow = std::chrono::duration_cast<WallTime>(m_context.clock.wallNow().time_since_epoch());
    for (const auto& start : passGate(m_state, m_waitingStarts, planStarts(m_state, now, wallNow), now)) {
        const auto& vm = m_state.vms.find(start.vm)->second;
        m_context.metrics.count("task_starts_total{pool=\"" + m_state.pool + "\"}");
        m_context.endpoints.start(
            target(vm), start.order, [this, start, now, alive = m_alive](OrderOutcome outcome) {
                if (*alive && !m_ended)
                    onStarted(start, outcome, now);
            });
    }
}

void PoolHolder::onStarted(const StartAction& start, OrderOutcome outcome, TimePoint sentAt)
{
    const auto now = m_context.clock.now();
    m_context.metrics.count(
        "task_start_outcomes_total{outcome=\"" + std::string(nameOf(orderOutcomeNames, outcome)) + "\"}");
    m_context.metrics.observe("task_start_seconds", now - sentAt);
    logEvent(LogLevel::Info, "task_start",
        { { "task", toString(start.order.task) }, { "run", std::to_string(start.order.run) },
            { "vm", start.vm }, { "fence", std::to_string(m_ledger.fence()) },
            { "outcome", std::string(nameOf(orderOutcomeNames, outcome)) } });
    noteOutcome(start.vm, outcome);
    applyStartOutcome(m_state, start.vm, start.order.task, start.order.run, outcome, now);
    if (outcome != OrderOutcome::Accepted)
        wake(passDelay);
}

bool PoolHolder::wantsHold(const VmState& vm, Link& link, TimePoint now)
{
    if (link.holding)
        return false;
    const bool acknowledges = vm.applied > link.sentAcknowledgement;
    if (vm.read && vm.runs.empty() && vm.strangers.empty() && !acknowledges && !vm.silent)
        return false;
    if (now < link.nextHold)
        return false;
    // The next call waits until the ends of the last one are durable, so that it acknowledges them.
    if (vm.applied <= vm.acknowledged)
        return true;
    if (link.unacknowledgedSince == TimePoint {})
        link.unacknowledgedSince = now;
    return now - link.unacknowledgedSince >= longestAcknowledgementWait;
}

void PoolHolder::sendHolds(TimePoint now)
{
    for (auto& [name, vm] : m_state.vms) {
        auto& link = m_links[name];
        if (wantsHold(vm, link, now))
            sendHold(name, vm, link, now);
    }
    std::erase_if(
        m_links, [&](const auto& link) { return !m_state.vms.contains(link.first) && !link.second.holding; });
}

void PoolHolder::sendHold(const std::string& name, VmState& vm, Link& link, TimePoint now)
{
    const auto order = planHold(vm, m_state.limits, now);
    link.holding = true;
    link.unacknowledgedSince = TimePoint {};
    link.sentAcknowledgement = vm.acknowledged;
    m_context.metrics.count("vm_holds_total{pool=\"" + m_state.pool + "\"}");
    m_context.endpoints.hold(
        target(vm), order, [this, name, now, alive = m_alive](tl::expected<VmReport, OrderOutcome> report) {
            if (*alive && !m_ended)
                onReport(name, std::move(report), now);
        });
}

void PoolHolder::onReport(
    const std::string& name, tl::expected<VmReport, OrderOutcome> report, TimePoint sentAt)
{
    const auto now = m_context.clock.now();
    auto& link = m_links[name];
    link.holding = false;
    auto found = m_state.vms.find(name);
    if (found == m_state.vms.end())
        return;
    auto& vm = found->second;
    if (!report) {
        if (!vm.silent)
            logEvent(LogLevel::Warning, "vm_lost",
                { { "vm", name }, { "pool", m_state.pool },
                    { "outcome", std::string(nameOf(orderOutcomeNames, report.error())) },
                    { "runs", std::to_string(vm.runs.size()) } });
        applySilence(m_state, name);
        noteOutcome(name, report.error());
        link.nextHold = now + holdPause;
        return wake(holdPause);
    }
    if (vm.silent)
        logEvent(LogLevel::Info, "vm_back", { { "vm", name }, { "pool", m_state.pool } });
    const auto before = vm.applied;
    const bool reborn = vm.read && vm.born != report->born;
    applyReport(m_state, name, *report, sentAt, now);
    if (reborn)
        link.sentAcknowledgement = 0;
    for (const auto& end : report->ended) {
        if (end.number <= before && !reborn)
            continue;
        logEvent(LogLevel::Info, "task_end",
            { { "task", toString(end.task) }, { "run", std::to_string(end.run) }, { "vm", name },
                { "kind", std::string(nameOf(endKindNames, end.kind)) } });
    }
    sendPaces(name, now);
    if (vm.applied > vm.acknowledged)
        m_ledger.markDirty();
    // Ends that can't be made durable yet are listed again at once; don't ask in a busy loop.
    link.nextHold = vm.applied == before && !report->ended.empty() ? now + holdPause : now;
    wake(passDelay);
}

void PoolHolder::sendPaces(const std::string& name, TimePoint now)
{
    for (const auto& pace : planPaces(m_state, name, now)) {
        const auto& vm = m_state.vms.find(name)->second;
        logEvent(LogLevel::Info, "task_pace",
            { { "task", toString(pace.task) }, { "vm", name }, { "percent", std::to_string(pace.percent) } });
        m_context.endpoints.pace(target(vm), pace.task, pace.run, pace.percent,
            [this, name, alive = m_alive](OrderOutcome outcome) {
                if (*alive && !m_ended)
                    noteOutcome(name, outcome);
            });
    }
}

} // namespace damask::fleet
