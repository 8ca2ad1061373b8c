#include "locality_log_pvt.h"

#include <damaskworks/log.h>
#include <damaskworks/pool_holder.h>
#include <damaskworks/pool_plan.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace damask::fleet {
namespace {

using std::chrono::microseconds;

/// Longest time between calls of reconcile() while there are jobs or evacuations, whose timeouts it checks.
constexpr milliseconds reconcileInterval { 100 };
/// The same for a pool without either, whose VMs report now and then.
constexpr milliseconds idleReconcileInterval { 5000 };
/// Shortest time between two plans of what may look at all VMs: evacuations, long-running tasks and trials.
constexpr milliseconds fullPlanInterval { 25 };
/// Shortest time between two updates of the sums of the load.
constexpr milliseconds loadCheckInterval { 30 };
/// Shortest time between two writes of the pool's load.
constexpr milliseconds loadInterval { 150 };
/// Least time between two raises of the fencing token, each of which is a write; they serve all VMs that need
/// one.
constexpr milliseconds minTokenAge { 100 };
/// Longest JSON escape of a byte, and room for the rest of a row.
constexpr std::size_t maxEscapedLength = 8;
/// Interval of the machine lists that show which VMs a new holder has to hear from.
constexpr milliseconds recoveryListInterval { 1000 };

/// Machines that have another evacuation in \p after than in \p before.
std::vector<std::string> changedMachines(
    const std::map<std::string, std::string>& before, const std::map<std::string, std::string>& after)
{
    std::vector<std::pair<std::string, std::string>> changed;
    std::set_symmetric_difference(
        before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(changed));
    std::vector<std::string> out;
    for (auto& [machine, task] : changed)
        out.push_back(std::move(machine));
    return out;
}

/// Within which the runs of a pool have ended since its lease was last renewed, if it gets no holder.
milliseconds timeUntilRunsEnd(const LeaseTiming& leaseTiming, milliseconds maxVmLease)
{
    PoolLimits limits;
    limits.maxVmLease = maxVmLease;
    const auto runsEndAfter = recoveryDeadlineAfter(limits, TimePoint {}).time_since_epoch();
    return leaseTiming.expiry + std::chrono::ceil<milliseconds>(runsEndAfter);
}

} // namespace

PoolHolder::PoolHolder(HolderContext context, std::string pool, AcquiredLease lease, LeaseTiming leaseTiming,
    milliseconds maxVmLease, std::function<void()> onProgressLoaded, std::function<void()> onEnd)
    : m_context(context)
    , m_acquiredVersion(lease.version)
    , m_maxVmLease(maxVmLease)
    , m_onEnd(std::move(onEnd))
    , m_ledger(context.base, context.table, context.clock, context.metrics, pool, lease, leaseTiming,
          { [this] { return collectBatch(); }, [this](const LedgerBatch& batch) { onCommitted(batch); },
              [this](const LedgerBatch& batch) { onFailed(batch); }, [this] { onRenewed(); },
              [this] {
                  m_ended = true;
                  m_onEnd();
              },
              [this] {
                  m_ended = true;
                  m_onEnd();
              },
              [this](const LedgerBatch& batch) { onRejected(batch); } })
    , m_caps(context.base, context.table, context.clock, context.metrics, m_state,
          context.configApplyTime + timeUntilRunsEnd(leaseTiming, maxVmLease),
          { [this] { return m_ledger.isLeaseValid(); }, [this] { return poolsInUse(); },
              [this] { scheduleReconcile(reconcileDelay); },
              [this, time = timeUntilRunsEnd(leaseTiming, maxVmLease)] {
                  return m_context.poolsHeldWithin(time);
              } })
    , m_advisor(context.advice, m_state, context.clock, context.metrics,
          [this] { scheduleReconcile(reconcileDelay); })
    , m_specReader(context.base, context.table, context.metrics,
          [this](const std::string& job, std::string spec) { onSpecRead(job, std::move(spec)); })
    , m_progressReader(context.base, context.table, context.metrics, pool,
          [this, onProgressLoaded = std::move(onProgressLoaded)](ProgressReader::Rows rows) {
              m_earlierProgress = std::move(rows);
              onProgressLoaded();
          })
    , m_reconcileTimer(context.base, [this] { reconcile(); })
{
    m_ledgerLimits = ledgerLimitsFor(context.maxRowBytes);
    m_state.limits.maxCheckpointBytes
        = std::min(m_state.limits.maxCheckpointBytes, context.maxRowBytes / maxEscapedLength);
    m_state.limits.farSlowdown = context.farSlowdown;
    m_state.pool = std::move(pool);
    m_state.term = lease.row.term;
    m_state.fencingToken = m_ledger.fencingToken();
    if (m_state.term == 0)
        m_earlierProgress.emplace(); // there is no earlier holder
    else
        m_progressReader.start();
}

PoolHolder::~PoolHolder() { *m_alive = false; }

void PoolHolder::begin(const FleetConfig& config, const std::map<std::string, VmRegistration>& vms)
{
    m_begun = true;
    const auto now = m_context.clock.now();
    m_startsUnlimitedAt = now;
    m_state.limits.maxVmLease = m_maxVmLease;
    m_state.limits.vmLease = std::min(m_state.limits.vmLease, m_maxVmLease);
    m_begunAt = now;
    m_isRecovering = m_state.term > 0;
    if (m_isRecovering) {
        m_state.recoveryDeadline = recoveryDeadlineAfter(m_state.limits, now);
        m_state.earlierStartsUntil = now + m_state.limits.maxCommandDelay;
    }
    applyConfig(config);
    for (const auto& [id, vm] : vms)
        listVm(vm);
    for (const auto& [id, record] : m_context.directory.records())
        applyJob(id, record);
    logEvent(LogLevel::Info, "pool_begun",
        { { "pool", m_state.pool }, { "term", std::to_string(m_state.term) },
            { "fence", std::to_string(m_ledger.fencingToken()) },
            { "jobs", std::to_string(m_state.jobs.size()) }, { "vms", std::to_string(m_state.vms.size()) } });
    scheduleReconcile(microseconds(0));
}

void PoolHolder::requestMachineList(TimePoint now)
{
    if (m_isListing || now < m_nextListAt || isRecoveryComplete(m_state, now))
        return;
    m_isListing = true;
    m_nextListAt = now + recoveryListInterval;
    m_context.machines.list(
        [this, alive = m_alive](tl::expected<std::vector<Machine>, CommandOutcome> machines) {
            if (!*alive || m_ended)
                return;
            m_isListing = false;
            if (!machines) {
                logEvent(LogLevel::Warning, "machine_list_failed",
                    { { "pool", m_state.pool },
                        { "outcome", std::string(nameOf(commandOutcomeNames, machines.error())) } });
                return; // the holder then waits until the VMs' leases have expired
            }
            applyMachineList(m_state, *machines);
            logAwaitedVms();
            scheduleReconcile(reconcileDelay);
        });
}

void PoolHolder::applyConfig(const FleetConfig& config)
{
    applyQueues(m_state, config.queues);
    applyOrganisations(m_state.shares, config.organisations);
    const auto pool = config.pools.find(m_state.pool);
    m_state.enforcesCapacity = pool != config.pools.end() && pool->second.enforcesCapacity;
    if (m_begun)
        m_caps.applyConfig(config);
    scheduleReconcile(reconcileDelay);
}

void PoolHolder::applyCapRow(const TableRow& row)
{
    if (m_begun)
        m_caps.applyRow(row);
}

void PoolHolder::onPoolsChanged()
{
    if (m_begun)
        m_caps.onPoolsChanged();
}

std::set<std::string> PoolHolder::poolsInUse() const
{
    auto pools = m_context.directory.poolsWithUnfinishedJobs();
    for (const auto& [name, queue] : m_state.queues)
        pools.insert(queue.pool);
    return pools;
}

void PoolHolder::applyJob(const std::string& id, const JobRecord& record)
{
    if (!m_begun || record.pool != m_state.pool || !record.isAccepted())
        return;
    if (m_removedJobs.contains(id))
        return;
    if (!m_state.jobs.contains(id) && !isFinal(record.state)) {
        auto job = decodeJob(record.encodedJob);
        if (!job)
            return; // JobDirectory has logged the error
        if (record.version >= m_acquiredVersion)
            recordArrival(m_state, *job, m_context.clock.now());
        addRecordedJob(std::move(*job), record);
    }
    if (record.isCancelled())
        cancelJob(m_state, id);
    scheduleReconcile(reconcileDelay);
}

void PoolHolder::addRecordedJob(JobSpec job, const JobRecord& record)
{
    const auto id = job.id;
    auto progress = m_earlierProgress->extract(id);
    FurtherRows furtherRows;
    const auto nextJob = m_earlierProgress->lower_bound(id + "0"); // '/' comes before '0'
    auto row = m_earlierProgress->lower_bound(id + "/");
    while (row != nextJob) {
        if (const auto key = parseRecordKey(row->first))
            furtherRows.emplace(key->position, std::move(row->second));
        row = m_earlierProgress->erase(row);
    }
    // A state without progress means that the earlier holder had not started the job, or had recorded its
    // end.
    std::string progressText = progress ? std::move(progress.mapped())
        : record.hasStateRow            ? encodeState(record.state)
                                        : "";
    const bool isRecovered = m_state.term > 0 && record.version < m_acquiredVersion;
    if (!addJob(m_state, std::move(job), progressText, isRecovered, furtherRows))
        logEvent(LogLevel::Error, "progress_row_unreadable", { { "pool", m_state.pool }, { "job", id } });
    const auto added = m_state.jobs.find(id);
    if (added == m_state.jobs.end())
        return;
    if (record.hasStateRow)
        added->second.recorded = record.state;
    if (!added->second.hasSpec)
        m_specReader.requestSpec(rows::jobPart(record.queue, id), id);
}

void PoolHolder::onSpecRead(const std::string& job, std::string spec)
{
    const auto found = m_state.jobs.find(job);
    if (found == m_state.jobs.end())
        return; // the job has ended in the meantime
    found->second.spec.spec = std::move(spec);
    found->second.hasSpec = true;
    scheduleReconcile(reconcileDelay);
}

void PoolHolder::listVm(const VmRegistration& vm)
{
    if (!m_begun)
        return;
    if (vm.pool != m_state.pool)
        return unlistVm(vm.id);
    const auto known = m_state.vms.find(vm.id);
    if (known != m_state.vms.end() && known->second.entry.bootTime != vm.bootTime)
        logEvent(LogLevel::Info, "vm_boot_registered",
            { { "vm", vm.id }, { "pool", m_state.pool }, { "boot", std::to_string(vm.bootTime) },
                { "reported_boot", std::to_string(known->second.bootTime) },
                { "runs", std::to_string(known->second.runs.size()) } });
    if (known != m_state.vms.end() && known->second.entry.machine != vm.machine)
        removeVmOfMachine(known->second);
    fleet::listVm(m_state, vm);
    auto& listed = m_state.vms.at(vm.id);
    auto& vmsOfMachine = m_vmsByMachine[listed.entry.machine];
    std::erase_if(vmsOfMachine, [&](const std::string& id) { return !m_state.vms.contains(id); });
    vmsOfMachine.insert(vm.id);
    applyEvacuation(listed);
    scheduleReconcile(reconcileDelay);
}

void PoolHolder::applyEvacuation(VmState& vm)
{
    const auto found = m_evacuations.find(vm.entry.machine);
    setEvacuation(m_state, vm, found == m_evacuations.end() ? "" : found->second);
}

void PoolHolder::removeVmOfMachine(const VmState& vm)
{
    const auto vms = m_vmsByMachine.find(vm.entry.machine);
    if (vms == m_vmsByMachine.end())
        return;
    vms->second.erase(vm.entry.id);
    if (vms->second.empty())
        m_vmsByMachine.erase(vms);
}

void PoolHolder::setEvacuations(const std::map<std::string, std::string>& machines)
{
    const auto changed = changedMachines(m_evacuations, machines);
    if (changed.empty())
        return;
    m_evacuations = machines;
    for (const auto& machine : changed) {
        const auto vms = m_vmsByMachine.find(machine);
        if (vms == m_vmsByMachine.end())
            continue;
        for (const auto& id : vms->second) {
            if (const auto vm = m_state.vms.find(id); vm != m_state.vms.end())
                applyEvacuation(vm->second);
        }
    }
    scheduleReconcile(reconcileDelay);
}

void PoolHolder::unlistVm(const std::string& id)
{
    fleet::unlistVm(m_state, id);
    scheduleReconcile(reconcileDelay);
}

void PoolHolder::release()
{
    m_reconcileTimer.stop();
    m_ledger.release();
}

void PoolHolder::scheduleReconcile(microseconds delay)
{
    if (!m_begun || m_ended)
        return;
    const auto now = m_context.clock.now();
    const auto at = earliestPass(m_lastPass, now + delay);
    if (m_isReconcileScheduled && m_reconcileAt <= at)
        return;
    m_isReconcileScheduled = true;
    m_reconcileAt = at;
    m_reconcileTimer.startOnce(std::max(std::chrono::ceil<microseconds>(at - now), microseconds(1)));
}

void PoolHolder::reconcile()
{
    m_isReconcileScheduled = false;
    if (m_ended || !m_ledger.isLeaseValid())
        return;
    const auto now = m_context.clock.now();
    ++m_passes;
    m_longestPassDelay = std::max(m_longestPassDelay, now - m_reconcileAt);
    requestMachineList(now);
    logRecovery(now);
    const auto vms = takeVmVisits(m_state, now);
    expireLeases(m_state, vms, now);
    m_evacuationVisits.insert(m_evacuationVisits.end(), vms.begin(), vms.end());
    const bool isFullPlan = now - m_fullPlanAt >= fullPlanInterval;
    if (isFullPlan) {
        m_fullPlanAt = now;
        planEvacuations(m_state, std::exchange(m_evacuationVisits, {}), now);
    }
    sendStops(vms, now);
    if (m_context.areViewsFresh()) {
        sendStarts(now, isFullPlan ? PlanScope::Everything : PlanScope::RoomOnly);
        m_advisor.requestNext();
    }
    m_caps.update();
    raiseTokenIfRequired(vms, now);
    sendHeartbeats(vms, now);
    logRunEvents();
    reportLocality(m_state, m_context.metrics);
    visitJobs();
    resumeRejectedRecords(now);
    removeEndedJobs();
    markDirtyIfNeeded();
    publishLoad(now);
    logWaitingTasks(now);
    m_lastPass = { now, m_context.clock.now() };
    m_timeInPasses += m_lastPass.endedAt - m_lastPass.begunAt;
    m_longestPass = std::max(m_longestPass, m_lastPass.endedAt - m_lastPass.begunAt);
    scheduleNextPass(now);
}

void PoolHolder::scheduleNextPass(TimePoint now)
{
    const bool isIdle = m_state.jobs.empty() && m_evacuations.empty() && !m_caps.isRetiring();
    Duration delay = isIdle ? idleReconcileInterval : reconcileInterval;
    delay = std::min<Duration>(delay, earliestVisit(m_state) - now);
    if (m_fullPlanAt != now && m_state.waitingSteps.byNeed.contains(roomIndependent))
        delay = std::min<Duration>(delay, m_fullPlanAt + fullPlanInterval - now);
    if (!m_state.changedVms[static_cast<std::size_t>(ChangeReader::Visits)].empty())
        delay = reconcileDelay;
    scheduleReconcile(std::chrono::ceil<microseconds>(std::max<Duration>(delay, reconcileDelay)));
}

void PoolHolder::visitJobs()
{
    for (const auto& id : takeJobVisits(m_state)) {
        const auto job = m_state.jobs.find(id);
        if (job == m_state.jobs.end())
            continue;
        if (job->second.dirty && !isSetAside(m_rejectedRecords, id, m_context.clock.now()))
            m_dirtyJobs.insert(id);
        if (isFinal(job->second.state))
            m_endedJobs.insert(id);
    }
}

void PoolHolder::raiseTokenIfRequired(const std::vector<std::string>& vms, TimePoint now)
{
    const bool isRequired = std::any_of(vms.begin(), vms.end(), [&](const std::string& id) {
        const auto vm = m_state.vms.find(id);
        return vm != m_state.vms.end() && vm->second.fencing == Fencing::TokenRequired;
    });
    if (isRequired && now - m_tokenRaisedAt >= minTokenAge)
        m_ledger.raiseFencingToken();
}

void PoolHolder::onRenewed()
{
    const auto token = m_ledger.fencingToken();
    if (token != m_state.fencingToken) {
        const auto now = m_tokenRaisedAt = m_context.clock.now();
        const auto vms = applyNewToken(m_state, token, now);
        for (const auto& vm : vms)
            m_heartbeatStates[vm].nextHeartbeatAt = now;
        logEvent(LogLevel::Info, "fencing_token_raised",
            { { "pool", m_state.pool }, { "fence", std::to_string(token) },
                { "vms", std::to_string(vms.size()) } });
    }
    scheduleReconcile(reconcileDelay);
}

void PoolHolder::markDirtyIfNeeded()
{
    if (!m_dirtyJobs.empty())
        m_ledger.markDirty();
}

void PoolHolder::publishLoad(TimePoint now)
{
    while (!m_state.arrivals.empty() && now - m_state.arrivals.front().at > m_state.limits.arrivalWindow * 2)
        m_state.arrivals.pop_front();
    if (now - m_loadComputedAt < loadCheckInterval)
        return;
    m_loadComputedAt = now;
    const auto wallNow = std::chrono::duration_cast<WallTime>(m_context.clock.wallNow().time_since_epoch());
    const auto sumStartedAt = m_context.clock.now();
    updateLoadSums(m_state, wallNow);
    m_timeSummingLoad += m_context.clock.now() - sumStartedAt;
    const bool urgent = m_state.loadSums.vms.empty != m_publishedLoad.empty;
    if (!urgent && now - m_loadPublishedAt < loadInterval)
        return;
    auto load = sumLoad(m_state, now);
    if (load == m_publishedLoad)
        return;
    m_pendingLoad = std::move(load);
    m_loadPublishedAt = now;
    logLoad(now);
    m_ledger.markDirty();
}

} // namespace damask::fleet
