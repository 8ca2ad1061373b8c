#include "pool_rows_pvt.h"

#include <algorithm>

namespace damask::pool_rows {
namespace {

using nlohmann::json;
using namespace maintenance;

std::string poolOf(const Resource& vm) { return vm.status.value("pool", vm.spec.value("pool", "")); }

std::vector<Condition> readConditions(const json& status)
{
    std::vector<Condition> out;
    for (const auto& item : status.value("conditions", json::array()))
        out.push_back({ item.value("type", ""), item.value("message", "") });
    return out;
}

json toJson(const std::vector<Condition>& conditions)
{
    json out = json::array();
    for (const auto& condition : conditions)
        out.push_back({ { "type", condition.type }, { "message", condition.message } });
    return out;
}

Vm readVm(const controller::View& view, const Resource& resource)
{
    Vm vm;
    vm.name = resource.name;
    vm.pool = poolOf(resource);
    vm.dataCentre = resource.spec.value("dataCentre", "");
    vm.rack = vm.dataCentre + "/" + resource.spec.value("rack", "");
    vm.phase = valueOf(phaseNames, resource.status.value("phase", "in_service")).value_or(Phase::InService);
    vm.operation = resource.status.value("operation", "");
    vm.moveTo = resource.status.value("moveTo", "");
    vm.incarnationBefore = resource.status.value("incarnationBefore", std::uint64_t { 0 });
    vm.attempt = resource.status.value("attempt", 0u);
    if (const auto report = view.vmReports.find(vm.name); report != view.vmReports.end())
        vm.report = report->second;
    for (const auto& [name, task] : view.taskReports)
        vm.runningTasks += task.vm == vm.name && task.state == TaskState::Running;
    return vm;
}

Wave readWave(const Resource& resource)
{
    Wave wave;
    wave.name = resource.name;
    wave.domain
        = valueOf(failureDomainNames, resource.spec.value("domain", "rack")).value_or(FailureDomain::Rack);
    wave.stopAfterFailures = resource.spec.value("stopAfterFailures", 2u);
    wave.isPaused = resource.spec.value("paused", false);
    wave.isCancelled = resource.spec.value("cancelled", false);
    wave.phase
        = valueOf(wavePhaseNames, resource.status.value("phase", "running")).value_or(WavePhase::Running);
    wave.done = resource.status.value("doneVms", std::set<std::string> {});
    wave.failed = resource.status.value("failedVms", std::set<std::string> {});
    wave.total = resource.status.value("total", 0u);
    wave.conditions = readConditions(resource.status);
    return wave;
}

std::vector<budget::Disruption> readDisruptions(const json& status)
{
    std::vector<budget::Disruption> out;
    for (const auto& item : status.value("disruptions", json::array()))
        out.push_back({ item.value("vm", ""),
            valueOf(budget::reasonNames, item.value("reason", "")).value_or(budget::Reason::Failure),
            item.value("operation", "") });
    return out;
}

std::vector<const Resource*> budgetsOf(const Catalogue& catalogue, std::string_view pool)
{
    return catalogue.listByPool(Kind::Budget, pool);
}

void setOrErase(json& object, const char* field, const json& value, bool isSet)
{
    if (isSet)
        object[field] = value;
    else
        object.erase(field);
}

json vmStatus(const json& current, const Vm& vm)
{
    json out = current;
    out["pool"] = vm.pool;
    out["phase"] = nameOf(phaseNames, vm.phase);
    setOrErase(out, "operation", vm.operation, !vm.operation.empty());
    setOrErase(out, "moveTo", vm.moveTo, !vm.moveTo.empty());
    setOrErase(out, "incarnationBefore", vm.incarnationBefore, vm.incarnationBefore > 0);
    setOrErase(out, "attempt", vm.attempt, vm.attempt > 0);
    return out;
}

json waveStatus(const json& current, const Wave& wave)
{
    json out = current;
    out["phase"] = nameOf(wavePhaseNames, wave.phase);
    out["done"] = wave.done.size();
    out["failed"] = wave.failed.size();
    out["total"] = wave.total;
    out["doneVms"] = wave.done;
    out["failedVms"] = wave.failed;
    out["conditions"] = toJson(wave.conditions);
    return out;
}

json poolStatus(const json& current, const Pool& pool)
{
    json out = current;
    out["disruptions"] = json::array();
    for (const auto& entry : pool.disruptions)
        out["disruptions"].push_back({ { "vm", entry.vm },
            { "reason", nameOf(budget::reasonNames, entry.reason) }, { "operation", entry.operation } });
    out["conditions"] = toJson(pool.conditions);
    return out;
}

void addSpecCondition(Transaction& transaction, const Resource& resource)
{
    transaction.conditions.push_back({ resource::specKey(resource.kind, resource.name), resource.version });
}

void addStatus(
    Transaction& transaction, const Catalogue& catalogue, const Resource& resource, const json& status)
{
    const auto key = resource::statusKey(resource.kind, resource.name);
    addSpecCondition(transaction, resource);
    transaction.conditions.push_back({ key, catalogue.statusVersion(resource.kind, resource.name) });
    transaction.writes.push_back({ key, status.dump() });
}

} // namespace

Pool readPool(const controller::View& view, std::string_view name)
{
    Pool pool;
    pool.name = std::string(name);
    const auto& catalogue = view.catalogue;
    for (const auto* resource : catalogue.list(Kind::Pool))
        pool.pools.insert(resource->name);
    for (const auto* resource : catalogue.listByPool(Kind::Vm, name))
        pool.vms.push_back(readVm(view, *resource));
    for (const auto* resource : catalogue.listByPool(Kind::Wave, name))
        pool.waves.push_back(readWave(*resource));
    if (const auto* resource = catalogue.find(Kind::Pool, name)) {
        pool.disruptions = readDisruptions(resource->status);
        pool.conditions = readConditions(resource->status);
    }
    const auto budgets = budgetsOf(catalogue, name);
    for (const auto* resource : budgets) {
        const auto limit = resource->spec.value("maxUnavailable", budget::defaultMaxUnavailable);
        pool.maxUnavailable = resource == budgets.front() ? limit : std::min(pool.maxUnavailable, limit);
    }
    return pool;
}

maintenance::Settings readSettings(const Catalogue& catalogue)
{
    maintenance::Settings out;
    const auto* configuration = catalogue.find(Kind::Configuration, currentConfigurationName);
    if (!configuration)
        return out;
    const auto policy
        = configuration->spec.value("policy", json::object()).value("maintenance", json::object());
    const auto readDuration = [&policy](const char* field, Duration& duration) {
        if (policy.contains(field) && policy[field].is_number_unsigned())
            duration = std::chrono::milliseconds(policy[field].get<std::uint32_t>());
    };
    readDuration("rebootTimeoutMs", out.rebootTimeout);
    readDuration("verifyTimeoutMs", out.verifyTimeout);
    readDuration("reportLagMs", out.reportLag);
    readDuration("drainNoticeMs", out.drainNotice);
    readDuration("routeLagMs", out.routeLag);
    return out;
}

Transaction makeTransaction(
    const Catalogue& catalogue, const Pool& before, const Pool& after, const StepResult& result)
{
    Transaction out;
    for (std::size_t i = 0; i < after.vms.size(); ++i) {
        const auto& vm = after.vms[i];
        if (vm == before.vms[i])
            continue;
        const auto* resource = catalogue.find(Kind::Vm, vm.name);
        addStatus(out, catalogue, *resource, vmStatus(resource->status, vm));
        if (vm.pool != before.vms[i].pool)
            addSpecCondition(out, *catalogue.find(Kind::Pool, vm.pool));
    }
    for (std::size_t i = 0; i < after.waves.size(); ++i) {
        const auto& wave = after.waves[i];
        const auto* resource = catalogue.find(Kind::Wave, wave.name);
        if (wave != before.waves[i] || catalogue.statusVersion(Kind::Wave, wave.name) == 0)
            addStatus(out, catalogue, *resource, waveStatus(resource->status, wave));
        else if (result.wavesWithNewPermits.contains(wave.name))
            addSpecCondition(out, *resource);
    }
    const auto* pool = catalogue.find(Kind::Pool, after.name);
    if (pool
        && (!out.writes.empty() || after.disruptions != before.disruptions
            || after.conditions != before.conditions))
        addStatus(out, catalogue, *pool, poolStatus(pool->status, after));
    if (result.hasPermits) {
        for (const auto* budget : budgetsOf(catalogue, after.name))
            addSpecCondition(out, *budget);
    }
    return out;
}

} // namespace damask::pool_rows
