#include <damaskworks/log.h>
#include <damaskworks/node_polls.h>

namespace damask::fleet {
namespace {

/// Pause, wait and interval in milliseconds.
std::string describe(const PollPace& pace)
{
    return std::to_string(pace.pauseAfterChanges.count()) + "/" + std::to_string(pace.maxWait.count()) + "/"
        + std::to_string(pace.minInterval.count());
}

} // namespace

NodePolls::NodePolls(event_base* base, SharedTable& table, const Clock& clock, Metrics& metrics,
    const NodeSettings& settings, PolledTables tables, std::uint64_t seed)
    : m_base(base)
    , m_table(table)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_tables(tables)
    , m_seed(seed)
{
}

void NodePolls::start()
{
    update();
    if (m_settings.tableReadsPerSecond > 0)
        m_presence = std::make_unique<NodePresence>(m_base, m_table, m_settings.node, m_seed);
}

void NodePolls::applyRow(const TableRow& row)
{
    if (row.part != fleetPart || row.key != fleetSizeKey || row.deleted)
        return;
    const auto nodes = decodeFleetSize(row.value);
    if (!nodes)
        return logEvent(LogLevel::Error, "fleet_size_unreadable", { { "part", row.part } });
    m_fleetSize = *nodes;
    update();
}

void NodePolls::setRole(const NodeRole& role, std::size_t leases)
{
    m_role = role;
    m_leases = leases;
    if (!role.coordinatesMachines)
        m_sizeCounter.reset();
    else if (!m_sizeCounter && m_settings.tableReadsPerSecond > 0)
        m_sizeCounter = std::make_unique<FleetSizeCounter>(
            m_base, m_table, m_clock, m_metrics, [this] { return m_fleetSize; }, m_seed + 1);
    update();
}

void NodePolls::update()
{
    const auto plan = planPolls(
        m_role, { m_settings.tableReadsPerSecond, m_fleetSize, m_leases, m_settings.configApplyTime });
    if (plan == m_plan)
        return;
    m_plan = plan;
    m_tables.operators.setPace(plan.operators);
    m_tables.control.setPace(plan.control);
    m_tables.jobs.setPace(plan.jobs);
    m_tables.vms.setPace(plan.vms);
    for (auto* follower : { &m_tables.operators, &m_tables.control, &m_tables.jobs, &m_tables.vms })
        follower->setTurn(plan.turn);
    m_tables.election.setWindow(electionWindow(m_fleetSize, m_settings.tableWritesPerSecond));
    m_metrics.gauge("fleet_size", static_cast<double>(m_fleetSize));
    m_metrics.gauge("poll_calls_per_second", observerCallsPerSecond(plan));
    logEvent(plan.isWithinShare ? LogLevel::Info : LogLevel::Warning, "poll_plan",
        { { "nodes", std::to_string(m_fleetSize) }, { "within_share", plan.isWithinShare ? "yes" : "no" },
            { "operators", describe(plan.operators) }, { "control", describe(plan.control) },
            { "jobs", describe(plan.jobs) }, { "vms", describe(plan.vms) } });
}

} // namespace damask::fleet
