#include "cases.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace damask::review {
namespace {

using fleet::standin::QueueSpec;

const QueueSpec quoteQueue { "price-quote", "listing" };
constexpr int nodeCount = 2;
constexpr int machineCount = 9;
constexpr std::int64_t machineCpu = 32000;
constexpr milliseconds startLimit { 15'000 };
/// Jobs that the site hands in within five hours, at the 17.4 a second of its sheet, and within four minutes.
constexpr int jobsOfFiveHours = 313'000;
constexpr int jobsOfFourMinutes = 4'000;
/// `memory_mb` of the site's processes.
constexpr long maxMegabytes = 260;
constexpr milliseconds restartDelay { 1000 };
constexpr milliseconds checkInterval { 50 };
constexpr milliseconds observation { 100'000 };
/// The rule Fault: processes end by themselves three times on two machines.
constexpr int maxEnds = 3;

long residentMegabytes(int pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:"))
            return std::strtol(line.c_str() + line.find_first_of("0123456789"), nullptr, 10) / 1024;
    }
    return 0;
}

/// The sheet's mean is 1.64 steps a job: 16 of 25 jobs have two steps, the others one.
constexpr int jobsPerCycle = 25;
constexpr int longJobsPerCycle = 16;

/// One or two steps of six work units.
std::string typicalJob(bool isLong)
{
    auto body = nlohmann::json::parse(jobBody({ .milliseconds = 100, .cpu = 2300 }, 6, milliseconds(800)));
    auto second = body["steps"][0];
    second["after"] = { 0 };
    if (isLong)
        body["steps"].push_back(second);
    return body.dump();
}

/// Adds copies of the rows that the processes have written for the jobs \p shortJob and \p longJob.
bool copyRows(Deployment& deployment, const std::string& shortJob, const std::string& longJob, int count)
{
    const auto& table = deployment.platform.table();
    // All ids here begin with the digit 0, whose jobs are in one part of the queue.
    const auto queuePart = "queue/" + quoteQueue.name + "/0";
    const auto poolPart = "pool/" + quoteQueue.pool;
    const auto shortRow = table.find("jobs", queuePart, "j/" + shortJob);
    const auto longRow = table.find("jobs", queuePart, "j/" + longJob);
    const auto state = table.find("jobs", poolPart, "s/" + longJob);
    if (!shortRow || !longRow || !state)
        return false;
    std::vector<std::pair<std::string, std::string>> jobRows;
    std::vector<std::pair<std::string, std::string>> stateRows;
    for (int i = 0; i < count; ++i) {
        char id[17];
        std::snprintf(id, sizeof(id), "0000%012x", i);
        const bool isLong = i % jobsPerCycle < longJobsPerCycle;
        const auto& from = isLong ? longJob : shortJob;
        auto copy = isLong ? *longRow : *shortRow;
        copy.replace(copy.find(from), from.size(), id);
        jobRows.emplace_back("j/" + std::string(id), std::move(copy));
        stateRows.emplace_back("s/" + std::string(id), *state);
    }
    deployment.table.addEarlierRows("jobs", queuePart, jobRows);
    deployment.table.addEarlierRows("jobs", poolPart, stateRows);
    return true;
}

} // namespace

Verdict playKeptJobs(const std::string& recordPath)
{
    Deployment deployment(recordPath, nodeCount);
    deployment.platform.table().faults.delay = milliseconds(4);
    for (int i = 0; i < machineCount; ++i)
        deployment.platform.addMachine("m" + std::to_string(i), quoteQueue.pool, machineCpu);
    deployment.platform.configure({ quoteQueue }, { quoteQueue.pool });
    if (!deployment.startNodes(startLimit))
        return Verdict::CouldNotRun;
    const auto shortJob = jobId(1, 0);
    const auto longJob = jobId(1, 1);
    deployment.submit(quoteQueue, shortJob, typicalJob(false));
    deployment.submit(quoteQueue, longJob, typicalJob(true));
    const auto isCompleted = [&] {
        deployment.requestState(shortJob);
        deployment.requestState(longJob);
        return deployment.jobs().at(shortJob).state == "completed"
            && deployment.jobs().at(longJob).state == "completed";
    };
    if (!deployment.runUntil(isCompleted, startLimit))
        return Verdict::CouldNotRun;

    for (auto& node : deployment.nodes)
        deployment.endNode(node);
    const int jobs = isWithoutTrouble() ? jobsOfFourMinutes : jobsOfFiveHours;
    if (!copyRows(deployment, shortJob, longJob, jobs))
        return Verdict::CouldNotRun;
    deployment.record("the store holds the rows of " + std::to_string(jobs)
        + " jobs that have ended, as the processes wrote them; the processes start again");
    for (auto& node : deployment.nodes)
        deployment.startNode(node);

    const auto startedAt = std::chrono::steady_clock::now();
    std::map<std::string, int> ends;
    std::map<std::string, SteadyTime> restartAt;
    std::map<std::string, long> most;
    auto nextJobAt = startedAt + milliseconds(2000);
    int number = 0;
    const auto hasFault = [&] {
        return std::count_if(ends.begin(), ends.end(), [](const auto& entry) {
            return entry.second >= maxEnds;
        }) >= nodeCount;
    };
    while (std::chrono::steady_clock::now() - startedAt < observation && !hasFault()) {
        deployment.run(checkInterval);
        const auto now = std::chrono::steady_clock::now();
        for (auto& node : deployment.nodes) {
            const auto& name = node.addresses.node;
            if (!node.process) {
                if (now >= restartAt[name])
                    deployment.startNode(node);
                continue;
            }
            const auto megabytes = residentMegabytes(node.process->pid());
            most[name] = std::max(most[name], megabytes);
            if (megabytes <= maxMegabytes)
                continue;
            deployment.record("platform: " + name + " uses " + std::to_string(megabytes)
                + " MB and is killed; it starts again after 1 s");
            ++ends[name];
            deployment.endNode(node);
            restartAt[name] = now + restartDelay;
        }
        if (now >= nextJobAt && number < 60) {
            deployment.submit(quoteQueue, jobId(3, number), typicalJob(number % 2 == 0));
            ++number;
            nextJobAt = now + milliseconds(1000);
        }
    }
    for (const auto& [name, megabytes] : most)
        deployment.record(name + " used " + std::to_string(megabytes) + " MB at most and was killed "
            + std::to_string(ends[name]) + " times");
    const auto accepted
        = std::count_if(deployment.jobs().begin(), deployment.jobs().end(), [&](const auto& entry) {
              return entry.first != shortJob && entry.first != longJob && entry.second.isAccepted;
          });
    deployment.record(
        "new jobs handed in: " + std::to_string(number) + ", accepted: " + std::to_string(accepted));
    if (hasFault())
        deployment.record("Fault: the processes of all machines have ended by themselves three times");
    deployment.record(hasFault() ? "verdict: broken" : "verdict: held");
    return hasFault() ? Verdict::Broken : Verdict::Held;
}

} // namespace damask::review
