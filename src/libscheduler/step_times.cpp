#include <damaskworks/step_times.h>

#include <algorithm>

namespace damask::fleet {
namespace {

constexpr double maxFactor = 2;
/// By how much one step shifts the median.
constexpr double adaptation = 1.02;

} // namespace

void recordStepTime(
    StepTimeFactors& factors, const std::string& queue, const StepSpec& step, milliseconds took)
{
    if (step.estimate.count() <= 0 || took.count() <= 0)
        return;
    auto& factor = factors.try_emplace(queue, 1).first->second;
    const bool isLonger = took > step.estimate * factor;
    factor = std::clamp(isLonger ? factor * adaptation : factor / adaptation, 1.0, maxFactor);
}

double stepTimeFactor(const StepTimeFactors& factors, const std::string& queue)
{
    const auto found = factors.find(queue);
    return found == factors.end() ? 1 : found->second;
}

} // namespace damask::fleet
