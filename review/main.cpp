#include "cases.h"

#include <damaskworks/log.h>

#include <csignal>
#include <cstdio>
#include <string_view>

using namespace damask;
using namespace damask::review;

namespace {

struct CaseName {
    std::string_view name;
    Verdict (*play)(const std::string&);
};
constexpr CaseName caseNames[] = { { "silent-connections", playSilentConnections },
    { "lone-survivor", playLoneSurvivor }, { "recurring-job", playRecurringJob },
    { "hopeless-jobs", playHopelessJobs }, { "kept-jobs", playKeptJobs } };

} // namespace

/// Usage: review_case NAME RECORD
int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    endProcessesOnSignal();
    initializeLogging(LogLevel::Error, "review");
    for (const auto& entry : caseNames) {
        if (argc == 3 && entry.name == argv[1])
            return static_cast<int>(entry.play(argv[2]));
    }
    std::fputs("usage: review_case NAME RECORD\n", stderr);
    return static_cast<int>(Verdict::CouldNotRun);
}
