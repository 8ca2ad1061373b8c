/// Property test on the fleet model: the promises P1 and P2 (see fleet_model.h) hold in random histories of
/// faults and operators' calls.
#include "fleet_model.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <ostream>

using namespace damask;
using namespace damask::fleet_model;
using nlohmann::json;

namespace {

constexpr int nodes = 3;
/// Number of runs of each generated history; each run has its own random delays.
constexpr std::uint64_t runsPerHistory = 20;
constexpr int pricingVms = 6;
constexpr int miscVms = 3;

/// Faults and operators' calls.
enum class EventKind {
    PauseNode,
    RestartNode,
    TableDown,
    FailVm,
    FailRack,
    FailReboots,
    Repair,
    SetBudget,
    PauseWave,
    ResumeWave,
    ReplaceWave,
    Move,
    CancelMove,
    AddVm,
};
constexpr int eventKindCount = 14;

/// A wait, then one event of a generated history. Kinds that need a parameter take it from \p argument.
struct Step {
    int waitTicks = 0;
    EventKind kind = EventKind::PauseNode;
    std::uint32_t argument = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step)
{
    return out << "{wait " << step.waitTicks << ", kind " << static_cast<int>(step.kind) << ", "
               << step.argument << "}";
}

rc::Gen<Step> anyStep()
{
    return rc::gen::apply(
        [](int wait, int kind, std::uint32_t argument) {
            return Step { wait, static_cast<EventKind>(kind), argument };
        },
        rc::gen::inRange(0, 24), rc::gen::inRange(0, eventKindCount),
        rc::gen::inRange<std::uint32_t>(0, 1 << 16));
}

struct History {
    explicit History(std::uint64_t seed)
        : model(Times { .lostReplyRatio = 0.05, .failedReadRatio = 0.1 }, seed, nodes)
    {
        for (const auto* pool : { "misc", "pricing" })
            model.declare(Kind::Pool, pool, json::object());
        setBudget(2);
        for (int i = 0; i < pricingVms; ++i)
            model.addVm("pricing" + std::to_string(i), "pricing", "r" + std::to_string(i / 2));
        for (int i = 0; i < miscVms; ++i)
            model.addVm("misc" + std::to_string(i), "misc", "r9");
        declareWave(json::object());
    }

    void setBudget(std::uint32_t limit)
    {
        model.declare(Kind::Budget, "b", json { { "pool", "pricing" }, { "maxUnavailable", limit } });
    }

    void declareWave(json spec)
    {
        spec["pool"] = "pricing";
        model.declare(Kind::Wave, wave, spec);
    }

    std::string vmAt(std::uint32_t index)
    {
        const auto names = model.vmNames();
        return names[index % names.size()];
    }

    void applyStep(const Step& step)
    {
        switch (step.kind) {
        case EventKind::PauseNode:
            return model.pause(step.argument % nodes, std::chrono::milliseconds(250 * (step.argument % 40)));
        case EventKind::RestartNode:
            return model.restart(step.argument % nodes);
        case EventKind::TableDown:
            return model.setTableOutage(std::chrono::milliseconds(250 * (step.argument % 60)));
        case EventKind::FailVm:
            return model.fail(vmAt(step.argument));
        case EventKind::FailRack:
            for (auto& [name, vm] : model.vms()) {
                if (vm.rack == "r" + std::to_string(step.argument % 3))
                    model.fail(name);
            }
            return;
        case EventKind::FailReboots:
            model.vms()[vmAt(step.argument)].rebootsToFail = 1 + static_cast<int>(step.argument % 3);
            return;
        case EventKind::Repair:
            return model.repairAll();
        case EventKind::SetBudget:
            return setBudget(step.argument % 4);
        case EventKind::PauseWave:
        case EventKind::ResumeWave:
            return declareWave({ { "paused", step.kind == EventKind::PauseWave } });
        case EventKind::ReplaceWave:
            declareWave({ { "cancelled", true } });
            wave = "w" + std::to_string(step.argument);
            return declareWave(json::object());
        case EventKind::Move:
        case EventKind::CancelMove:
            return move(step);
        case EventKind::AddVm:
            return model.addVm("pricing9" + std::to_string(step.argument % 10), "pricing", "r3");
        }
    }

    void move(const Step& step)
    {
        const auto name = vmAt(step.argument);
        const auto pool = model.status(Kind::Vm, name).value("pool", model.vms()[name].servedPool);
        const std::string other = pool == "misc" ? "pricing" : "misc";
        model.setMoveTo(name, step.kind == EventKind::Move ? other : "");
    }

    /// Ends all faults, restores the budget and runs until the wave has finished, at most 5 minutes.
    void runWithoutFaults()
    {
        model.setTableOutage(0s);
        model.repairAll();
        model.times().lostReplyRatio = 0;
        model.times().failedReadRatio = 0;
        setBudget(2);
        declareWave({ { "stopAfterFailures", 100u } });
        model.runUntil([this] { return isFinished(); }, 5min);
    }

    bool isFinished() const { return model.status(Kind::Wave, wave).value("phase", "") == "finished"; }

    Model model;
    std::string wave = "w";
};

} // namespace

RC_BOOST_PROP(budgetAndPoolOwnershipHoldInAnyHistory, ())
{
    const auto steps = *rc::gen::resize(24, rc::gen::container<std::vector<Step>>(anyStep())).as("steps");
    const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1 << 20).as("seed");
    for (std::uint64_t run = 0; run < runsPerHistory; ++run) {
        History history(seed + run);
        for (const auto& step : steps) {
            history.model.run(history.model.times().tick * step.waitTicks);
            history.applyStep(step);
        }
        history.runWithoutFaults();
        RC_ASSERT(history.model.violation() == "");
        // Once all faults are over, the wave finishes.
        RC_ASSERT(history.isFinished());
    }
}
