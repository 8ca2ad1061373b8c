#include "cases.h"

#include <algorithm>

namespace damask::review {
namespace {

using fleet::standin::QueueSpec;

const QueueSpec quoteQueue { "quote", "pricing" };
const QueueSpec ledgerQueue { "ledger", "pricing" };
constexpr int nodeCount = 3;
constexpr int machineCount = 9;
constexpr std::int64_t machineCpu = 16000;
constexpr milliseconds startLimit { 15'000 };
constexpr int burstPerNode = 70;
/// The rule LOST on a work unit that lasts: nothing runs for 3 s, from 6 s after its last run, while these 3
/// s and the 4 s before them are calm. A silence counts as a reset of all connections.
constexpr milliseconds longestAbsence { 9000 };
constexpr milliseconds calmAfterTrouble { 7000 };
constexpr milliseconds contactTime { 3000 };
constexpr milliseconds observation { 50'000 };
constexpr milliseconds checkInterval { 100 };

} // namespace

Verdict playSilentConnections(const std::string& recordPath)
{
    Deployment deployment(recordPath, nodeCount);
    for (int i = 0; i < machineCount; ++i)
        deployment.platform.addMachine("m" + std::to_string(i), "pricing", machineCpu);
    deployment.platform.configure({ quoteQueue, ledgerQueue }, { "pricing" });
    if (!deployment.startNodes(startLimit))
        return Verdict::CouldNotRun;

    const auto lasting = jobId(1, 0);
    deployment.submit(
        ledgerQueue, lasting, jobBody({ .isLongRunning = true, .cpu = 1300 }, 2, milliseconds(0)));
    const auto runningUnits = [&] {
        return std::count_if(deployment.tasks().begin(), deployment.tasks().end(),
            [&](const auto& entry) { return entry.first.job == lasting && entry.second.running > 0; });
    };
    if (!deployment.runUntil([&] { return runningUnits() == 2; }, startLimit))
        return Verdict::CouldNotRun;

    // Usual traffic: many clients at the same moment.
    deployment.record("clients hand in " + std::to_string(burstPerNode) + " jobs at each process at once");
    const auto quote = jobBody({ .milliseconds = 200, .cpu = 880 }, 1, milliseconds(200));
    int number = 0;
    for (const auto& node : deployment.nodes) {
        for (int i = 0; i < burstPerNode; ++i)
            deployment.submitAt(node, quoteQueue, jobId(2, number++), quote);
    }
    deployment.run(milliseconds(8000));
    const auto accepted = std::count_if(deployment.jobs().begin(), deployment.jobs().end(),
        [](const auto& entry) { return entry.second.isAccepted; });
    deployment.record("accepted so far: " + std::to_string(accepted));

    if (!isWithoutTrouble()) {
        for (const auto& node : deployment.nodes)
            deployment.record("trouble: " + std::to_string(node.relay->silenceOpenConnections())
                + " open connections of " + node.addresses.node + " to the store go silent; new ones work");
    }
    const auto troubleAt = std::chrono::steady_clock::now();

    // A client hands in a job each half second.
    auto verdict = Verdict::Held;
    auto nextJobAt = troubleAt;
    while (std::chrono::steady_clock::now() - troubleAt < observation) {
        deployment.run(checkInterval);
        const auto now = std::chrono::steady_clock::now();
        if (now >= nextJobAt && now - troubleAt < observation - milliseconds(16'000)) {
            deployment.submit(quoteQueue, jobId(3, number++), quote);
            nextJobAt = now + milliseconds(500);
        }
        for (const auto& [task, runs] : deployment.tasks()) {
            const bool isMissing = task.job == lasting && runs.running == 0
                && now - runs.lastEndAt > longestAbsence && now - troubleAt > contactTime + calmAfterTrouble;
            if (!isMissing || verdict == Verdict::Broken)
                continue;
            deployment.record("LOST: " + toString(task)
                + " has not run for 9 s, new connections have worked for "
                  "10 s, and all minions are up");
            verdict = Verdict::Broken;
        }
    }
    deployment.record("units of the lasting job that run at the end: " + std::to_string(runningUnits()));
    deployment.record(verdict == Verdict::Broken ? "verdict: broken" : "verdict: held");
    return verdict;
}

} // namespace damask::review
