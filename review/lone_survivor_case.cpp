#include "cases.h"

#include <algorithm>

namespace damask::review {
namespace {

using fleet::standin::QueueSpec;
using nlohmann::json;

const QueueSpec quoteQueue { "quote", "pricing" };
const QueueSpec renderQueue { "render", "designer" };
constexpr int nodeCount = 3;
constexpr int machinesPerPool = 9;
constexpr std::int64_t machineCpu = 16000;
constexpr milliseconds startLimit { 15'000 };
/// Length of the lost answers, share of the writes that they may have, and delay of the late writes, as in
/// the site's `platform_lost` with `how = "late"`.
constexpr milliseconds lossTime { 4500 };
constexpr double maxLossShare = 0.35;
constexpr milliseconds lateDelay { 1200 };
constexpr int maxLostWrites = 2;
constexpr milliseconds trafficAfterTrouble { 12'000 };
/// The rule LOST: jobs are asked for finish_s after the end of the traffic; for 3 s a job has nothing
/// running.
constexpr milliseconds finishTime { 14'000 };
constexpr milliseconds idleTime { 3000 };

/// Whether the transaction writes the lease of the pool pricing.
bool writesLease(const json& transaction)
{
    const auto rows = transaction.value("set_keys", json::array());
    return std::any_of(rows.begin(), rows.end(), [](const json& row) {
        return row.value("key", "") == "lease" && row.value("part", "") == "pool/pricing";
    });
}

} // namespace

Verdict playLoneSurvivor(const std::string& recordPath)
{
    Deployment deployment(recordPath, nodeCount);
    for (int i = 0; i < machinesPerPool; ++i) {
        deployment.platform.addMachine("p" + std::to_string(i), "pricing", machineCpu);
        deployment.platform.addMachine("d" + std::to_string(i), "designer", machineCpu);
    }
    deployment.platform.configure({ quoteQueue, renderQueue }, { "pricing", "designer" });
    if (!deployment.startNodes(startLimit))
        return Verdict::CouldNotRun;
    if (!deployment.runUntil([&] { return !deployment.holderOf("pricing").empty(); }, startLimit))
        return Verdict::CouldNotRun;

    const auto body = jobBody({ .milliseconds = 400, .cpu = 880 }, 2, milliseconds(400));
    int number = 0;
    const auto sendTraffic = [&](milliseconds time) {
        const auto until = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < until) {
            deployment.submit(number % 2 ? quoteQueue : renderQueue, jobId(1, number), body);
            ++number;
            deployment.run(milliseconds(100));
        }
    };
    sendTraffic(milliseconds(3000));

    const auto holder = deployment.holderOf("pricing");
    const auto survivor = std::find_if(deployment.nodes.begin(), deployment.nodes.end(),
        [&](const Node& node) { return node.addresses.node != holder; });
    deployment.record("pricing is held by " + holder + "; " + survivor->addresses.node + " will stay");
    const int writesBefore = deployment.table.writes();
    if (!isWithoutTrouble()) {
        const auto lossUntil = std::chrono::steady_clock::now() + lossTime;
        deployment.table.setLateWrites([&, lossUntil](
                                           const json& transaction) -> std::optional<milliseconds> {
            if (!writesLease(transaction) || deployment.holderOf("pricing") != holder
                || std::chrono::steady_clock::now() > lossUntil
                || deployment.table.lostAnswers() >= maxLostWrites)
                return std::nullopt;
            deployment.record("trouble: the store does not answer a write of pricing's lease and performs "
                              "it 1.2 s later");
            return lateDelay;
        });
        for (auto& node : deployment.nodes) {
            if (&node == &*survivor)
                continue;
            deployment.record("trouble: " + node.addresses.node + " is removed for good");
            deployment.endNode(node);
        }
    }
    sendTraffic(lossTime);
    const int writes = deployment.table.writes() - writesBefore;
    const double share = writes == 0 ? 0 : static_cast<double>(deployment.table.lostAnswers()) / writes;
    deployment.record("writes without an answer: " + std::to_string(deployment.table.lostAnswers()) + " of "
        + std::to_string(writes) + " in 4.5 s");
    if (share > maxLossShare)
        return Verdict::CouldNotRun;
    sendTraffic(trafficAfterTrouble - lossTime);
    deployment.record("end of the traffic");
    deployment.run(finishTime);
    const int lost = deployment.countLostJobs(idleTime);
    deployment.record("pricing's lease row names " + deployment.holderOf("pricing"));
    deployment.record(lost > 0 ? "verdict: broken" : "verdict: held");
    return lost > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace damask::review
