/// \file
/// Case 11: a service whose last route was removed loses its holder. What it held of a tenant's cap is never
/// given back, and no other service may run the tenant's jobs.
#include "deployment.h"

#include <algorithm>
#include <csignal>

using namespace damask;
using namespace damask::review;

namespace {

constexpr int machinesPerService = 6;
constexpr std::int64_t cap = 16'000;
constexpr milliseconds firstLength { 4000 };
/// From the end of the first job until its service's holder gets SIGTERM.
constexpr milliseconds timeToStop { 1000 };
constexpr milliseconds finishTime { 14'000 }; ///< finish_s after the end of the traffic
/// The rule: 3 s; the rest allows for a late timer.
constexpr milliseconds idleBound { 3000 + 300 };
constexpr milliseconds observationTime { 60'000 };
constexpr int stateRequests = 10;
constexpr milliseconds retryPause { 300 };
const std::string firstJob = "5c0e7a21d94b36f8";
const std::string secondJob = "5c0e7a21d94b36f9";

Verdict runCase(Deployment& deployment)
{
    const Queue removed { .name = "path-check", .service = "pathing" };
    const Queue other { .name = "wagon-hold", .service = "bookings" };
    const std::set<std::string> services { "pathing", "bookings" };
    deployment.configure({ removed, other }, services);
    for (int i = 1; i <= machinesPerService; ++i) {
        for (const auto& service : services)
            deployment.addMachine(service + std::to_string(i), service);
    }
    if (!deployment.startNodes())
        return Verdict::NotRun;
    Step step;
    step.count = 4;
    step.cpu = cap / step.count;
    step.estimate = step.length = firstLength;
    if (!deployment.submit(firstJob, removed, { step }))
        return Verdict::NotRun;
    if (!deployment.runUntil([&] { return deployment.jobs.at(firstJob).tasks.size() == 4; }, finishTime * 3))
        return Verdict::NotRun;
    deployment.note("the next config has no route of " + removed.name);
    deployment.configure({ other }, services);
    const auto isDone = [&](const std::string& id) {
        const auto& tasks = deployment.jobs.at(id).tasks;
        return !tasks.empty() && std::all_of(tasks.begin(), tasks.end(), [](const auto& task) {
            return task.second.isDoneNoted;
        });
    };
    if (!deployment.runUntil([&] { return isDone(firstJob); }, finishTime))
        return Verdict::NotRun;
    deployment.run(timeToStop);
    const auto holder = deployment.holderOf(removed.service);
    if (!holder)
        return Verdict::NotRun;
    if (hasTrouble()) {
        deployment.note("SIGTERM to node " + std::to_string(*holder + 1));
        deployment.process(*holder)->signal(SIGTERM);
        deployment.process(*holder)->wait();
        deployment.startNode(*holder);
        deployment.run(finishTime / 2);
    }
    step.count = 1;
    step.cpu = 2000;
    if (!deployment.submit(secondJob, other, { step }))
        return Verdict::NotRun;
    const auto trafficEnd = std::chrono::steady_clock::now();
    auto idleSince = trafficEnd + finishTime;
    bool isLost = false;
    while (!isDone(secondJob) && !isLost && std::chrono::steady_clock::now() - trafficEnd < observationTime) {
        deployment.run(milliseconds(100));
        const auto now = std::chrono::steady_clock::now();
        const auto& tasks = deployment.jobs.at(secondJob).tasks;
        if (!tasks.empty() && !tasks.begin()->second.active.empty())
            idleSince = std::max(idleSince, now);
        isLost = now - idleSince > idleBound;
    }
    for (int i = 0; i < stateRequests && deployment.state(secondJob).starts_with("503"); ++i)
        deployment.run(retryPause);
    const int idle = deployment.countIdle(other.service);
    if (isLost && idle == 0)
        return Verdict::NotRun;
    if (isLost)
        deployment.violate("LOST: " + secondJob + " has had nothing running for 3 s, beside "
            + std::to_string(idle)
            + " idle minions of its service and with nothing of its tenant running; it is "
            + deployment.jobs.at(secondJob).state);
    return deployment.violations.empty() ? Verdict::Held : Verdict::Broken;
}

} // namespace

int main(int count, char** arguments)
{
    Deployment deployment({ .nodes = 4,
        .maxLease = milliseconds(10'000),
        .configApply = milliseconds(3000),
        .moreContracts = R"(,"health","tenants","quota","pressure")",
        .record = count > 1 ? arguments[1] : "record.txt",
        .tenant = "member-1",
        .cap = cap });
    return static_cast<int>(runCase(deployment));
}
