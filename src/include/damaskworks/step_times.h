/// \file
/// How long the steps of a queue take, measured by the queue's earlier steps. A step takes as long as its
/// longest task, while its estimate is that of an average one.
#pragma once

#include <damaskworks/job.h>

#include <map>
#include <string>

namespace damask::fleet {

/// Medians of the ratio of the time that a step took to its estimate, by queue.
using StepTimeFactors = std::map<std::string, double, std::less<>>;

/// Updates the median of the queue by a step whose longest task took \p took. Runs on slow VMs are too few to
/// shift it.
void recordStepTime(
    StepTimeFactors& factors, const std::string& queue, const StepSpec& step, milliseconds took);
/// Factor of the estimates of the queue's steps, from 1 to 2; 1 while nothing is known.
double stepTimeFactor(const StepTimeFactors& factors, const std::string& queue);

} // namespace damask::fleet
