#pragma once

#include <LibBase/Clock.h>

namespace Sassafrasshift::Scheduler {

/// Measures how much slower one target currently is than others of its kind. If a few targets become slow for some seconds,
/// the scheduler places tasks on other targets; the measured slowness decays, so that the slow targets are used again later.
class TargetSpeed {
public:
    /// Records that a run succeeded after `actual`, where `expected` is the usual run time on the kind.
    void observe(Milliseconds actual, Milliseconds expected, Instant now);
    /// Records that a run is still running after `elapsed`, where `expected` is the usual run time on the kind.
    void observeUnfinished(Milliseconds elapsed, Milliseconds expected, Instant now);

    /// Records that a run makes no progress.
    void observeStall(Instant now);

    /// The current run time relative to the usual one of the kind, at least 1.
    [[nodiscard]] double slowness(Instant now) const;

private:
    void raiseTo(double, Instant now);

    double value { 1 };
    Instant observedAt {};
};

}
