/// \file
/// Conversion between table rows and maintenance::Pool: reads a pool's state and makes the transaction
/// that stores the changes of a step.
#pragma once

#include <damaskworks/controller.h>
#include <damaskworks/maintenance.h>

#include <string_view>

namespace damask::pool_rows {

/// Reads the pool with its VMs, budget and waves from the view.
maintenance::Pool readPool(const controller::View& view, std::string_view pool);
/// Reads the durations from the configuration's `policy.maintenance`. A missing or invalid field keeps its
/// default.
maintenance::Settings readSettings(const Catalogue& catalogue);
/// Makes one transaction of the changes from \p before to \p after. Its conditions state the versions of
/// all rows that the step depends on. Empty if nothing has changed.
Transaction makeTransaction(const Catalogue& catalogue, const maintenance::Pool& before,
    const maintenance::Pool& after, const maintenance::StepResult& result);

} // namespace damask::pool_rows
