/// \file
/// The pool holder's requests to the VMs of its pool, and the handling of their responses.
#include <damaskworks/log.h>
#include <damaskworks/pool_holder.h>
#include <damaskworks/pool_plan.h>

#include <algorithm>

namespace damask::fleet {
namespace {

/// Delay after a heartbeat without a response, and between heartbeats that return at once.
constexpr milliseconds heartbeatRetryDelay { 200 };
/// Longest delay of a heartbeat, and so of the VM's lease renewal, while ends of runs become durable. A
/// VM's lease lasts several times as long.
constexpr milliseconds maxAckDelay { 300 };
/// Time after which a limit of the starts counts as lasting. At the beginning of a peak the window still
/// grows.
constexpr milliseconds startLimitDelay { 500 };

} // namespace

VmTarget PoolHolder::makeTarget(const VmState& vm)
{
    return { vm.entry.address, vm.entry.id, vm.fencingToken };
}

void PoolHolder::handleCommandOutcome(const VmTarget& target, CommandOutcome outcome, TimePoint sentAt)
{
    if (outcome == CommandOutcome::Superseded) {
        logEvent(LogLevel::Warning, "order_superseded",
            { { "pool", m_state.pool }, { "vm", target.vm }, { "fence", std::to_string(target.fence) } });
        applySuperseded(m_state, target.vm, target.fence);
    }
    if (outcome == CommandOutcome::WrongVm)
        applyWrongVm(m_state, target.vm, target.address, sentAt);
}

void PoolHolder::sendStops(const std::vector<std::string>& vms, TimePoint now)
{
    if (!m_ledger.isLeaseValid())
        return;
    const auto maxStops = freeCommands(m_commandWindow, m_stopsInFlight);
    const auto stops = planStops(m_state, vms, now, maxStops);
    for (const auto& stop : stops) {
        const auto target = makeTarget(m_state.vms.find(stop.vm)->second);
        logEvent(LogLevel::Info, "task_stop",
            { { "task", toString(stop.task) }, { "run", std::to_string(stop.run) }, { "vm", stop.vm } });
        ++m_stopsInFlight;
        m_context.endpoints.stop(target, stop.task, stop.run,
            [this, target, stop, now, alive = m_alive](const CommandResponse& response) {
                if (!*alive || m_ended)
                    return;
                const auto elapsed = m_context.clock.now() - now;
                recordCommandEnd(m_commandWindow, elapsed, m_stopsInFlight, m_context.clock.now());
                --m_stopsInFlight;
                logEvent(LogLevel::Info, "task_stop_response",
                    { { "task", toString(stop.task) }, { "run", std::to_string(stop.run) }, { "vm", stop.vm },
                        { "outcome", std::string(nameOf(commandOutcomeNames, response.outcome)) },
                        { "vm_clock_ms", std::to_string(response.vmClock.count()) } });
                handleCommandOutcome(target, response.outcome, now);
                checkVmClock(m_state, stop.vm, response.vmClock, now, m_context.clock.now());
                applyStopOutcome(
                    m_state, stop.vm, stop.task, stop.run, response.outcome, now, m_context.clock.now());
                scheduleReconcile(reconcileDelay);
            });
    }
}

void PoolHolder::sendStarts(TimePoint now, PlanScope scope)
{
    if (!m_ledger.isLeaseValid())
        return;
    const auto wallNow = std::chrono::duration_cast<WallTime>(m_context.clock.wallNow().time_since_epoch());
    const auto maxStarts = freeCommands(m_commandWindow, outstandingStarts());
    const auto planStartedAt = m_context.clock.now();
    auto planned = planStarts(m_state, now, wallNow, maxStarts, scope);
    m_timePlanningStarts += m_context.clock.now() - planStartedAt;
    recordStartLimit(static_cast<int>(planned.size()) >= maxStarts, now);
    for (const auto& start : takeReadyStarts(m_state, m_waitingStarts, std::move(planned), now)) {
        // The lease may have expired during the pass.
        if (!m_ledger.isLeaseValid()) {
            putBackStart(m_state, m_waitingStarts, start);
            continue;
        }
        const auto target = makeTarget(m_state.vms.find(start.vm)->second);
        ++m_startsInFlight;
        m_context.metrics.count("task_starts_total{pool=\"" + m_state.pool + "\"}");
        m_context.endpoints.start(target, start.command,
            [this, target, start, now, alive = m_alive](const CommandResponse& response) {
                if (*alive && !m_ended)
                    onStartResponse(target, start, response, now);
            });
    }
}

void PoolHolder::recordStartLimit(bool isLimited, TimePoint now)
{
    if (!isLimited)
        m_startsUnlimitedAt = now;
    m_state.areStartsLimited = now - m_startsUnlimitedAt >= startLimitDelay;
}

int PoolHolder::outstandingStarts() const { return m_startsInFlight + countWaiting(m_waitingStarts); }

void PoolHolder::onStartResponse(
    const VmTarget& target, const StartAction& start, const CommandResponse& response, TimePoint sentAt)
{
    const auto now = m_context.clock.now();
    const auto outcome = response.outcome;
    recordCommandEnd(m_commandWindow, now - sentAt, outstandingStarts(), now);
    --m_startsInFlight;
    m_context.metrics.count(
        "task_start_outcomes_total{outcome=\"" + std::string(nameOf(commandOutcomeNames, outcome)) + "\"}");
    m_context.metrics.observe("task_start_seconds", now - sentAt);
    const auto* task = findTask(m_state, start.command.task);
    const auto* run = task ? runOn(*task, start.vm) : nullptr;
    const auto heldBack = run && run->number == start.command.run
        ? std::chrono::duration_cast<milliseconds>(sentAt - run->createdAt)
        : milliseconds(0);
    logEvent(LogLevel::Info, "task_start",
        { { "task", toString(start.command.task) }, { "run", std::to_string(start.command.run) },
            { "vm", start.vm }, { "fence", std::to_string(target.fence) },
            { "outcome", std::string(nameOf(commandOutcomeNames, outcome)) },
            { "held_back_ms", std::to_string(heldBack.count()) },
            { "known_by", std::string(nameOf(startBasisNames, start.basis)) },
            { "unfinished_predecessor",
                start.unfinishedPredecessor ? toString(*start.unfinishedPredecessor) : "" },
            { "vm_clock_ms", std::to_string(response.vmClock.count()) } });
    handleCommandOutcome(target, outcome, sentAt);
    checkVmClock(m_state, start.vm, response.vmClock, sentAt, now);
    applyStartOutcome(m_state, start.vm, start.command.task, start.command.run, outcome, now);
    const bool mayPlanMore = freeCommands(m_commandWindow, outstandingStarts()) > 0;
    if (outcome != CommandOutcome::Accepted || mayPlanMore)
        scheduleReconcile(reconcileDelay);
}

bool PoolHolder::needsHeartbeat(const VmState& vm, HeartbeatState& heartbeatState, TimePoint now)
{
    if (heartbeatState.isInFlight)
        return false;
    const bool hasUnsentAck = vm.applied > heartbeatState.lastAckSent;
    if (!hasUnsentAck && !isReportDue(vm, m_state.limits, now))
        return false;
    if (now < heartbeatState.nextHeartbeatAt)
        return false;
    // The next heartbeat waits until the ends that the last one returned are durable, so that it can
    // acknowledge them.
    if (vm.applied <= vm.acknowledged)
        return true;
    if (heartbeatState.ackPendingSince == TimePoint {})
        heartbeatState.ackPendingSince = now;
    return now - heartbeatState.ackPendingSince >= maxAckDelay;
}

TimePoint PoolHolder::nextHeartbeat(
    const VmState& vm, const HeartbeatState& heartbeatState, TimePoint now) const
{
    const bool hasUnsentAck = vm.applied > heartbeatState.lastAckSent;
    if (heartbeatState.isInFlight || (!hasUnsentAck && !isReportDue(vm, m_state.limits, now)))
        return TimePoint::max();
    const bool isAckPending = vm.applied > vm.acknowledged;
    return std::max(heartbeatState.nextHeartbeatAt,
        isAckPending ? heartbeatState.ackPendingSince + maxAckDelay : TimePoint {});
}

void PoolHolder::scheduleNextVisit(VmState& vm, const HeartbeatState& heartbeatState, TimePoint now)
{
    scheduleVisit(m_state, vm, std::min(nextVisit(m_state, vm, now), nextHeartbeat(vm, heartbeatState, now)));
}

void PoolHolder::sendHeartbeats(const std::vector<std::string>& vms, TimePoint now)
{
    // VMs that got starts in this pass need a heartbeat too.
    const auto startedOn = m_state.changedVms[static_cast<std::size_t>(ChangeReader::Visits)];
    for (const auto* names : { &vms, &startedOn }) {
        for (const auto& name : *names) {
            const auto found = m_state.vms.find(name);
            if (found == m_state.vms.end()) {
                const auto removed = m_heartbeatStates.find(name);
                if (removed != m_heartbeatStates.end() && !removed->second.isInFlight)
                    m_heartbeatStates.erase(removed);
                continue;
            }
            auto& heartbeatState = m_heartbeatStates[name];
            if (m_ledger.isLeaseValid() && needsHeartbeat(found->second, heartbeatState, now))
                sendHeartbeat(name, found->second, heartbeatState, now);
            scheduleNextVisit(found->second, heartbeatState, now);
        }
    }
}

void PoolHolder::sendHeartbeat(
    const std::string& name, VmState& vm, HeartbeatState& heartbeatState, TimePoint now)
{
    const auto command = planHeartbeat(vm, m_state.limits, now);
    heartbeatState.isInFlight = true;
    heartbeatState.ackPendingSince = TimePoint {};
    if (command.acknowledged > heartbeatState.lastAckSent)
        logEvent(LogLevel::Info, "ends_acknowledged",
            { { "vm", name }, { "boot", std::to_string(vm.bootTime) },
                { "number", std::to_string(command.acknowledged) } });
    heartbeatState.lastAckSent = std::max(heartbeatState.lastAckSent, command.acknowledged);
    m_context.metrics.count("vm_holds_total{pool=\"" + m_state.pool + "\"}");
    const auto target = makeTarget(vm);
    m_context.endpoints.heartbeat(
        target, command, [this, target, now, alive = m_alive](tl::expected<VmReport, CommandOutcome> report) {
            if (*alive && !m_ended)
                onReport(target, std::move(report), now);
        });
}

void PoolHolder::onReport(
    const VmTarget& target, tl::expected<VmReport, CommandOutcome> report, TimePoint sentAt)
{
    const auto& name = target.vm;
    const auto now = m_context.clock.now();
    auto& heartbeatState = m_heartbeatStates[name];
    heartbeatState.isInFlight = false;
    auto found = m_state.vms.find(name);
    if (found == m_state.vms.end()) {
        m_heartbeatStates.erase(name);
        return;
    }
    auto& vm = found->second;
    markChanged(m_state, vm);
    // The heartbeat was overtaken by a command with a raised token.
    if (!report && report.error() == CommandOutcome::Superseded && target.fence < vm.fencingToken) {
        heartbeatState.nextHeartbeatAt = now;
        return scheduleReconcile(reconcileDelay);
    }
    if (!report) {
        if (!vm.isUnresponsive)
            logEvent(LogLevel::Warning, "vm_lost",
                { { "vm", name }, { "pool", m_state.pool },
                    { "outcome", std::string(nameOf(commandOutcomeNames, report.error())) },
                    { "runs", std::to_string(vm.runs.size()) } });
        markUnresponsive(m_state, name);
        if (report.error() != CommandOutcome::Refused)
            fenceUnsettledStarts(m_state, name, now);
        handleCommandOutcome(target, report.error(), sentAt);
        heartbeatState.lastAckSent = 0;
        heartbeatState.nextHeartbeatAt = now + heartbeatRetryDelay;
        return scheduleReconcile(heartbeatRetryDelay);
    }
    const auto before = vm.applied;
    const bool isRebooted = isOfAnotherBoot(vm, *report);
    if (!vm.hasReported || isRebooted)
        m_unacknowledgedEnds.erase(name);
    if (!vm.hasReported || vm.isUnresponsive || isRebooted)
        logEvent(LogLevel::Info,
            isRebooted           ? "vm_restarted"
                : vm.hasReported ? "vm_back"
                                 : "vm_reported",
            { { "vm", name }, { "pool", m_state.pool }, { "boot", std::to_string(report->bootTime) },
                { "vm_clock_ms", std::to_string(report->vmClock.count()) },
                { "runs", std::to_string(vm.runs.size()) },
                { "listed", std::to_string(report->running.size()) },
                { "ended", std::to_string(report->ended.size()) } });
    const bool isBack = vm.isUnresponsive;
    applyReport(m_state, name, *report, sentAt, now);
    if (isBack)
        applyEvacuation(vm); // it was passed over if the VM seemed to have ended before
    addAppliedEnds(m_state, name, *report, isRebooted ? 0 : before, m_unacknowledgedEnds);
    if (isRebooted)
        heartbeatState.lastAckSent = 0;
    for (const auto& end : report->ended) {
        if (end.number <= before && !isRebooted)
            continue;
        logEvent(LogLevel::Info, "task_end",
            { { "task", toString(end.task) }, { "run", std::to_string(end.run) }, { "vm", name },
                { "kind", std::string(nameOf(endKindNames, end.kind)) },
                { "number", std::to_string(end.number) }, { "boot", std::to_string(vm.bootTime) } });
    }
    sendThrottleCommands(name, now);
    if (vm.applied > vm.acknowledged)
        m_ledger.markDirty();
    // The VM returns ends at once until they are acknowledged. While the ledger can't make them
    // durable, a pause avoids a busy loop.
    const bool onlyRepeatedEnds = vm.applied == before && !report->ended.empty();
    const bool hasToWait = onlyRepeatedEnds || vm.fencing != Fencing::NotRequired;
    heartbeatState.nextHeartbeatAt = now + (hasToWait ? heartbeatRetryDelay : reportPause(m_commandWindow));
    scheduleReconcile(reconcileDelay);
}

void PoolHolder::sendThrottleCommands(const std::string& name, TimePoint now)
{
    for (const auto& throttle : planThrottling(m_state, name, now)) {
        const auto target = makeTarget(m_state.vms.find(name)->second);
        logEvent(LogLevel::Info, "task_pace",
            { { "task", toString(throttle.task) }, { "vm", name },
                { "percent", std::to_string(throttle.percent) } });
        m_context.endpoints.throttle(target, throttle.task, throttle.run, throttle.percent,
            [this, target, now, alive = m_alive](const CommandResponse& response) {
                if (*alive && !m_ended)
                    handleCommandOutcome(target, response.outcome, now);
            });
    }
}

} // namespace damask::fleet
