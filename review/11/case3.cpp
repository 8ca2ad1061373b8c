/// \file
/// Case 11: minions crash under a job, and the job is shown as failed although no run of it has failed.
#include "deployment.h"

#include <iostream>

using namespace damask;
using namespace damask::review;

namespace {

/// At most one minion of nine (a share of .11) is down at a time.
constexpr int machineCount = 9;
constexpr int crashCount = 4;
constexpr milliseconds downtime { 4500 };
/// Time from the start of a run to the crash of its minion.
constexpr milliseconds timeToCrash { 2500 };
constexpr milliseconds runTime { 6000 };
const std::string jobId = "5c0e7a21d94b36f8";

Verdict runCase(Deployment& deployment)
{
    const Queue queue { "image-flash", "imaging" };
    deployment.configure({ queue }, { "imaging" });
    for (int i = 1; i <= machineCount; ++i)
        deployment.addMachine("m" + std::to_string(i), "imaging");
    if (!deployment.startNodes())
        return Verdict::NotRun;
    Step step;
    step.cpu = 5000;
    step.estimate = step.length = runTime;
    if (!deployment.submit(jobId, queue, { step }))
        return Verdict::NotRun;
    const TaskId task { jobId, 0, 0, 0 };
    const auto& record = deployment.jobs.at(jobId).tasks[task];
    for (int i = 0; hasTrouble() && i < crashCount; ++i) {
        if (!deployment.runUntil([&] { return !deployment.machineOf(task).empty(); }, milliseconds(20'000)))
            break;
        deployment.run(timeToCrash);
        deployment.crash(deployment.machineOf(task), downtime, true);
        deployment.run(downtime);
    }
    std::string state;
    deployment.runUntil(
        [&] {
            deployment.run(milliseconds(300));
            state = deployment.state(jobId);
            return state == "completed" || state == "failed" || state == "cancelled";
        },
        milliseconds(45'000));
    deployment.note("runs that ended as failed: " + std::to_string(record.failures)
        + ", with their minion: " + std::to_string(record.crashes) + "; the job is " + state);
    if (state == "failed" && record.failures == 0)
        deployment.violate("LOST: the job is shown as failed without cause");
    if (state != "failed" && state != "completed")
        return Verdict::NotRun;
    return deployment.violations.empty() ? Verdict::Held : Verdict::Broken;
}

} // namespace

int main(int count, char** arguments)
{
    Deployment deployment({ .nodes = 4, .record = count > 1 ? arguments[1] : "record.txt" });
    return static_cast<int>(runCase(deployment));
}
