#include "move_plan.h"

#include <damaskworks/registry.h>

#include <set>

namespace damask::move {
namespace {

using nlohmann::json;

constexpr std::string_view defaultPolicy = "buffered";

/// A VM's pool, phase and move target, from its status row. A VM without a status row serves the pool of
/// its spec.
struct Assignment {
    std::string pool;
    std::string phase;
    std::string moveTo;
};

Assignment readAssignment(const Resource& vm)
{
    const auto specPool = vm.spec.value("pool", "");
    return { vm.status.value("pool", specPool), vm.status.value("phase", "in_service"),
        vm.status.value("moveTo", "") };
}

void addVmToPool(std::map<std::string, Pool>& pools, const Assignment& assignment)
{
    const bool isMoving = !assignment.moveTo.empty() && assignment.moveTo != assignment.pool;
    const auto target = pools.find(isMoving ? assignment.moveTo : assignment.pool);
    if (target == pools.end())
        return;
    if (isMoving || assignment.phase == "attaching")
        ++target->second.arriving;
    else if (assignment.phase == "in_service")
        ++target->second.vms;
}

Duration seconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

double numberOr(const json& object, const char* name, double fallback)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_number() ? it->get<double>() : fallback;
}

controller::Commit makeMoveCommit(const controller::View& view, const Resource& vm, const Move& move)
{
    auto status = vm.status;
    const auto assignment = readAssignment(vm);
    status["pool"] = assignment.pool;
    status["phase"] = assignment.phase;
    status["moveTo"] = move.to;
    const auto key = resource::statusKey(Kind::Vm, vm.name);
    controller::Commit commit;
    commit.reason = "move " + vm.name + " from " + move.from + " to " + move.to;
    commit.transaction.conditions = { { key, view.catalogue.statusVersion(Kind::Vm, vm.name) },
        { resource::specKey(Kind::Vm, vm.name), vm.version },
        { resource::specKey(Kind::Pool, move.to), view.catalogue.find(Kind::Pool, move.to)->version } };
    commit.transaction.writes = { { key, status.dump() } };
    return commit;
}

bool isLiveAndReachable(const controller::View& view, const std::string& vm)
{
    const auto listed = view.listedVms.find(vm);
    const auto report = view.vmReports.find(vm);
    return listed != view.listedVms.end() && listed->second.state == ListedState::Live
        && report != view.vmReports.end() && report->second.reachable;
}

} // namespace

SelectedPolicy selectPolicy(const Catalogue& catalogue)
{
    json moveSettings = json::object();
    const auto* configuration = catalogue.find(Kind::Configuration, currentConfigurationName);
    if (configuration)
        moveSettings = configuration->spec.value("policy", json::object()).value("move", json::object());
    if (!moveSettings.is_object())
        moveSettings = json::object();
    SelectedPolicy out;
    const auto name = moveSettings.find("name");
    const bool isNamed = name != moveSettings.end() && name->is_string();
    out.policy = Registry<Policy>::instance().find(isNamed ? name->get<std::string>() : defaultPolicy);
    out.settings.weights.buffer = numberOr(moveSettings, "bufferWeight", out.settings.weights.buffer);
    out.settings.weights.rollout = numberOr(moveSettings, "rolloutWeight", out.settings.weights.rollout);
    out.settings.peakCover = numberOr(moveSettings, "peakCover", out.settings.peakCover);
    out.settings.hysteresisVms = numberOr(moveSettings, "hysteresisVms", out.settings.hysteresisVms);
    const double smoothing = std::chrono::duration<double>(out.settings.smoothing).count();
    out.settings.smoothing = seconds(numberOr(moveSettings, "smoothingSeconds", smoothing));
    return out;
}

std::vector<Pool> readPools(const controller::View& view)
{
    std::map<std::string, Pool> pools;
    for (const auto* resource : view.catalogue.list(Kind::Pool)) {
        auto& pool = pools[resource->name];
        pool.name = resource->name;
        pool.slotsPerVm = resource->spec.value("slotsPerVm", 8u);
        pool.minVms = resource->spec.value("minVms", 1u);
        pool.spare = resource->spec.value("spare", false);
        const auto demand = view.demand.find(resource->name);
        if (demand == view.demand.end())
            continue;
        pool.busySlots = demand->second.inFlight;
        pool.queued = demand->second.queued;
    }
    for (const auto* vm : view.catalogue.list(Kind::Vm))
        addVmToPool(pools, readAssignment(*vm));
    std::vector<Pool> out;
    for (auto& [name, pool] : pools)
        out.push_back(std::move(pool));
    return out;
}

const Resource* chooseVm(const controller::View& view, std::string_view from)
{
    const Resource* best = nullptr;
    std::uint32_t leastWork = 0;
    for (const auto* vm : view.catalogue.list(Kind::Vm)) {
        const auto assignment = readAssignment(*vm);
        if (assignment.pool != from || assignment.phase != "in_service" || !assignment.moveTo.empty())
            continue;
        if (!isLiveAndReachable(view, vm->name))
            continue;
        const auto& report = view.vmReports.at(vm->name);
        const auto work = report.runningRequests + report.runningTasks;
        if (best && work >= leastWork)
            continue;
        best = vm;
        leastWork = work;
    }
    return best;
}

std::vector<controller::Action> plan(const controller::View& view, PlannerState& plannerState)
{
    const auto selected = selectPolicy(view.catalogue);
    // Without any known demand, this node is cut off from the others and must not move VMs.
    if (!selected.policy || view.demand.empty())
        return {};
    std::vector<controller::Action> actions;
    std::set<std::string> donorPools;
    for (const auto& move :
        (*selected.policy)(plannerState.policyState, readPools(view), selected.settings, view.now)) {
        // Move one VM per donor pool and plan; the next plan reads the move target set here.
        const auto* vm = donorPools.insert(move.from).second ? chooseVm(view, move.from) : nullptr;
        if (vm)
            actions.push_back(makeMoveCommit(view, *vm, move));
    }
    return actions;
}

} // namespace damask::move
