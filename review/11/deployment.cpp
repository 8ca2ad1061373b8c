#include "deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace damask::review {
namespace {

constexpr milliseconds storeLatency { 4 };
constexpr milliseconds upkeepTime { 2000 };
constexpr milliseconds moveTime { 1500 };
constexpr milliseconds registrationTimeout { 4500 }; ///< three liveness report intervals
constexpr milliseconds callTimeout { 3000 };
constexpr milliseconds retryDelay { 400 };
constexpr milliseconds decideTime { 50 };
constexpr milliseconds decideTimePerWorker { 10 };
constexpr milliseconds ticketValidity { 3000 };
constexpr milliseconds cancelBound { 3000 }; ///< cancel_ms
constexpr int maxSubmissions = 5; ///< the first and four retries
constexpr std::uint16_t callerPort = 8624;
constexpr std::uint16_t readyPort = 8622;

void reply(const std::shared_ptr<HttpExchange>& exchange, int status, const json& body)
{
    exchange->reply({ status, { { "Content-Type", "application/json" } }, body.dump() });
}

json encodeStep(const Step& step)
{
    json out = { { "count", step.count }, { "cpu", step.cpu }, { "mem_mb", step.memoryMb } };
    if (step.estimate.count() > 0)
        out["estimate_ms"] = step.estimate.count();
    if (!step.after.empty())
        out["after"] = step.after;
    if (step.isGang)
        out["gang"] = true;
    if (step.isLongRunning)
        out["long_running"] = true;
    if (step.isSpeculative)
        out["speculative"] = true;
    if (!step.requiredLabel.empty())
        out["required_label"] = step.requiredLabel;
    if (step.maxPerWorker > 0)
        out["anti_affinity"] = step.maxPerWorker;
    return out;
}

} // namespace

bool hasTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

Deployment::Deployment(const Options& options)
    : m_options(options)
    , m_record(options.record)
    , m_folder((std::filesystem::temp_directory_path() / ("review3_" + std::to_string(getpid()))).string())
    , m_calls(m_loop.base())
    , m_table(m_loop.base(), m_random)
    , m_client(m_loop.base(), {})
    , m_cloud(
          m_loop.base(), {}, [this](const std::shared_ptr<HttpExchange>& exchange) { handleCloud(exchange); })
    , m_advice(m_loop.base(), {},
          [this](const std::shared_ptr<HttpExchange>& exchange) { handleAdvice(exchange); })
{
    signal(SIGPIPE, SIG_IGN);
    m_adviceAddress = { "127.0.0.1", m_advice.listen({ "127.0.0.1", 0 }).value_or(0) };
    std::filesystem::create_directories(m_folder);
    m_table.faults.delay = storeLatency;
    m_cloudAddress = { "127.0.0.1", m_cloud.listen({ "127.0.0.1", 0 }).value_or(0) };
    // Addresses in 127/8 derived from the process id, so that cases side by side do not share ports.
    const auto prefix
        = "127." + std::to_string(64 + (getpid() >> 8) % 128) + "." + std::to_string(getpid() % 256) + ".";
    for (int i = 0; i < options.nodes; ++i) {
        Node node;
        node.name = "front-east-" + std::to_string(i + 1);
        node.ip = prefix + std::to_string(i + 1);
        node.settings = m_folder + "/" + node.name + ".toml";
        writeSettings(node);
        m_nodes.push_back(std::move(node));
    }
}

Deployment::~Deployment()
{
    m_isEnding = true;
    for (auto& node : m_nodes)
        node.process.reset();
    std::error_code error;
    if (!std::getenv("REVIEW3_KEEP_LOGS"))
        std::filesystem::remove_all(m_folder, error);
}

void Deployment::note(const std::string& line)
{
    const auto time
        = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_startedAt).count();
    m_record << time << " ms " << line << "\n" << std::flush;
}

void Deployment::violate(const std::string& line)
{
    violations.push_back(line);
    note("BROKEN " + line);
}

void Deployment::writeSettings(const Node& node) const
{
    std::ofstream out(node.settings);
    const std::string tenantBounds = m_options.tenant.empty()
        ? ""
        : "strict_revoke = true\nrevoke_ms = 5000\nquota_window_s = 5\nquota_overshoot = 0.1\nquota_slack = "
          "20\n";
    out << "node = \"" << node.name
        << "\"\nrole = \"entry\"\nclass = \"front\"\nserves = [\"front\"]\nip = \"" << node.ip
        << "\"\nzone = \"east\"\nregion = \"east\"\nport_range = [7060,7075]\nseeds = []\n"
        << "bootstrap = true\nloss_counts = false\ndiscovery = \"platform\"\nentry = \"vip\"\n"
        << "heartbeat_ms = 1500\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\","
        << "\"platform\",\"advice\",\"upkeep\",\"sharing\"" << m_options.moreContracts
        << "]\norders = \"rpc\"\n"
        << "advice = \"" << http::toString(m_adviceAddress) << "\"\n[zones]\neast = \"east\"\n"
        << "[listen]\nfront = \"" << node.ip << ":" << callerPort << "\"\nready = \"" << node.ip << ":"
        << readyPort << "\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n"
        << "link_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
        << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n"
        << "drain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = "
        << m_options.configApply.count() << "\n"
        << "rollback_slack_ms = 250\nmax_stretch_ms = 5000\nrecovery_s = 12\nhold_max_ms = "
        << m_options.maxLease.count() << "\nstop_ms = 200\ngang_wait_ms = 3000\ncancel_ms = 3000\n"
        << "visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfar_x = 2\n"
        << "checkpoint_s = 0.5\nrestore_ms = 600\nnotice_ms = 4500\nmove_s = 1.5\nupkeep_s = 2\n"
        << "require_fencing = true\nlease_ms = 3000\nthaw_ms = 300\npace_ms = 100\nharm_ms = 4000\n"
        << tenantBounds << "[platform]\naddr = \"" << http::toString(m_table.address())
        << "\"\nform = \"table\"\nwrites_per_s = 800\nreads_per_s = 2000\ntxn_ms = 6.0\n"
        << "partition_writes_s = 200\nrow_bytes = 65536\nacross = false\nhistory_s = 20\n"
        << "[cloud]\naddr = \"" << http::toString(m_cloudAddress)
        << "\"\nrate_per_s = 64.0\nduties = []\nduty_per_s = 64.0\n";
}

void Deployment::addMachine(const std::string& machine, const std::string& pool, std::int64_t cpu,
    const std::string& kind, const std::string& rack)
{
    auto& entry = m_machines[machine];
    entry.spec = { "", machine, pool, kind, rack, cpu, 131'072 };
    boot(machine);
}

void Deployment::boot(const std::string& machine)
{
    auto& entry = m_machines.at(machine);
    entry.spec.id = "i-" + machine + "-" + std::to_string(entry.boots);
    entry.state = "up";
    entry.worker = std::make_unique<Worker>(m_loop.base(), m_table, *this, entry.spec, m_options.maxLease);
}

Worker* Deployment::worker(const std::string& machine)
{
    const auto found = m_machines.find(machine);
    return found == m_machines.end() ? nullptr : found->second.worker.get();
}

int Deployment::countIdle(const std::string& service) const
{
    return static_cast<int>(std::count_if(m_machines.begin(), m_machines.end(), [&](const auto& entry) {
        const auto& machine = entry.second;
        return machine.worker && machine.spec.pool == service && machine.worker->runCount() == 0;
    }));
}

std::string Deployment::machineOf(const TaskId& task)
{
    for (const auto& [name, machine] : m_machines) {
        if (machine.worker && machine.worker->runs(task))
            return name;
    }
    return "";
}

void Deployment::takeDown(Machine& machine, const std::string& state, milliseconds downtime, bool keepsId)
{
    const auto name = machine.spec.machine;
    const auto id = machine.spec.id;
    machine.worker.reset();
    machine.state = state;
    const bool isPlanned = state != "down";
    if (isPlanned) {
        m_table.write("servers", "", id, std::nullopt);
    } else {
        m_calls.add(registrationTimeout, [this, name, id] {
            const auto* worker = this->worker(name);
            if (!worker || worker->spec().id != id)
                m_table.write("servers", "", id, std::nullopt);
        });
    }
    m_calls.add(downtime, [this, name, keepsId] {
        m_machines.at(name).boots += keepsId ? 0 : 1;
        boot(name);
        note("minion " + m_machines.at(name).spec.id + " of machine " + name + " starts");
    });
}

void Deployment::crash(const std::string& machine, milliseconds downtime, bool keepsId)
{
    auto& entry = m_machines.at(machine);
    if (!entry.worker)
        return;
    note("minion " + entry.spec.id + " of machine " + machine + " crashes");
    takeDown(entry, "down", downtime, keepsId);
}

void Deployment::configure(const std::vector<Queue>& queues, const std::set<std::string>& services)
{
    json routes = json::array();
    for (const auto& queue : queues) {
        routes.push_back({ { "name", queue.name }, { "host", queue.name + ".test" },
            { "prefix", "/" + queue.name + "/" }, { "service", queue.service },
            { "priority", queue.priority }, { "max_attempts", queue.maxAttempts }, { "stretch", 1.6 },
            { "target_latency_ms", 600 }, { "timeout_ms", 3000 } });
        if (queue.hasAdvice)
            routes.back()["advice"] = { { "decide_ms", decideTime.count() },
                { "interval_ms", decideTimePerWorker.count() }, { "valid_ms", ticketValidity.count() } };
    }
    json entries = json::array();
    for (const auto& service : services)
        entries.push_back({ { "name", service }, { "enforces_capacity", false } });
    json config = { { "version", m_configVersion += 3 }, { "routes", routes }, { "services", entries },
        { "limits", { { "max_body_bytes", 262144 } } } };
    if (!m_options.tenant.empty())
        config["tenants"] = { { { "name", m_options.tenant }, { "api_keys", { m_options.tenant } },
            { "weight", 1.0 }, { "cap", { { "cpu", m_options.cap }, { "mem_mb", 0 }, { "gpu", 0 } } } } };
    m_table.write("op", "", "config", config.dump());
}

void Deployment::startNode(std::size_t node)
{
    auto& entry = m_nodes[node];
    setenv("DAMASKWORKS_CONFIG", entry.settings.c_str(), 1);
    entry.process = std::make_unique<harness::Process>(
        std::vector<std::string> { "target/bin/damaskd", "fleet", "--metrics_port=9464" },
        m_folder + "/" + entry.name + ".log");
    note("node " + entry.name + " starts");
}

void Deployment::killNode(std::size_t node)
{
    note("node " + m_nodes[node].name + " is killed");
    m_nodes[node].process->signal(SIGKILL);
    m_nodes[node].process->wait();
}

bool Deployment::startNodes()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        startNode(i);
    std::set<std::size_t> ready;
    return runUntil(
        [&] {
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (ready.contains(i))
                    continue;
                m_client.send({ m_nodes[i].ip, readyPort }, { "GET", "/ready" }, milliseconds(500),
                    [&ready, i](const HttpResult& result) {
                        if (result && result->status == 200)
                            ready.insert(i);
                    });
            }
            run(milliseconds(200));
            return ready.size() == m_nodes.size();
        },
        milliseconds(15'000));
}

std::optional<std::size_t> Deployment::holderOf(const std::string& pool) const
{
    const auto row = m_table.find("control", "pool/" + pool, "lease");
    const auto value = row ? json::parse(*row, nullptr, false) : json();
    const auto name = value.is_object() ? value.value("node", "") : "";
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].name == name)
            return i;
    }
    return std::nullopt;
}

void Deployment::run(milliseconds time)
{
    const auto until = std::chrono::steady_clock::now() + time;
    m_loop.runUntil([until] { return std::chrono::steady_clock::now() >= until; }, time + milliseconds(1000));
}

bool Deployment::runUntil(const std::function<bool()>& done, milliseconds timeout)
{
    return m_loop.runUntil(done, timeout);
}

HttpRequest Deployment::request(const std::string& method, const JobRecord& job, const std::string& id) const
{
    HttpRequest out { method, "/" + job.queue.name + "/" + id, "",
        { { "Host", job.queue.name + ".test" }, { "Content-Type", "application/json" },
            { "Damaskworks-Deadline-Ms", std::to_string(callTimeout.count()) } },
        "" };
    if (!m_options.tenant.empty())
        out.headers.emplace_back("Damaskworks-Credential", m_options.tenant);
    return out;
}

std::size_t Deployment::anyNode()
{
    std::vector<std::size_t> alive;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].process && !m_nodes[i].process->hasEnded())
            alive.push_back(i);
    }
    return alive.empty() ? 0 : alive[m_random() % alive.size()];
}

std::optional<HttpResponse> Deployment::call(std::size_t node, const HttpRequest& request)
{
    std::optional<HttpResult> result;
    m_client.send({ m_nodes[node].ip, callerPort }, request, callTimeout,
        [&](HttpResult response) { result = std::move(response); });
    m_loop.runUntil([&] { return result.has_value(); }, callTimeout + milliseconds(1000));
    return result && *result ? std::optional(**result) : std::nullopt;
}

void Deployment::submitLater(
    const std::string& id, const Queue& queue, const std::vector<Step>& steps, const json& more)
{
    auto& job = jobs[id];
    job.queue = queue;
    job.steps = steps;
    json body = more;
    body["spec"] = "spec of " + id;
    body["steps"] = json::array();
    for (const auto& step : steps)
        body["steps"].push_back(encodeStep(step));
    sendSubmission(id, body.dump(), 1);
}

void Deployment::sendSubmission(const std::string& id, const std::string& body, int attempt)
{
    auto submission = request("POST", jobs.at(id), id);
    submission.body = body;
    m_client.send({ m_nodes[anyNode()].ip, callerPort }, submission, callTimeout,
        [this, id, body, attempt](const HttpResult& result) {
            const int status = result ? result->status : 0;
            note("POST " + id + " is answered with " + std::to_string(status) + " "
                + (attempt == 1 ? body : ""));
            if (status >= 200 && status < 300)
                jobs.at(id).isAccepted = true;
            else if (attempt < maxSubmissions)
                m_calls.add(retryDelay, [this, id, body, attempt] { sendSubmission(id, body, attempt + 1); });
        });
}

bool Deployment::submit(
    const std::string& id, const Queue& queue, const std::vector<Step>& steps, const json& more)
{
    submitLater(id, queue, steps, more);
    return runUntil([&] { return jobs.at(id).isAccepted; }, milliseconds(10'000));
}

std::string Deployment::state(const std::string& id)
{
    auto& job = jobs.at(id);
    const auto response = call(anyNode(), request("GET", job, id));
    std::string state = response ? std::to_string(response->status) : "no answer";
    if (response && response->status == 200) {
        const auto body = json::parse(response->body, nullptr, false);
        state = body.is_object() ? body.value("state", "") : "";
    }
    if (state != job.state)
        note("GET " + id + " is answered with " + state);
    return job.state = state;
}

bool Deployment::cancel(const std::string& id)
{
    auto& job = jobs.at(id);
    const auto response = call(anyNode(), request("DELETE", job, id));
    note("DELETE " + id + " is answered with " + std::to_string(response ? response->status : 0));
    job.isCancelled = response && (response->status == 410 || response->status / 100 == 2);
    job.cancelledAt = std::chrono::steady_clock::now();
    return job.isCancelled;
}

const Step* Deployment::findStep(const TaskId& task) const
{
    const auto job = jobs.find(task.job);
    const auto step = static_cast<std::size_t>(task.step);
    return job == jobs.end() || step >= job->second.steps.size() ? nullptr : &job->second.steps[step];
}

void Deployment::onStart(const WorkerSpec& worker, const TaskId& task, std::uint32_t run)
{
    const auto name = fleet::toString(task) + " run " + std::to_string(run);
    note("start " + name + " on " + worker.id);
    auto& job = jobs.at(task.job);
    auto& record = job.tasks[task];
    const auto& step = *findStep(task);
    ++record.starts;
    if (!record.active.empty() && !step.isSpeculative)
        violate("TWICE: " + name + " on " + worker.id + " beside run "
            + std::to_string(record.active.begin()->second) + " on " + record.active.begin()->first);
    if (record.isDoneNoted && !step.isLongRunning)
        violate("TWICE: " + name + " after its end as done was taken note of");
    if (worker.pool != job.queue.service)
        violate("ROUTE: " + name + " on a minion of " + worker.pool);
    if (!step.requiredLabel.empty() && step.requiredLabel != worker.kind && step.requiredLabel != worker.rack)
        violate("ROUTE: " + name + " on a minion without the label");
    if (const auto* host = this->worker(worker.machine); host && host->usedCpu() > worker.cpu)
        violate("LIMIT: " + name + " on " + worker.id + " with " + std::to_string(host->usedCpu()));
    if (job.isCancelled && std::chrono::steady_clock::now() - job.cancelledAt > cancelBound)
        violate("UNASKED: " + name + " after the job's cancelling was acknowledged");
    for (const int before : step.after) {
        for (int i = 0; i < job.steps[static_cast<std::size_t>(before)].count; ++i) {
            if (!job.tasks[{ task.job, task.occurrence, before, i }].isDone)
                violate("ORDER: " + name + " before step " + std::to_string(before) + " is done");
        }
    }
    record.active.emplace(worker.id, run);
}

void Deployment::onEnd(
    const WorkerSpec& worker, const TaskId& task, std::uint32_t run, const std::string& how)
{
    note("end " + fleet::toString(task) + " run " + std::to_string(run) + " on " + worker.id + ": " + how);
    auto& record = jobs.at(task.job).tasks[task];
    record.active.erase({ worker.id, run });
    record.isDone = record.isDone || how == "done";
    record.failures += how == "failed";
    record.crashes += how == "crashed";
    record.lastEndAt = std::chrono::steady_clock::now();
}

void Deployment::onAcknowledged(
    const WorkerSpec&, const TaskId& task, std::uint32_t run, const std::string& how)
{
    note("end " + fleet::toString(task) + " run " + std::to_string(run) + " (" + how + ") is taken note of");
    auto& record = jobs.at(task.job).tasks[task];
    record.isDoneNoted = record.isDoneNoted || how == "done";
}

void Deployment::onRejected(
    const WorkerSpec& worker, const TaskId& task, std::uint32_t run, const std::string& reason)
{
    note("start " + fleet::toString(task) + " run " + std::to_string(run) + " on " + worker.id
        + " is rejected: " + reason);
}

bool Deployment::failsAtStart(const WorkerSpec& worker, const TaskId&)
{
    const auto share = failingMachines.find(worker.machine);
    return share != failingMachines.end() && std::uniform_real_distribution<>(0, 1)(m_random) < share->second;
}

std::vector<std::pair<Worker*, TaskId>> Deployment::gangMembers(const TaskId& task, std::uint32_t run)
{
    std::vector<std::pair<Worker*, TaskId>> out;
    if (m_isEnding)
        return out;
    auto member = task;
    for (int i = 0; i < findStep(task)->count; ++i) {
        member.index = i;
        for (const auto& [name, machine] : m_machines) {
            if (machine.worker && machine.worker->runs(member, run))
                out.emplace_back(machine.worker.get(), member);
        }
    }
    return out;
}

void Deployment::handleCloud(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& path = exchange->request().path;
    if (path == "/machine-move" || path == "/machine-upkeep")
        return handleCommand(exchange);
    if (path != "/machines")
        return reply(exchange, 404, json::object());
    json list = json::array();
    for (const auto& [name, machine] : m_machines) {
        list.push_back({ { "machine", name }, { "pool", machine.spec.pool }, { "state", machine.state },
            { "zone", "east" }, { "labels", { machine.spec.kind, machine.spec.rack } },
            { "capacity",
                { { "cpu", machine.spec.cpu }, { "mem_mb", machine.spec.memoryMb }, { "gpu", 0 } } },
            { "id", machine.worker ? machine.spec.id : "" } });
    }
    reply(exchange, 200, { { "machines", list }, { "next_token", "" } });
}

/// The policy allows all minions.
void Deployment::handleAdvice(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto body = json::parse(exchange->request().body, nullptr, false);
    const auto step = body.value("step", "");
    const auto workers = body.value("workers", std::vector<std::string> {});
    const auto now = std::chrono::steady_clock::now();
    m_adviceFreeAt
        = std::max(m_adviceFreeAt, now) + decideTime + decideTimePerWorker * static_cast<int>(workers.size());
    m_calls.add(
        std::chrono::duration_cast<milliseconds>(m_adviceFreeAt - now), [this, exchange, step, workers] {
            json allowed = json::array();
            for (const auto& [name, machine] : m_machines) {
                const auto& id = machine.spec.id;
                if (!machine.worker || std::find(workers.begin(), workers.end(), id) == workers.end())
                    continue;
                const auto ticket = step + "/" + id + "/" + std::to_string(machine.worker->bornMs());
                m_tickets[ticket] = std::chrono::steady_clock::now() + ticketValidity;
                allowed.push_back({ id, ticket });
            }
            note("advice on " + step + " for " + std::to_string(workers.size()) + " minions");
            reply(exchange, 200, { { "allowed", allowed }, { "valid_ms", ticketValidity.count() } });
        });
}

bool Deployment::hasValidTicket(const Worker& worker, const TaskId& task, const std::string& ticket)
{
    if (!jobs.at(task.job).queue.hasAdvice)
        return true;
    const auto expected = fleet::toString(fleet::StepId { task.job, task.occurrence, task.step }) + "/"
        + worker.spec().id + "/" + std::to_string(worker.bornMs());
    const auto found = m_tickets.find(ticket);
    return ticket == expected && found != m_tickets.end() && std::chrono::steady_clock::now() < found->second;
}

void Deployment::handleCommand(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    const auto body = json::parse(request.body, nullptr, false);
    const auto found = m_machines.find(body.is_object() ? body.value("machine", "") : "");
    if (found == m_machines.end())
        return reply(exchange, 400, json::object());
    auto& machine = found->second;
    const auto token
        = std::stoull(std::string(http::header(request.headers, "Damaskworks-Fencing-Token").value_or("0")));
    if (token < machine.fence)
        return reply(exchange, 409, { { "reason", "fence" } });
    machine.fence = token;
    const bool isMove = request.path == "/machine-move";
    const auto pool = body.value("pool", "");
    const auto wave = body.value("wave", std::int64_t { 0 });
    if (isMove ? machine.spec.pool == pool : machine.wavesDone.contains(wave))
        return reply(exchange, 200, json::object());
    if (machine.state != "up")
        return reply(exchange, 409, { { "reason", "busy" } });
    note("machine " + found->first + (isMove ? " moves to " + pool : " begins its upkeep"));
    takeDown(machine, isMove ? "moving" : "upkeep", isMove ? moveTime : upkeepTime, false);
    if (isMove)
        machine.spec.pool = pool;
    else
        machine.wavesDone.insert(wave);
    reply(exchange, 200, json::object());
}

} // namespace damask::review
