/// \file
/// Tests of the limit of outstanding commands, among them a replay of a turn's peak over a narrow link.
#include "pool_fixture_test.h"

#include <damaskworks/command_window.h>

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

constexpr auto commandTimeout = 500ms;

/// Pool whose holder reaches its VMs over one link that carries the commands one after another.
struct NarrowLinkFixture : PoolFixture {
    struct Command {
        StartAction start;
        TimePoint sentAt {};
        TimePoint arrivesAt {};
    };
    struct Run {
        StartAction start;
        TimePoint endsAt {};
    };

    /// Load of the small twin of the large deployment: 81 VMs, and in the time of its queue 26 jobs a second
    /// with 13 tasks each. The link of 2 Mbit/s carries a command of 1.7 KB in 6.8 ms.
    static constexpr int vmCount = 81;
    static constexpr auto timePerCommand = 6800us;
    static constexpr auto taskTime = 800ms;

    CommandWindow window;
    bool isLimited = true;
    std::deque<Command> onLink;
    std::deque<Run> running;
    std::map<std::string, std::uint64_t> endNumbers;
    std::map<std::string, std::vector<EndReport>> newEnds;
    TimePoint linkFreeAt {};
    int accepted = 0;
    int unknown = 0;

    NarrowLinkFixture()
    {
        for (int i = 0; i < vmCount; ++i)
            addVm("v" + std::to_string(i), 16'000);
    }

    void sendStarts()
    {
        const auto maxStarts = isLimited ? freeCommands(window, static_cast<int>(onLink.size()))
                                         : std::numeric_limits<int>::max();
        for (auto& start : planStarts(state, clock.now(), wallNow, maxStarts)) {
            linkFreeAt = std::max(linkFreeAt, clock.now()) + timePerCommand;
            onLink.push_back({ std::move(start), clock.now(), linkFreeAt });
        }
    }

    void endCommand(const Command& command)
    {
        const auto elapsed = clock.now() - command.sentAt;
        const bool isLost = elapsed >= commandTimeout;
        isLost ? ++unknown : ++accepted;
        recordCommandEnd(window, elapsed, static_cast<int>(onLink.size()) + 1, clock.now());
        applyStartOutcome(state, command.start.vm, command.start.command.task, command.start.command.run,
            isLost ? CommandOutcome::Unknown : CommandOutcome::Accepted, clock.now());
        if (!isLost)
            running.push_back({ command.start, clock.now() + taskTime });
    }

    void step()
    {
        advance(5ms);
        // A command that arrives after its timeout has already ended, and still took its time on the link.
        while (!onLink.empty()
            && clock.now() >= std::min(onLink.front().arrivesAt, onLink.front().sentAt + commandTimeout)) {
            const auto command = onLink.front();
            onLink.pop_front();
            endCommand(command);
        }
        while (!running.empty() && clock.now() >= running.front().endsAt) {
            const auto& start = running.front().start;
            newEnds[start.vm].push_back(makeEnd(++endNumbers[start.vm], start));
            running.pop_front();
        }
        for (auto& [vm, ends] : std::exchange(newEnds, {}))
            report(vm, ends);
        sendStarts();
    }

    void replayPeak()
    {
        for (int second = 0; second < 4; ++second) {
            for (int i = 0; i < 26; ++i) {
                submit("j" + std::to_string(second * 26 + i), { makeStep(13, 2200) });
                for (int k = 0; k < 8; ++k)
                    step();
            }
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(command_window, NarrowLinkFixture)

// On the large deployment's small twin, the holder of a pool at its peak got no response to two of three
// starts within their timeout: its own link was full.
BOOST_AUTO_TEST_CASE(peakOverANarrowLinkTimesOutWithoutAWindow)
{
    isLimited = false;
    replayPeak();
    BOOST_TEST(unknown > accepted / 2);
}

BOOST_AUTO_TEST_CASE(peakOverANarrowLinkLosesNoStartWithAWindow)
{
    replayPeak();
    BOOST_TEST(unknown == 0);
    // The link could have carried 612 commands in the 4.2 s of the peak.
    BOOST_TEST(accepted > 500);
}

BOOST_AUTO_TEST_CASE(fewSlowVmsDoNotShrinkTheWindow)
{
    for (int i = 0; i < 1000; ++i) {
        advance(1ms);
        recordCommandEnd(window, i % 20 == 0 ? 500ms : 3ms, 64, clock.now());
    }
    BOOST_TEST(window.size >= 64);
}

BOOST_AUTO_TEST_CASE(windowRecoversAfterCongestion)
{
    for (int i = 0; i < 100; ++i) {
        advance(100ms);
        recordCommandEnd(window, 400ms, 64, clock.now());
    }
    BOOST_TEST(freeCommands(window, 0) == 4);
    BOOST_TEST((reportPause(window) == 300ms));
    for (int i = 0; i < 1000; ++i) {
        advance(1ms);
        recordCommandEnd(window, 3ms, static_cast<int>(window.size), clock.now());
    }
    BOOST_TEST(freeCommands(window, 0) > 200);
    BOOST_TEST((reportPause(window) == 0ms));
}

BOOST_AUTO_TEST_CASE(windowThatIsNotInUseDoesNotGrow)
{
    for (int i = 0; i < 1000; ++i)
        recordCommandEnd(window, 3ms, 1, clock.now());
    BOOST_TEST(freeCommands(window, 0) == 64);
}

BOOST_AUTO_TEST_SUITE_END()
