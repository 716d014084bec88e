#include <LibTelemetry/HybridClock.h>

namespace Sassafrasshift::Telemetry {

HybridClock::HybridClock(const Clock& clock)
    : clock(clock)
{
}

HybridTime HybridClock::tick()
{
    auto wall = std::chrono::duration_cast<Microseconds>(this->clock.wallNow().time_since_epoch()).count();
    if (wall > this->latest.wall)
        this->latest = HybridTime { wall, 0 };
    else
        ++this->latest.logical;
    return this->latest;
}

void HybridClock::observe(HybridTime other)
{
    if (other > this->latest)
        this->latest = other;
}

}
