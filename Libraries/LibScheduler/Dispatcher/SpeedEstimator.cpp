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
    auto& ratio = this->ratios[Key { queue, kind }];
    ++ratio.observations;
    auto sample = std::clamp(static_cast<double>(actual.count()) / static_cast<double>(estimate.count()), minimumRatio, maximumRatio);
    ratio.mean += (sample - ratio.mean) * std::max(minimumSampleWeight, 1.0 / ratio.observations);
}

Milliseconds SpeedEstimator::expected(const std::string& queue, const std::string& kind, Milliseconds estimate) const
{
    auto position = this->ratios.find(Key { queue, kind });
    if (position == this->ratios.end())
        return estimate;
    return Milliseconds(static_cast<Milliseconds::rep>(static_cast<double>(estimate.count()) * position->second.mean));
}

Milliseconds SpeedEstimator::expectedOnFastestKind(const std::string& queue, Milliseconds estimate) const
{
    auto best = Milliseconds::max();
    for (auto position = this->ratios.lower_bound(Key { queue, {} }); position != this->ratios.end() && position->first.queue == queue; ++position)
        best = std::min(best, this->expected(queue, position->first.kind, estimate));
    return best == Milliseconds::max() ? estimate : best;
}

}
