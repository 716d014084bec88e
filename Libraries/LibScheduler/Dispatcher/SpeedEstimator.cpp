#include <LibScheduler/Dispatcher/SpeedEstimator.h>
#include <algorithm>

namespace Sassafrasshift::Scheduler {

// The weight of an observation in the moving average. The first 50 observations are averaged with equal weights.
static constexpr double minimumSampleWeight { 0.02 };
static constexpr double minimumRatio { 0.1 };
static constexpr double maximumRatio { 10 };

void SpeedEstimator::observe(const std::string& queue, const std::string& kind, Milliseconds estimate, Milliseconds actual)
{
    if (estimate.count() <= 0)
        return;
    auto& ratio = this->ratios[queue][kind];
    ++ratio.observations;
    auto sample = std::clamp(static_cast<double>(actual.count()) / static_cast<double>(estimate.count()), minimumRatio, maximumRatio);
    ratio.mean += (sample - ratio.mean) * std::max(minimumSampleWeight, 1.0 / ratio.observations);
}

static Milliseconds scale(Milliseconds estimate, double ratio)
{
    return Milliseconds(static_cast<Milliseconds::rep>(static_cast<double>(estimate.count()) * ratio));
}

Milliseconds SpeedEstimator::expected(const std::string& queue, const std::string& kind, Milliseconds estimate) const
{
    auto kinds = this->ratios.find(queue);
    if (kinds == this->ratios.end())
        return estimate;
    auto ratio = kinds->second.find(kind);
    return ratio == kinds->second.end() ? estimate : scale(estimate, ratio->second.mean);
}

Milliseconds SpeedEstimator::expectedOnFastestKind(const std::string& queue, Milliseconds estimate) const
{
    auto kinds = this->ratios.find(queue);
    if (kinds == this->ratios.end() || kinds->second.empty())
        return estimate;
    auto best = Milliseconds::max();
    for (const auto& [kind, ratio] : kinds->second)
        best = std::min(best, scale(estimate, ratio.mean));
    return best;
}

}
