#include <LibBase/Clock.h>
#include <ctime>

namespace Sassafrasshift {

Instant SystemClock::now() const
{
    timespec reading {};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return Instant { std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec) };
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

Instant ManualClock::now() const
{
    return Instant {} + this->elapsed;
}

WallTime ManualClock::wallNow() const
{
    return WallTime {} + std::chrono::duration_cast<WallTime::duration>(this->elapsed);
}

void ManualClock::advance(std::chrono::nanoseconds step)
{
    this->elapsed += step;
}

int64_t toUnixMilliseconds(WallTime time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

double toMilliseconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

}
