#include "cases.h"

#include <algorithm>

namespace damask::review {
namespace {

using fleet::standin::QueueSpec;
using nlohmann::json;

const QueueSpec quoteQueue { "quote", "pricing" };
constexpr int nodeCount = 3;
constexpr int machineCount = 9;
constexpr std::int64_t machineCpu = 16000;
constexpr milliseconds startLimit { 15'000 };
constexpr int occurrencesWithoutTrouble = 100;
constexpr int occurrences = 6000;
constexpr milliseconds period { 20 };
constexpr milliseconds traffic { 65'000 };
/// The rule LOST: jobs are asked for finish_s after the end of the traffic; for 3 s a job has nothing
/// running.
constexpr milliseconds finishTime { 14'000 };
constexpr milliseconds idleTime { 3000 };

} // namespace

Verdict playRecurringJob(const std::string& recordPath)
{
    Deployment deployment(recordPath, nodeCount);
    for (int i = 0; i < machineCount; ++i)
        deployment.platform.addMachine("m" + std::to_string(i), "pricing", machineCpu);
    deployment.platform.configure({ quoteQueue }, { "pricing" });
    if (!deployment.startNodes(startLimit))
        return Verdict::CouldNotRun;

    const int times = isWithoutTrouble() ? occurrencesWithoutTrouble : occurrences;
    const auto firstAt = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch() + std::chrono::seconds(1));
    const json schedule { { "times", times }, { "first_ms", firstAt.count() },
        { "period_ms", period.count() } };
    deployment.record("a client hands in a job that runs " + std::to_string(times) + " times");
    deployment.submit(
        quoteQueue, jobId(1, 0), jobBody({ .milliseconds = 40, .cpu = 100 }, 1, milliseconds(40), schedule));

    const auto quote = jobBody({ .milliseconds = 400, .cpu = 880 }, 2, milliseconds(400));
    const auto until = std::chrono::steady_clock::now() + traffic;
    for (int number = 0; std::chrono::steady_clock::now() < until; ++number) {
        deployment.submit(quoteQueue, jobId(2, number), quote);
        deployment.run(milliseconds(500));
        if (deployment.table.rejectedWrites() > 0)
            deployment.record("the store has rejected " + std::to_string(deployment.table.rejectedWrites())
                + " writes, the last one for " + deployment.table.lastRejection());
    }
    deployment.record("end of the traffic");
    deployment.run(finishTime);
    const int lost = deployment.countLostJobs(idleTime);
    deployment.record(lost > 0 ? "verdict: broken" : "verdict: held");
    return lost > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace damask::review
