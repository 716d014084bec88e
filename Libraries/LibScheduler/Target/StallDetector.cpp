#include <LibScheduler/Target/StallDetector.h>

namespace Sassafrasshift::Scheduler {

// Longer than a run of half a minute takes for one percent.
static constexpr Milliseconds stallTime { 500 };

void StallDetector::observe(int percent, Instant now)
{
    if (this->latest && this->latest->percent == percent)
        this->latest->lastSeenAt = now;
    else
        this->latest = Observation { percent, now, now };
}

bool StallDetector::isStalled() const
{
    return this->latest && this->latest->lastSeenAt - this->latest->since >= stallTime;
}

}
