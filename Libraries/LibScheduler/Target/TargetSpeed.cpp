#include <LibScheduler/Target/TargetSpeed.h>
#include <algorithm>
#include <cmath>

namespace Sassafrasshift::Scheduler {

// The weight of an observation in the moving average.
static constexpr double sampleWeight { 0.3 };
// The part of the measured slowness above 1 halves in this time.
static constexpr Milliseconds halfLife { 4000 };
// Added to the expected run time, because the duration of shorter runs is dominated by message transit.
static constexpr Milliseconds messagingTime { 20 };
// A single task may exceed its expected run time by up to this factor on a target that is not slow.
static constexpr double estimateErrorFactor { 4 };
static constexpr double maximumSlowness { 20 };
// A target on which a run has stalled is tried again after a few seconds.
static constexpr double stalledSlowness { 5 };

double TargetSpeed::slowness(Instant now) const
{
    auto age = toMilliseconds(now - this->observedAt) / toMilliseconds(halfLife);
    return 1 + (this->value - 1) * std::exp2(-std::max(age, 0.0));
}

void TargetSpeed::observe(Milliseconds actual, Milliseconds expected, Instant now)
{
    auto ratio = toMilliseconds(actual) / toMilliseconds(expected + messagingTime);
    auto current = this->slowness(now);
    this->value = std::clamp(current + (ratio - current) * sampleWeight, 1.0, maximumSlowness);
    this->observedAt = now;
}

void TargetSpeed::observeUnfinished(Milliseconds elapsed, Milliseconds expected, Instant now)
{
    auto ratio = toMilliseconds(elapsed) / toMilliseconds(expected + messagingTime);
    if (ratio > estimateErrorFactor)
        this->raiseTo(std::min(ratio, maximumSlowness), now);
}

void TargetSpeed::observeStall(Instant now)
{
    this->raiseTo(stalledSlowness, now);
}

void TargetSpeed::raiseTo(double floor, Instant now)
{
    if (this->slowness(now) >= floor)
        return;
    this->value = floor;
    this->observedAt = now;
}

}
