#pragma once

#include <LibBase/Clock.h>

namespace Sassafrasshift::Scheduler {

/// How much slower one target is at present than others of its kind. Answers the load pattern of a few targets that turn
/// slow for some seconds: work goes elsewhere, and comes back by itself after a while.
class TargetSpeed {
public:
    /// A run ended well after `actual`, where `expected` is usual for the kind.
    void observe(Milliseconds actual, Milliseconds expected, Instant now);
    /// A run has been going on for `elapsed` already.
    void observeUnfinished(Milliseconds elapsed, Milliseconds expected, Instant now);

    /// At least one.
    [[nodiscard]] double slowness(Instant now) const;

private:
    void raiseTo(double, Instant now);

    double value { 1 };
    Instant observedAt {};
};

}
