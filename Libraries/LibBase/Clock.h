#pragma once

#include <chrono>

namespace Sassafrasshift {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// A point on a clock that never goes back, and that goes on while the machine is suspended; it has no meaning outside the
/// machine.
using Instant = std::chrono::steady_clock::time_point;

/// A point in civil time; it may jump and differs from machine to machine.
using WallTime = std::chrono::system_clock::time_point;

/// Where a component reads the time. It is passed in, so that tests control it.
class Clock {
public:
    virtual ~Clock() = default;

    [[nodiscard]] virtual Instant now() const = 0;
    [[nodiscard]] virtual WallTime wallNow() const = 0;
};

/// The clocks of the operating system.
class SystemClock final : public Clock {
public:
    [[nodiscard]] Instant now() const override;
    [[nodiscard]] WallTime wallNow() const override;
};

/// A clock that moves only when told to.
class ManualClock final : public Clock {
public:
    [[nodiscard]] Instant now() const override;
    [[nodiscard]] WallTime wallNow() const override;
    void advance(std::chrono::nanoseconds);

private:
    std::chrono::nanoseconds elapsed { 0 };
};

/// Milliseconds since the epoch of a point in civil time.
[[nodiscard]] int64_t toUnixMilliseconds(WallTime);

/// A duration as a fractional number of milliseconds.
[[nodiscard]] double toMilliseconds(std::chrono::nanoseconds);

}
