/// \file
/// Pool controller: detects failures, grants permits, and runs maintenance waves and VM moves. Each pool
/// is one key.
#include "pool_rows_pvt.h"

#include <damaskworks/registry.h>

namespace damask {
namespace {

std::vector<std::string> keys(const Catalogue& catalogue)
{
    std::vector<std::string> out;
    for (const auto* pool : catalogue.list(Kind::Pool))
        out.push_back(pool->name);
    return out;
}

std::vector<controller::Action> plan(
    const controller::View& view, std::string_view key, std::any& plannerState)
{
    if (!plannerState.has_value())
        plannerState = maintenance::VmTrackers {};
    std::vector<controller::Action> actions;
    if (!view.catalogue.find(Kind::Pool, key))
        return actions;
    const auto before = pool_rows::readPool(view, key);
    auto after = before;
    const auto result = maintenance::step(after, *std::any_cast<maintenance::VmTrackers>(&plannerState),
        pool_rows::readSettings(view.catalogue), view.now);
    for (const auto& command : result.commands)
        actions.emplace_back(controller::CommandVm { command.vm, command.command });
    auto transaction = pool_rows::makeTransaction(view.catalogue, before, after, result);
    if (!transaction.writes.empty())
        actions.emplace_back(controller::Commit { std::move(transaction), "pool/" + after.name });
    return actions;
}

const bool registered
    = Registry<controller::Definition>::instance().add("pool", controller::Definition { keys, plan });

} // namespace
} // namespace damask
