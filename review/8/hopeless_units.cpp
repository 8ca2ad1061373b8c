/// \file
/// Jobs whose work units last, two of which can never be done. Some sound work units fail once.
#include "../6/site.h"

namespace damask::review {
namespace {

constexpr int machines = 9;
constexpr int processes = 3;
constexpr int soundJobs = 38;
constexpr int hopelessJobs = 2;
constexpr int tasksOfHopelessJob = 8;
constexpr int jobsPerFailingJob = 3;
constexpr int meanTimeOfFailingUnitMs = 14'000;
constexpr int timeOfHopelessUnitMs = 100;
constexpr milliseconds watchTime { 100'000 };
/// Of the rule: a work unit that lasts may be without a run for the first time, from its last run on, and the
/// calm before the span that counts.
constexpr milliseconds allowedGap { 6000 };
constexpr milliseconds calmBefore { 4000 };
constexpr milliseconds countedSpan { 3000 };
constexpr milliseconds checkInterval { 100 };
const std::string pool = "pricing";
const std::string hopelessPrefix = "dead";

using TimePoint = std::chrono::steady_clock::time_point;

/// A sound work unit, and when its last run ended; empty while it runs.
using WorkUnits = std::map<fleet::TaskId, std::optional<TimePoint>>;

bool isHopeless(const fleet::TaskId& task) { return task.job.starts_with(hopelessPrefix); }

std::string jobId(const std::string& prefix, int number)
{
    const auto digits = std::to_string(number);
    return prefix + std::string(16 - prefix.size() - digits.size(), '0') + digits;
}

/// Body of a submission of a job whose work units last.
std::string lastingJob(const fleet::standin::TaskBehaviour& behaviour, int tasks)
{
    return submission(behaviour,
        { { { "count", tasks }, { "cpu", behaviour.cpu }, { "mem_mb", 100 }, { "estimate_ms", 500 },
            { "long_running", true } } });
}

int countLost(const WorkUnits& units, TimePoint calmSince, TimePoint now, Record& record)
{
    int lost = 0;
    for (const auto& [id, endedAt] : units) {
        if (!endedAt || now < std::max(*endedAt + allowedGap, calmSince + calmBefore) + countedSpan)
            continue;
        ++lost;
        record.add("RULE LOST BROKEN: " + toString(id) + " has had no run for "
            + std::to_string(std::chrono::duration_cast<milliseconds>(now - *endedAt).count())
            + " ms; all minions are up and have room");
    }
    return lost;
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
    WorkUnits units;
    int hopelessRuns = 0;
    site.listeners.started = [&](const std::string&, const fleet::TaskId& task, std::uint32_t) {
        hopelessRuns += isHopeless(task);
        if (!isHopeless(task))
            units[task].reset();
    };
    site.listeners.ended = [&](const fleet::TaskId& task, std::uint32_t, const std::string&) {
        if (!isHopeless(task))
            units[task] = std::chrono::steady_clock::now();
    };
    int accepted = 0;
    const auto submit = [&](const std::string& id, const std::string& body) {
        site.send(0, "POST", pool, id, body,
            [&](const HttpResult& result) { accepted += result && result->status == 200; });
    };
    for (int i = 0; i < soundJobs; ++i) {
        const bool failsOnce = i % jobsPerFailingJob == 0;
        submit(jobId("5c", i),
            lastingJob({ meanTimeOfFailingUnitMs, failsOnce ? 1.0 : 0.0, !failsOnce, 1000, 0 }, 1));
    }
    for (int i = 0; hasTrouble() && i < hopelessJobs; ++i)
        submit(jobId(hopelessPrefix, i),
            lastingJob({ timeOfHopelessUnitMs, 1.0, false, 1000, 0 }, tasksOfHopelessJob));
    const auto expected = soundJobs + (hasTrouble() ? hopelessJobs : 0);
    const bool allAccepted = waitUntil(loop, milliseconds(8000),
        [&] { return accepted == expected && units.size() == static_cast<std::size_t>(soundJobs); });
    if (!allAccepted)
        return exitCouldNotRun;
    const auto calmSince = std::chrono::steady_clock::now();
    int lost = 0;
    const auto end = calmSince + watchTime;
    while (lost == 0 && std::chrono::steady_clock::now() < end) {
        waitUntil(loop, checkInterval, [] { return false; });
        lost = countLost(units, calmSince, std::chrono::steady_clock::now(), record);
    }
    site.listeners = {};
    record.add(std::to_string(hopelessRuns) + " runs of hopeless work units; " + std::to_string(lost) + " of "
        + std::to_string(units.size()) + " sound work units were left without a run");
    return lost > 0 ? exitBroken : exitHeld;
}

} // namespace
} // namespace damask::review

int main(int argc, char** argv)
{
    return damask::review::runCase(damask::review::parseArguments(argc, argv));
}
