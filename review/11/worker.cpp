#include "worker.h"

#include <algorithm>
#include <utility>

namespace damask::review {
namespace {

constexpr milliseconds tickInterval { 20 };
constexpr milliseconds stopDuration { 100 };
constexpr milliseconds gangWait { 3000 }; ///< gang_wait_ms
constexpr milliseconds startup { 300 }; ///< of a long-running work unit
constexpr std::size_t maxReportedEnds = 500;

milliseconds since(SteadyTime time)
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - time);
}

void reply(const std::shared_ptr<HttpExchange>& exchange, int status, const json& body)
{
    exchange->reply({ status, { { "Content-Type", "application/json" } }, body.dump() });
}

} // namespace

Worker::Worker(
    event_base* base, fleet::standin::Table& table, WorkerHost& host, WorkerSpec spec, milliseconds maxLease)
    : m_base(base)
    , m_table(table)
    , m_host(host)
    , m_spec(std::move(spec))
    , m_maxLease(maxLease)
    , m_server(base, {}, [this](const Exchange& exchange) { handle(exchange); })
    , m_lateOrders(base)
    , m_random(std::random_device()())
    , m_timer(base, [this] { tick(); })
{
    m_bornMs = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                   .count();
    const auto port = m_server.listen({ "127.0.0.1", 0 });
    m_address = { "127.0.0.1", port.value_or(0) };
    m_timer.startPeriodic(tickInterval);
    publishRegistration(false);
}

Worker::~Worker()
{
    for (const auto& [task, run] : std::exchange(m_runs, {})) {
        m_host.onEnd(m_spec, task, run.number, "crashed");
        const auto* step = m_host.findStep(task);
        if (!step || !step->isGang || !run.isAtWork)
            continue;
        for (const auto& [worker, member] : m_host.gangMembers(task, run.number))
            worker->end(member, "broken");
    }
}

void Worker::publishRegistration(bool isDraining)
{
    const json row = { { "service", m_spec.pool }, { "addr", http::toString(m_address) }, { "zone", "east" },
        { "version", "1" }, { "slots", 8 }, { "cold_left_ms", 0 }, { "seq", 1 },
        { "machine", m_spec.machine }, { "state", isDraining ? "draining" : "ready" }, { "born", m_bornMs },
        { "capacity", { { "cpu", m_spec.cpu }, { "mem_mb", m_spec.memoryMb }, { "gpu", 0 } } },
        { "labels", { m_spec.kind, m_spec.rack } } };
    m_table.write("servers", "", m_spec.id, row.dump());
}

std::int64_t Worker::clockMs() const { return since(m_bootedAt).count() + 1; }

bool Worker::runs(const TaskId& task, std::uint32_t run) const
{
    const auto found = m_runs.find(task);
    return found != m_runs.end() && found->second.number == run;
}

void Worker::handle(const Exchange& exchange)
{
    if (m_isSilent) {
        m_unanswered.push_back(exchange);
        return;
    }
    const auto& request = exchange->request();
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return reply(exchange, 400, json::object());
    const auto expected = http::header(request.headers, "Damaskworks-Expect-Instance");
    if (expected && *expected != m_spec.id)
        return reply(exchange, 421, json::object());
    const bool isLate = std::uniform_real_distribution<>(0, 1)(m_random) < lateShare;
    if (isLate && request.path != "/hold") {
        const milliseconds delay(2000 + m_random() % 10'000);
        m_lateOrders.add(delay, [this, exchange, path = request.path, body] {
            int status = 0;
            carryOut(path, body, status);
        });
        return;
    }
    const bool isFenced = body.value("fence", std::uint64_t { 0 }) < m_fence;
    if (request.path == "/hold" && !isFenced)
        return hold(exchange, body);
    int status = 200;
    auto out = carryOut(request.path, body, status);
    out["clock_ms"] = clockMs();
    out["born"] = m_bornMs;
    reply(exchange, status, out);
}

json Worker::carryOut(const std::string& path, const json& body, int& status)
{
    const auto fence = body.value("fence", std::uint64_t { 0 });
    if (fence < m_fence) {
        status = 409;
        return { { "reason", "fence" } };
    }
    m_fence = fence;
    if (path == "/run-start")
        return start(body, status);
    if (path == "/run-stop")
        return stop(body);
    if (path != "/pace")
        status = 404;
    return json::object();
}

void Worker::setSilent(bool isSilent)
{
    m_isSilent = isSilent;
    for (auto& pending : std::exchange(m_pendingHolds, {}))
        m_unanswered.push_back(std::move(pending.exchange));
    if (!isSilent)
        m_unanswered.clear();
}

std::int64_t Worker::usedCpu() const
{
    std::int64_t used = 0;
    for (const auto& [task, run] : m_runs) {
        const auto* step = m_host.findStep(task);
        used += step ? step->cpu : 0;
    }
    return used;
}

void Worker::extendLease(const json& body)
{
    const auto wanted = body.value("deadline_ms", std::int64_t { 0 });
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(wanted, clockMs() + m_maxLease.count()));
}

json Worker::start(const json& body, int& status)
{
    const auto task = fleet::parseTaskId(body.value("task", ""));
    const auto number = body.value("run", std::uint32_t { 0 });
    const auto* step = task ? m_host.findStep(*task) : nullptr;
    if (!step) {
        status = 400;
        return json::object();
    }
    extendLease(body);
    std::string reason;
    const auto running = m_runs.find(*task);
    if (running != m_runs.end() && running->second.number == number)
        return json::object();
    if (m_leaseUntilMs <= clockMs())
        reason = "late";
    else if (number <= m_highestEnded[*task] || running != m_runs.end())
        reason = "old";
    else if (!m_host.hasValidTicket(*this, *task, body.value("ticket", "")))
        reason = "ticket";
    if (!reason.empty()) {
        status = 409;
        m_host.onRejected(m_spec, *task, number, reason);
        return { { "reason", reason } };
    }
    auto& run = m_runs[*task];
    run.number = number;
    run.startedAt = std::chrono::steady_clock::now();
    m_host.onStart(m_spec, *task, number);
    if (m_host.failsAtStart(m_spec, *task)) {
        run.timer = std::make_unique<Timer>(m_base, [this, id = *task] { finish(id, "failed"); });
        run.timer->startOnce(milliseconds(1));
        return json::object();
    }
    if (step->isGang)
        beginGang(*task, number);
    else
        beginWork(*task);
    return json::object();
}

void Worker::beginWork(const TaskId& task)
{
    auto& run = m_runs.at(task);
    const auto& step = *m_host.findStep(task);
    run.isAtWork = true;
    run.startedAt = std::chrono::steady_clock::now();
    if (run.timer) // that of a gang's member which has waited for the others
        m_endedTimers.push_back(std::move(run.timer));
    if (step.length.count() == 0)
        return;
    run.timer = std::make_unique<Timer>(m_base, [this, id = task] { finish(id, "done"); });
    run.timer->startOnce(step.length);
}

void Worker::beginGang(const TaskId& task, std::uint32_t run)
{
    const auto members = m_host.gangMembers(task, run);
    if (static_cast<int>(members.size()) >= m_host.findStep(task)->count) {
        for (const auto& [worker, member] : members)
            worker->beginWork(member);
        return;
    }
    auto& own = m_runs.at(task);
    own.timer = std::make_unique<Timer>(m_base, [this, id = task] { finish(id, "alone"); });
    own.timer->startOnce(gangWait);
}

json Worker::stop(const json& body)
{
    const auto task = fleet::parseTaskId(body.value("task", ""));
    const auto number = body.value("run", std::uint32_t { 0 });
    if (!task)
        return json::object();
    m_highestEnded[*task] = std::max(m_highestEnded[*task], number);
    const auto found = m_runs.find(*task);
    if (found == m_runs.end() || found->second.number > number || found->second.isStopping)
        return json::object();
    found->second.isStopping = true;
    found->second.timer = std::make_unique<Timer>(m_base, [this, id = *task] { finish(id, "stopped"); });
    found->second.timer->startOnce(stopDuration);
    return json::object();
}

void Worker::finish(const TaskId& task, const std::string& how)
{
    const TaskId id { task.job, task.occurrence, task.step,
        task.index }; // the argument may end with its timer
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    const auto* step = m_host.findStep(id);
    std::vector<std::pair<Worker*, TaskId>> members;
    if (step && step->isGang && how != "alone")
        members = m_host.gangMembers(id, found->second.number);
    end(id, how);
    for (const auto& [worker, member] : members)
        if (member != id)
            worker->end(member, how == "done" ? "done" : "broken");
}

void Worker::end(const TaskId& task, const std::string& how)
{
    const auto found = m_runs.find(task);
    if (found == m_runs.end())
        return;
    const auto number = found->second.number;
    m_highestEnded[task] = std::max(m_highestEnded[task], number);
    m_ends.push_back({ m_nextEnd++, task, number, how, false });
    m_host.onEnd(m_spec, task, number, how);
    if (found->second.timer)
        m_endedTimers.push_back(std::move(found->second.timer));
    m_runs.erase(found);
    for (const auto& pending : std::exchange(m_pendingHolds, {}))
        reply(pending.exchange, 200, report());
}

void Worker::hold(const Exchange& exchange, const json& body)
{
    m_fence = body.value("fence", std::uint64_t { 0 });
    tick();
    extendLease(body);
    const auto seen = body.value("last_seen", std::uint64_t { 0 });
    while (!m_ends.empty() && m_ends.front().number <= seen) {
        const auto& end = m_ends.front();
        if (!end.hasLapsed)
            m_host.onAcknowledged(m_spec, end.task, end.run, end.how);
        m_ends.pop_front();
    }
    const milliseconds wait(body.value("wait_ms", 0));
    if (wait.count() == 0 || !m_ends.empty())
        return reply(exchange, 200, report());
    m_pendingHolds.push_back({ exchange, std::chrono::steady_clock::now() + wait });
}

json Worker::report() const
{
    json running = json::array();
    for (const auto& [task, run] : m_runs) {
        const auto* step = m_host.findStep(task);
        int percent = 0;
        if (run.isAtWork && step && step->isLongRunning)
            percent = since(run.startedAt) >= startup ? 100 : 0;
        else if (run.isAtWork && step)
            percent = static_cast<int>(std::min<std::int64_t>(
                99, since(run.startedAt).count() * 100 / std::max<std::int64_t>(step->length.count(), 1)));
        running.push_back({ fleet::toString(task), run.number, "", percent, step ? step->cpu : 0 });
    }
    json ended = json::array();
    for (const auto& end : m_ends) {
        if (ended.size() < maxReportedEnds)
            ended.push_back({ end.number, fleet::toString(end.task), end.run, end.how, "" });
    }
    return { { "clock_ms", clockMs() }, { "born", m_bornMs }, { "running", running }, { "ended", ended } };
}

void Worker::tick()
{
    m_endedTimers.clear();
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_pendingHolds, [&](const PendingHold& pending) {
        const bool isDue = now >= pending.until || !pending.exchange->isOpen();
        if (isDue)
            reply(pending.exchange, 200, report());
        return isDue;
    });
    if (clockMs() <= m_leaseUntilMs)
        return;
    for (auto& end : m_ends)
        end.hasLapsed = true;
    while (!m_runs.empty())
        finish(m_runs.begin()->first, "lapsed");
}

} // namespace damask::review
