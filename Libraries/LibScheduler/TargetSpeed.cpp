#include <LibScheduler/TargetSpeed.h>
#include <algorithm>
#include <cmath>

namespace Sassafrasshift::Scheduler {

static constexpr double sampleWeight { 0.3 };
// What is known of a target's slowness loses half of its weight in this time.
static constexpr Milliseconds halfLife { 4000 };
// Runs that are shorter than this say little: their time is that of the messages.
static constexpr Milliseconds messagingTime { 20 };
// Single tasks differ from their estimates by up to this factor without the target being slow.
static constexpr double estimateErrorFactor { 4 };
static constexpr double maximumSlowness { 20 };

double TargetSpeed::slowness(Instant now) const
{
    auto age = toMilliseconds(now - this->observedAt) / toMilliseconds(halfLife);
    return 1 + (this->value - 1) * std::exp2(-std::max(age, 0.0));
}

void TargetSpeed::observe(Milliseconds actual, Milliseconds expected, Instant now)
{
    auto ratio = toMilliseconds(actual) / toMilliseconds(expected + messagingTime);
    auto present = this->slowness(now);
    this->value = std::clamp(present + (ratio - present) * sampleWeight, 1.0, maximumSlowness);
    this->observedAt = now;
}

void TargetSpeed::observeUnfinished(Milliseconds elapsed, Milliseconds expected, Instant now)
{
    auto ratio = toMilliseconds(elapsed) / toMilliseconds(expected + messagingTime);
    if (ratio > estimateErrorFactor)
        this->raiseTo(std::min(ratio, maximumSlowness), now);
}

void TargetSpeed::raiseTo(double floor, Instant now)
{
    if (this->slowness(now) >= floor)
        return;
    this->value = floor;
    this->observedAt = now;
}

}
