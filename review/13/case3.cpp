/// \file
/// Case 13: the members of a gang that lasts end as done, and are not started again.
#include "../11/deployment.h"

using namespace damask;
using namespace damask::review;

namespace {

constexpr int machineCount = 9;
constexpr int memberCount = 3;
/// After which the members' runs end as done, with the disruption.
constexpr milliseconds runTime { 4000 };
/// The rule: from 6 s after the last run of a work unit that lasts, for 3 s; the rest allows for a late
/// timer.
constexpr milliseconds restartBound { 6000 + 3000 + 500 };
constexpr milliseconds observationTime { 30'000 };
const std::string jobId = "5c0e7a21d94b36f8";

/// Whether a member has had no run for longer than the rule allows.
bool isLost(JobRecord& job, int member)
{
    const auto& record = job.tasks[{ jobId, 0, 0, member }];
    return record.starts > 0 && record.active.empty()
        && std::chrono::steady_clock::now() - record.lastEndAt > restartBound;
}

Verdict runCase(Deployment& deployment)
{
    const Queue queue { "image-verify", "imaging" };
    deployment.configure({ queue }, { "imaging" });
    for (int i = 1; i <= machineCount; ++i)
        deployment.addMachine("m" + std::to_string(i), "imaging");
    if (!deployment.startNodes())
        return Verdict::NotRun;
    Step step;
    step.count = memberCount;
    step.cpu = 3000;
    step.isGang = step.isLongRunning = true;
    step.length = hasTrouble() ? runTime : milliseconds(0);
    if (!deployment.submit(jobId, queue, { step }))
        return Verdict::NotRun;
    auto& job = deployment.jobs.at(jobId);
    const auto until = std::chrono::steady_clock::now() + observationTime;
    bool hasLostMember = false;
    while (!hasLostMember && std::chrono::steady_clock::now() < until) {
        deployment.run(milliseconds(300));
        deployment.state(jobId);
        for (int i = 0; i < memberCount; ++i)
            hasLostMember = hasLostMember || isLost(job, i);
    }
    if (job.tasks.empty())
        return Verdict::NotRun;
    if (hasLostMember)
        deployment.violate("LOST: a work unit that lasts has had no run for 9 s, beside idle minions; "
                           "its job is shown as "
            + job.state);
    return deployment.violations.empty() ? Verdict::Held : Verdict::Broken;
}

} // namespace

int main(int count, char** arguments)
{
    Deployment deployment({ .nodes = 4, .record = count > 1 ? arguments[1] : "record.txt" });
    return static_cast<int>(runCase(deployment));
}
