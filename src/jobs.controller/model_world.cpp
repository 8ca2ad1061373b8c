#include "model_world.h"

#include <nlohmann/json.hpp>

namespace damask::jobs::model {
namespace {

using nlohmann::json;

constexpr double quotaCpu = 14;

json jobSpec(double cpu, const std::string& priority, bool cancelled)
{
    return { { "pool", "imaging" }, { "team", "bench" }, { "cpu", cpu }, { "memoryMb", 100 },
        { "accelerators", 0 }, { "priority", priority }, { "maxAttempts", 3 }, { "cancelled", cancelled } };
}

} // namespace

World::World()
{
    for (const std::string name : { "vm-0", "vm-1", "vm-2", "vm-3" }) {
        m_workers[name] = {};
        m_vmReports[name] = { name, true, true, false, 0, 0, 1 };
        m_listedVms[name] = { name };
        Resource vm { Kind::Vm, name };
        vm.spec = { { "pool", "imaging" }, { "rack", "rack-" + name }, { "cpu", 4 }, { "memoryMb", 4000 },
            { "accelerators", 0 } };
        write(resource::specKey(Kind::Vm, name), resource::encodeSpecRow(vm));
    }
    Resource team { Kind::Team, "bench" };
    team.spec = { { "cpu", quotaCpu }, { "memoryMb", 1e6 }, { "accelerators", 0 } };
    write(resource::specKey(Kind::Team, "bench"), resource::encodeSpecRow(team));
}

void World::declare(const std::string& name, double cpu, const std::string& priority, bool alwaysFails)
{
    Resource job { Kind::Job, name };
    job.spec = jobSpec(cpu, priority, false);
    m_declaredCpu[name] = cpu;
    if (alwaysFails)
        m_alwaysFailingJobs.insert(name);
    write(resource::specKey(Kind::Job, name), resource::encodeSpecRow(job));
}

void World::cancel(const std::string& name)
{
    const auto* found = m_catalogue.find(Kind::Job, name);
    if (!found)
        return;
    auto job = *found;
    ++job.generation;
    job.spec["cancelled"] = true;
    write(resource::specKey(Kind::Job, name), resource::encodeSpecRow(job));
}

void World::write(const std::string& key, const std::string& value)
{
    m_rowVersions[key] = ++m_tableVersion;
    m_catalogue.apply({ key, m_tableVersion, value });
}

bool World::commit(const Transaction& transaction)
{
    for (const auto& condition : transaction.conditions) {
        if (m_rowVersions[condition.key] != condition.version)
            return false;
    }
    for (const auto& write : transaction.writes)
        this->write(write.key, *write.value);
    return true;
}

void World::plan(unsigned delayMask, bool failCommits)
{
    const std::map<std::string, controller::PoolDemand> demand;
    const controller::View view { m_catalogue, m_vmReports, m_listedVms, m_taskReports, demand, m_now,
        m_epoch };
    for (const auto& action : jobs::plan(view, m_plannerState)) {
        if (const auto* planned = std::get_if<controller::Commit>(&action)) {
            if (!failCommits)
                commit(planned->transaction);
            continue;
        }
        const auto& request = std::get<controller::CommandTask>(action).request;
        if (delayMask & 1)
            m_delayedCommands.push_back(request);
        else
            executeCommand(request);
        delayMask >>= 1;
    }
}

void World::replaceHolder()
{
    m_plannerState = {};
    ++m_epoch;
}

void World::deliverDelayedCommand(std::size_t index)
{
    if (m_delayedCommands.empty())
        return;
    const auto at = m_delayedCommands.begin() + std::ptrdiff_t(index % m_delayedCommands.size());
    const auto request = *at;
    m_delayedCommands.erase(at);
    executeCommand(request);
}

void World::executeCommand(const TaskRequest& request)
{
    auto& worker = m_workers.at(request.vm);
    auto& epoch = worker.epochs[request.job];
    if (request.leaseEpoch < epoch)
        return;
    epoch = request.leaseEpoch;
    auto task = worker.tasks.find(request.task);
    if (task == worker.tasks.end()) {
        if (request.command == TaskCommand::Start)
            startTask(request.vm, worker, request);
        if (request.command == TaskCommand::Stop)
            worker.tasks[request.task] = { request.job, TaskState::Stopped };
        return;
    }
    if (task->second.state != TaskState::Running)
        return;
    if (request.command == TaskCommand::Stop)
        task->second.state = TaskState::Stopped;
    if (request.command == TaskCommand::Checkpoint)
        task->second.checkpointed = true;
}

void World::startTask(const std::string& vm, Worker& worker, const TaskRequest& request)
{
    for (const auto& [name, other] : m_workers) {
        for (const auto& [task, content] : other.tasks) {
            if (content.job == request.job && content.state == TaskState::Running)
                m_violations.push_back(
                    request.task + " started on " + vm + " while " + task + " was running");
        }
    }
    if (m_succeededJobs.contains(request.job))
        m_violations.push_back(request.task + " started after the job succeeded");
    worker.tasks[request.task] = { request.job };
    checkLimits();
}

void World::checkLimits()
{
    double all = 0;
    for (const auto& [name, worker] : m_workers) {
        double used = 0;
        for (const auto& [task, content] : worker.tasks)
            used += content.state == TaskState::Running ? m_declaredCpu.at(content.job) : 0;
        if (used > worker.cpu)
            m_violations.push_back(name + " exceeds its CPU capacity");
        all += used;
    }
    if (all > quotaCpu)
        m_violations.push_back("the team exceeds its CPU quota");
}

void World::refreshTaskReports()
{
    m_taskReports.clear();
    for (const auto& [vm, worker] : m_workers) {
        for (const auto& [name, task] : worker.tasks)
            m_taskReports[name] = { name, task.job, vm, task.state, 0, 0, task.checkpointed };
    }
}

Worker& World::worker(std::size_t index)
{
    return m_workers.at("vm-" + std::to_string(index % m_workers.size()));
}

void World::endTask(std::size_t index)
{
    auto& worker = this->worker(index);
    for (auto& [name, task] : worker.tasks) {
        if (task.state != TaskState::Running)
            continue;
        const bool fails = worker.failsAllTasks || m_alwaysFailingJobs.contains(task.job);
        task.state = fails ? TaskState::Failed : TaskState::Succeeded;
        if (!fails)
            m_succeededJobs.insert(task.job);
        return;
    }
}

void World::reboot(std::size_t index)
{
    auto& tasks = worker(index).tasks;
    // The platform keeps the results of ended tasks over a reboot.
    std::erase_if(tasks, [](const auto& entry) { return entry.second.state == TaskState::Running; });
}

void World::runWithoutFaults(int rounds)
{
    for (int round = 0; round < rounds; ++round) {
        while (!m_delayedCommands.empty())
            deliverDelayedCommand(0);
        for (std::size_t i = 0; i < m_workers.size(); ++i)
            endTask(i);
        refreshTaskReports();
        plan(0, false);
        advance(std::chrono::seconds(1));
    }
}

std::string World::phase(const std::string& job) const
{
    return m_catalogue.find(Kind::Job, job)->status.value("phase", "");
}

std::string World::condition(const std::string& job) const
{
    const auto conditions
        = m_catalogue.find(Kind::Job, job)->status.value("conditions", std::vector<std::string> {});
    return conditions.empty() ? "" : conditions.front();
}

} // namespace damask::jobs::model
