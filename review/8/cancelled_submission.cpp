/// \file
/// Clients hand in jobs while the table carries out some writes late. One client in four leaves if it has no
/// answer in time, and cancels its job at another process; the others wait and send their job again.
#include "../6/site.h"

namespace damask::review {
namespace {

constexpr int machines = 9;
constexpr int processes = 3;
constexpr int submissions = 80;
constexpr int clientsPerLeavingClient = 4;
constexpr milliseconds submissionInterval { 50 };
constexpr double lateShare = 0.35;
constexpr milliseconds lateTime { 4000 };
/// Half of the objective of 600 ms, after which clients leave.
constexpr milliseconds patience { 300 };
constexpr milliseconds longPatience { 3500 };
constexpr milliseconds cancelTime { 3000 };
constexpr milliseconds contactTime { 3000 };
constexpr milliseconds watchTime { 25'000 };
const std::string pool = "pricing";

using TimePoint = std::chrono::steady_clock::time_point;

/// Jobs by id, with the time at which their cancelling was acknowledged.
using Cancellations = std::map<std::string, TimePoint>;

std::string jobId(int number)
{
    auto id = std::to_string(number);
    return id.insert(0, 16 - id.size(), 'a');
}

void cancel(Site& site, Cancellations& cancellations, const std::string& id)
{
    site.send(1, "DELETE", pool, id, "", [&site, &cancellations, id](const HttpResult& result) {
        const bool isAcknowledged = result && (result->status / 100 == 2 || result->status == 410);
        if (isAcknowledged)
            cancellations.emplace(id, std::chrono::steady_clock::now());
        else
            cancel(site, cancellations, id);
    });
}

/// Hands in a job, and again if there is no answer, as the protocol says.
void submit(Site& site, std::size_t node, const std::string& id, const std::string& body)
{
    const auto onAnswer = [&site, node, id, body](const HttpResult& result) {
        if (!result || result->status == 502 || result->status == 504)
            submit(site, (node + 1) % processes, id, body);
    };
    site.send(node, "POST", pool, id, body, onAnswer, longPatience);
}

/// Hands in a job; leaves without an answer and cancels it.
void submitImpatiently(
    Site& site, Cancellations& cancellations, const std::string& id, const std::string& body)
{
    const auto onAnswer = [&site, &cancellations, id](const HttpResult& result) {
        if (!result)
            cancel(site, cancellations, id);
    };
    site.send(0, "POST", pool, id, body, onAnswer, patience);
}

int runCase(const CaseArguments& arguments)
{
    Loop loop;
    Record record(arguments.record);
    Site site(loop, record, arguments.folder);
    for (int i = 0; i < machines; ++i)
        site.addMachine("m" + std::to_string(i), pool);
    site.configure({ pool });
    if (!site.startNodes(arguments.binary, processes))
        return exitCouldNotRun;
    Cancellations cancellations;
    TimePoint calmSince = std::chrono::steady_clock::now();
    int starts = 0;
    int lateStarts = 0;
    site.listeners.started = [&](const std::string&, const fleet::TaskId& task, std::uint32_t) {
        ++starts;
        const auto now = std::chrono::steady_clock::now();
        const auto cancelled = cancellations.find(task.job);
        if (cancelled == cancellations.end() || now - cancelled->second <= cancelTime
            || now - calmSince <= contactTime)
            return;
        ++lateStarts;
        record.add("RULE UNASKED BROKEN: " + toString(task) + " starts "
            + std::to_string(std::chrono::duration_cast<milliseconds>(now - cancelled->second).count())
            + " ms after the cancelling of its job was acknowledged");
    };
    // Two steps, the second of which starts long after the disruption.
    const fleet::standin::TaskBehaviour behaviour { 6000, 0, false, 2300, 0 };
    const auto body = submission(behaviour,
        { { { "cpu", 2300 }, { "mem_mb", 100 }, { "estimate_ms", 6000 } },
            { { "cpu", 2300 }, { "mem_mb", 100 }, { "estimate_ms", 6000 }, { "after", { 0 } } } });
    if (hasTrouble())
        site.table().faults.late = lateShare;
    int sent = 0;
    Timer clients(loop.base(), [&] {
        if (sent == submissions)
            return;
        const bool isLeaving = sent % clientsPerLeavingClient == 0;
        const auto id = jobId(sent++);
        if (isLeaving)
            submitImpatiently(site, cancellations, id, body);
        else
            submit(site, 0, id, body);
    });
    clients.startPeriodic(submissionInterval);
    waitUntil(loop, lateTime, [] { return false; });
    site.table().faults.late = 0;
    calmSince = std::chrono::steady_clock::now();
    record.add("the table carries out all writes at once again");
    waitUntil(loop, watchTime, [] { return false; });
    site.listeners = {};
    record.add(std::to_string(sent) + " jobs were handed in, " + std::to_string(cancellations.size())
        + " of them cancelled with an acknowledgement; " + std::to_string(starts) + " starts, "
        + std::to_string(lateStarts) + " of them of cancelled jobs");
    if (starts == 0)
        return exitCouldNotRun;
    return lateStarts > 0 ? exitBroken : exitHeld;
}

} // namespace
} // namespace damask::review

int main(int argc, char** argv)
{
    return damask::review::runCase(damask::review::parseArguments(argc, argv));
}
