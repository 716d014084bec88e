#include <LibScheduler/ClockEcho.h>

namespace Sassafrasshift::Scheduler {

static constexpr int64_t clockDriftPercent = 2;
// Readings are rounded down to milliseconds, and the age is the difference of two.
static constexpr Milliseconds roundingError { 1 };

Milliseconds ClockEcho::earliestSentAt() const
{
    auto drift = (this->age < 0 ? -this->age : this->age) * clockDriftPercent / 100;
    return Milliseconds(this->reading + this->age - drift) - roundingError;
}

}
