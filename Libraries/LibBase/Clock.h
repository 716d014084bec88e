#pragma once

#include <chrono>

namespace Sassafrasshift {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// A point in time on a monotonic clock that keeps counting while the machine is suspended. Values of different machines
/// cannot be compared; nor can those of std::chrono::steady_clock::now(), because that clock may stop during a suspension.
using Instant = std::chrono::steady_clock::time_point;

/// A point in calendar time. The clock may be stepped in either direction, and differs from machine to machine.
using WallTime = std::chrono::system_clock::time_point;

/// A source of time. Components are passed a clock, so that tests can control the time that a component sees.
class Clock {
public:
    virtual ~Clock() = default;

    [[nodiscard]] virtual Instant now() const = 0;
    [[nodiscard]] virtual WallTime wallNow() const = 0;
};

/// Reads the clocks of the operating system.
class SystemClock final : public Clock {
public:
    [[nodiscard]] Instant now() const override;
    [[nodiscard]] WallTime wallNow() const override;
};

/// A clock that stands still until advance() is called.
class ManualClock final : public Clock {
public:
    [[nodiscard]] Instant now() const override;
    [[nodiscard]] WallTime wallNow() const override;
    void advance(std::chrono::nanoseconds);

private:
    std::chrono::nanoseconds elapsed { 0 };
};

/// The number of milliseconds between the Unix epoch and a point in calendar time.
[[nodiscard]] int64_t toUnixMilliseconds(WallTime);

/// A duration in milliseconds, including fractions of a millisecond.
[[nodiscard]] double toMilliseconds(std::chrono::nanoseconds);

}
