#include <damaskworks/cap_ledger.h>
#include <damaskworks/log.h>
#include <damaskworks/pool_plan.h>

#include <algorithm>

namespace damask::fleet {
namespace {

/// Rows in the table. More rows mean fewer conflicts of their writers, and more writes by each new holder.
constexpr std::uint64_t rowCount = 8;
constexpr milliseconds commitTimeout { 900 };
/// Shortest time between two passes over the organisations.
constexpr milliseconds updateInterval { 25 };
/// Shortest time between two writes of a row that a start waits for, and of one that prepares for later
/// starts.
constexpr milliseconds writeInterval { 150 };
constexpr milliseconds aheadWriteInterval { 2000 };
/// Pause after a failure; doubles with each further one.
constexpr milliseconds firstRetryDelay { 20 };
constexpr milliseconds maxRetryDelay { 500 };
/// Half of the time for which the largest use of a pool counts as recent.
constexpr milliseconds peakInterval { 5000 };
constexpr milliseconds waitingLogInterval { 1000 };
constexpr milliseconds followPause { 50 };

std::string describe(const Resources& amount)
{
    return std::to_string(amount.cpu) + "/" + std::to_string(amount.memoryMb) + "/"
        + std::to_string(amount.gpu);
}

/// FNV-1a (Fowler, Noll and Vo), the same in all builds.
std::uint64_t hash(std::string_view text)
{
    std::uint64_t out = 14695981039346656037U;
    for (const char c : text)
        out = (out ^ static_cast<unsigned char>(c)) * 1099511628211U;
    return out;
}

std::string rowKey(std::uint64_t number) { return "row/" + std::to_string(number); }

/// The shares of the pools other than \p pool, each with the term of its holder.
std::string describeOtherShares(const OrganisationShares& organisation, std::string_view pool)
{
    std::string out;
    for (const auto& [name, share] : organisation.pools) {
        if (name == pool || share.share == Resources {})
            continue;
        out += (out.empty() ? "" : " ") + name + "=" + describe(share.share) + "@"
            + std::to_string(share.term);
    }
    return out;
}

const OrganisationShares* find(const CapRow& row, std::string_view organisation)
{
    const auto found = row.find(organisation);
    return found == row.end() ? nullptr : &found->second;
}

} // namespace

std::string capRowKey(std::string_view organisation) { return rowKey(hash(organisation) % rowCount); }

bool hasCaps(const FleetConfig& config)
{
    return std::any_of(config.organisations.begin(), config.organisations.end(),
        [](const auto& entry) { return isLimited(entry.second.cap); });
}

std::unique_ptr<TableFollower> followCapRows(event_base* base, SharedTable& table, const Clock& clock,
    Metrics& metrics, std::uint64_t seed, std::function<void(const TableRow&)> apply)
{
    auto out = std::make_unique<TableFollower>(base, table, clock, metrics,
        FollowSettings { .table = std::string(capTable), .pauseAfterChanges = followPause }, seed);
    const auto applyAll
        = [apply](const std::vector<TableRow>& rows) { std::for_each(rows.begin(), rows.end(), apply); };
    out->setListeners(applyAll, apply, {});
    out->start();
    return out;
}

CapLedger::CapLedger(event_base* base, SharedTable& table, const Clock& clock, Metrics& metrics,
    PoolState& state, milliseconds registrationTime, Callbacks callbacks)
    : m_table(table)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_state(state)
    , m_registrationTime(registrationTime)
    , m_callbacks(std::move(callbacks))
    , m_timer(base, [this] { update(); })
    , m_random(hash(state.pool))
{
    m_state.caps.isEnforced = true;
}

CapLedger::~CapLedger() { *m_alive = false; }

void CapLedger::applyConfig(const FleetConfig& config)
{
    m_configVersion = config.rowVersion;
    m_configuredCaps.clear();
    for (const auto& [name, organisation] : config.organisations) {
        m_configuredCaps.emplace(name, organisation.cap);
        addOrganisation(name);
    }
    for (const auto& [key, row] : m_rows)
        updateAllowed(row);
    m_nextUpdateAt = TimePoint {};
    update();
}

void CapLedger::addOrganisation(const std::string& name)
{
    useOf(m_state.caps, name);
    // A row may limit an organisation that the configuration lacks by now, so all of them are read.
    for (std::uint64_t number = 0; m_rows.size() < rowCount; ++number)
        m_rows[rowKey(number)];
    m_organisationCount += m_rows[capRowKey(name)].organisations.insert(name).second;
}

void CapLedger::addOrganisationsOfJobs()
{
    if (m_state.caps.organisations.size() == m_organisationCount)
        return;
    for (const auto& [name, use] : m_state.caps.organisations)
        addOrganisation(name);
    for (const auto& [key, row] : m_rows)
        updateAllowed(row);
}

ConfiguredCap CapLedger::configuredCap(const std::string& organisation) const
{
    const auto found = m_configuredCaps.find(organisation);
    return { m_configVersion, found == m_configuredCaps.end() ? Resources {} : found->second };
}

void CapLedger::applyRow(const TableRow& row)
{
    const auto known = m_rows.find(row.key);
    if (row.deleted || known == m_rows.end() || row.version <= known->second.version)
        return;
    replaceRow(row.key, row.version, row.value);
    update();
}

void CapLedger::replaceRow(const std::string& key, Version version, const std::string& value)
{
    auto row = version == 0 ? CapRow {} : decodeCapRow(value);
    if (!row) {
        // All pools register their use anew.
        logEvent(LogLevel::Error, "cap_row_unreadable", { { "pool", m_state.pool }, { "key", key } });
        row.emplace();
    }
    setRow(key, version, std::move(*row));
}

void CapLedger::setRow(const std::string& key, Version version, CapRow row)
{
    auto& state = m_rows[key];
    if (state.isLoaded && version <= state.version)
        return; // an open write may still be committed on top of this version
    for (const auto& [name, organisation] : row)
        addOrganisation(name);
    state.version = version;
    state.row = std::move(row);
    state.isLoaded = true;
    state.openWrites.clear();
    updateAllowed(state);
    m_nextUpdateAt = TimePoint {};
    m_callbacks.changed();
}

void CapLedger::updateAllowed(const RowState& row)
{
    if (!row.isLoaded)
        return;
    const auto& pool = m_state.pool;
    for (const auto& name : row.organisations) {
        auto& use = useOf(m_state.caps, name);
        const auto configured = configuredCap(name);
        const auto* shares = find(row.row, name);
        use.allowed = usableShare(shares, pool, m_state.term, configured);
        for (const auto& write : row.openWrites)
            use.allowed
                = smallerShare(use.allowed, usableShare(find(write, name), pool, m_state.term, configured));
        const auto own = shares ? shares->pools.find(pool) : decltype(shares->pools.find(pool)) {};
        const bool isOwn = shares && own != shares->pools.end() && own->second.term == m_state.term;
        if (isOwn && m_claimed.insert(name).second)
            use.inherited = own->second.share;
    }
}

void CapLedger::update()
{
    const auto now = m_clock.now();
    addOrganisationsOfJobs();
    if (m_rows.empty() || now < m_nextUpdateAt || !m_callbacks.isLeaseValid())
        return;
    m_nextUpdateAt = now + updateInterval;
    m_state.caps.areEarlierRunsKnown = areEarlierRunsKnown(m_state, now);
    m_isPoolInUse = m_callbacks.pools().contains(m_state.pool);
    auto next = TimePoint::max();
    for (auto& [key, row] : m_rows) {
        if (row.isReading || row.isCommitting)
            continue;
        if (now < row.nextCallAt)
            next = std::min(next, row.nextCallAt);
        else if (!row.isLoaded)
            readRow(key);
        else
            planRow(key, row, now);
    }
    logWaiting(now);
    if (next != TimePoint::max())
        m_timer.startOnce(std::max(std::chrono::ceil<milliseconds>(next - now), updateInterval));
}

void CapLedger::onPoolsChanged()
{
    m_nextUpdateAt = TimePoint {};
    update();
}

bool CapLedger::hasEntry(const RowState& row) const
{
    return std::any_of(row.row.begin(), row.row.end(),
        [this](const auto& entry) { return entry.second.pools.contains(m_state.pool); });
}

bool CapLedger::isRetiring() const
{
    return !m_isPoolInUse && std::any_of(m_rows.begin(), m_rows.end(), [this](const auto& entry) {
        return hasEntry(entry.second);
    });
}

void CapLedger::readRow(const std::string& key)
{
    m_rows[key].isReading = true;
    m_table.read(
        std::string(capTable), "", key, 1, [this, key, alive = m_alive](TableResult<TableRows> rows) {
            if (!*alive)
                return;
            auto& row = m_rows[key];
            row.isReading = false;
            if (!rows) {
                delayNextCall(row);
                return;
            }
            row.failures = 0;
            const bool isPresent = !rows->rows.empty() && rows->rows.front().key == key;
            if (isPresent)
                replaceRow(key, rows->rows.front().version, rows->rows.front().value);
            else
                setRow(key, 0, {});
            update();
        });
}

bool CapLedger::haveAllPoolsRegistered(
    const std::string& organisation, const OrganisationShares* shares, TimePoint now)
{
    if (shares && shares->isComplete) {
        m_incompleteSince.erase(organisation);
        return true;
    }
    const auto version = shares ? shares->configVersion : 0;
    auto& since = m_incompleteSince.try_emplace(organisation, IncompleteSince { version, now }).first->second;
    if (since.configVersion != version)
        since = { version, now };
    if (now - since.at >= m_registrationTime)
        return true;
    auto pools = m_callbacks.pools();
    if (shares)
        pools.insert(shares->unregistered.begin(), shares->unregistered.end());
    return std::all_of(pools.begin(), pools.end(), [&](const std::string& pool) {
        return pool == m_state.pool || (shares && shares->pools.contains(pool));
    });
}

Resources CapLedger::recentPeak(const std::string& organisation, const Resources& used, TimePoint now)
{
    auto& peak = m_peaks[organisation];
    if (now >= peak.intervalEndsAt) {
        peak.previous = std::exchange(peak.current, {});
        peak.intervalEndsAt = now + peakInterval;
    }
    auto out = peak.previous;
    forEachResource([&](auto member) {
        peak.current.*member = std::max(peak.current.*member, used.*member);
        out.*member = std::max(out.*member, peak.current.*member);
    });
    return out;
}

CapDemand CapLedger::demandOf(
    const std::string& organisation, const OrganisationShares* shares, TimePoint now)
{
    const auto& use = useOf(m_state.caps, organisation);
    CapDemand out;
    out.pool = m_state.pool;
    out.term = m_state.term;
    out.configured = configuredCap(organisation);
    out.used = usedBy(m_state.caps, use);
    out.recentPeak = recentPeak(organisation, use.runs, now);
    out.waiting = use.waiting;
    out.smallestStart = use.smallestStart;
    out.areEarlierRunsKnown = m_state.caps.areEarlierRunsKnown;
    out.haveAllPoolsRegistered = haveAllPoolsRegistered(organisation, shares, now);
    out.isRetired = !m_isPoolInUse && isUnused(m_state, use);
    // Only a cap that appears needs them.
    if (out.configured.configVersion > (shares ? shares->configVersion : 0))
        out.recentlyHeldPools = m_callbacks.recentlyHeldPools();
    return out;
}

void CapLedger::planRow(const std::string& key, RowState& row, TimePoint now)
{
    // A write whose outcome is unknown is settled by another one.
    auto write = row.openWrites.empty() ? CapWrite::None : CapWrite::Soon;
    auto next = row.row;
    for (const auto& name : row.organisations) {
        const auto* shares = find(row.row, name);
        auto plan = planShares(shares ? *shares : OrganisationShares {}, demandOf(name, shares, now));
        if (plan.write == CapWrite::None)
            continue;
        write = std::max(write, plan.write);
        next[name] = std::move(plan.next);
    }
    const auto interval = write == CapWrite::Soon ? writeInterval : aheadWriteInterval;
    const bool isFirst = row.lastCommitAt == TimePoint {};
    if (write == CapWrite::None)
        return;
    if (isFirst || now >= row.lastCommitAt + interval)
        return commitRow(key, row, std::move(next), now);
    m_timer.startOnce(std::chrono::ceil<milliseconds>(row.lastCommitAt + interval - now));
}

void CapLedger::commitRow(const std::string& key, RowState& row, CapRow next, TimePoint now)
{
    auto text = encodeCapRow(next);
    row.isCommitting = true;
    row.lastCommitAt = now;
    row.openWrites.push_back(next);
    // From now on the share may be that of the write, which others may use what it gives back of.
    updateAllowed(row);
    const std::string table(capTable);
    m_table.commit({ "", { { table, key, row.version } }, { { table, key, std::move(text) } } },
        commitTimeout, [this, key, written = std::move(next), alive = m_alive](TableResult<Version> result) {
            if (*alive)
                onCommitResult(key, written, result);
        });
}

void CapLedger::onCommitResult(
    const std::string& key, const CapRow& written, const TableResult<Version>& result)
{
    auto& row = m_rows[key];
    row.isCommitting = false;
    m_metrics.count("cap_writes_total{pool=\"" + m_state.pool + "\",outcome=\""
        + std::string(result ? "committed" : nameOf(tableFailureNames, result.error())) + "\"}");
    if (result) {
        row.failures = 0;
        setRow(key, *result, written);
        return update();
    }
    if (result.error() != TableFailure::Unknown && !row.openWrites.empty())
        row.openWrites.pop_back(); // this write had no effect; earlier ones are still open
    if (result.error() == TableFailure::Invalid)
        logEvent(LogLevel::Error, "cap_row_rejected", { { "pool", m_state.pool }, { "key", key } });
    updateAllowed(row);
    delayNextCall(row);
    if (result.error() == TableFailure::Conflict)
        readRow(key);
}

void CapLedger::delayNextCall(RowState& row)
{
    const auto delay = std::min(maxRetryDelay, firstRetryDelay * (1 << std::min(row.failures, 5)));
    ++row.failures;
    row.lastCommitAt = TimePoint {};
    row.nextCallAt
        = m_clock.now() + delay / 2 + milliseconds(m_random() % static_cast<std::uint64_t>(delay.count()));
    m_timer.startOnce(delay);
}

void CapLedger::logWaiting(TimePoint now)
{
    if (now - m_waitingLoggedAt < waitingLogInterval)
        return;
    m_waitingLoggedAt = now;
    int organisations = 0;
    for (const auto& [name, use] : m_state.caps.organisations) {
        if (use.waiting == Resources {} || !use.allowed)
            continue;
        ++organisations;
        const auto& row = m_rows[capRowKey(name)];
        const auto* shares = find(row.row, name);
        logEvent(LogLevel::Info, "cap_reached",
            { { "pool", m_state.pool }, { "organisation", name },
                { "used", describe(usedBy(m_state.caps, use)) }, { "allowed", describe(*use.allowed) },
                { "waiting", describe(use.waiting) },
                { "cap", describe(shares ? shares->cap : Resources {}) },
                { "all_shares", describe(shares ? sumShares(*shares) : Resources {}) },
                { "other_shares", shares ? describeOtherShares(*shares, m_state.pool) : "" },
                { "complete", shares && shares->isComplete ? "yes" : "no" },
                { "version", std::to_string(row.version) } });
    }
    m_metrics.gauge("organisations_at_cap{pool=\"" + m_state.pool + "\"}", organisations);
}

} // namespace damask::fleet
