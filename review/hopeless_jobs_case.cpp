#include "cases.h"

#include <algorithm>

namespace damask::review {
namespace {

using fleet::standin::QueueSpec;
using fleet::standin::TaskBehaviour;

const QueueSpec archiveQueue { "inspect-archive", "intake" };
constexpr int nodeCount = 3;
constexpr int machineCount = 9;
constexpr std::int64_t machineCpu = 32000;
constexpr milliseconds startLimit { 15'000 };
constexpr int jobCount = 40;
constexpr int unitsPerJob = 2;
/// Two of forty jobs can never be done: the share of the site's `poison` is 0.055.
constexpr int hopelessJobs = 2;
/// Jobs whose units run for 12 to 36 s until they fail, as units that last may at any time.
constexpr int jobsThatFailAtTimes = 8;
constexpr TaskBehaviour steady { .isLongRunning = true, .cpu = 2600 };
constexpr TaskBehaviour failsAtTimes { .milliseconds = 24'000, .failureProbability = 1, .cpu = 2600 };
constexpr TaskBehaviour hopeless { .milliseconds = 100, .failureProbability = 1, .cpu = 2600 };
/// The rule LOST on a work unit that lasts: nothing runs for 3 s, from 6 s after its last run, while these 3
/// s and the 4 s before them are calm.
constexpr milliseconds longestAbsence { 9000 };
constexpr milliseconds calmAfterTrouble { 10'000 };
constexpr milliseconds observation { 100'000 };
constexpr milliseconds checkInterval { 100 };

std::string body(TaskBehaviour behaviour)
{
    auto out = nlohmann::json::parse(jobBody(behaviour, unitsPerJob, milliseconds(0)));
    out["steps"][0]["long_running"] = true;
    return out.dump();
}

} // namespace

Verdict playHopelessJobs(const std::string& recordPath)
{
    Deployment deployment(recordPath, nodeCount);
    for (int i = 0; i < machineCount; ++i)
        deployment.platform.addMachine("m" + std::to_string(i), "intake", machineCpu);
    deployment.platform.configure({ archiveQueue }, { "intake" });
    if (!deployment.startNodes(startLimit))
        return Verdict::CouldNotRun;

    for (int i = 0; i < jobCount - hopelessJobs; ++i) {
        deployment.submit(archiveQueue, jobId(1, i), body(i < jobsThatFailAtTimes ? failsAtTimes : steady));
        deployment.run(milliseconds(50));
    }
    const auto runningUnits = [&] {
        return std::count_if(deployment.tasks().begin(), deployment.tasks().end(),
            [](const auto& entry) { return entry.second.running > 0; });
    };
    if (!deployment.runUntil(
            [&] { return runningUnits() == (jobCount - hopelessJobs) * unitsPerJob; }, startLimit))
        return Verdict::CouldNotRun;

    const auto troubleAt = std::chrono::steady_clock::now();
    if (!isWithoutTrouble())
        deployment.record("trouble: two of the forty jobs that last can never be done");
    for (int i = 0; i < hopelessJobs; ++i)
        deployment.submit(archiveQueue, jobId(2, i), body(isWithoutTrouble() ? steady : hopeless));

    const auto hopelessPrefix = jobId(2, 0).substr(0, 4);
    std::map<fleet::TaskId, bool> isReported;
    int lost = 0;
    while (std::chrono::steady_clock::now() - troubleAt < observation) {
        deployment.run(checkInterval);
        const auto now = std::chrono::steady_clock::now();
        for (const auto& [task, runs] : deployment.tasks()) {
            const bool isLost = !task.job.starts_with(hopelessPrefix) && runs.running == 0
                && now - runs.lastEndAt > longestAbsence && now - troubleAt > calmAfterTrouble;
            if (!isLost)
                isReported[task] = false;
            if (!isLost || std::exchange(isReported[task], true))
                continue;
            ++lost;
            deployment.record("LOST: " + toString(task)
                + " has not run for 9 s, while all minions are up and have room for it");
        }
    }
    deployment.record("times that a unit was lost: " + std::to_string(lost));
    deployment.record(lost > 0 ? "verdict: broken" : "verdict: held");
    return lost > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace damask::review
