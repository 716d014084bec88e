#pragma once

#include <LibBase/Clock.h>
#include <compare>
#include <cstdint>

namespace Sassafrasshift::Scheduler {

/// The sort key of the job queue; smaller ranks are served first.
struct JobRank {
    /// Whether the job can no longer meet its objective. Such jobs come after those that still can.
    bool isLate { false };
    /// The priority of the job; while capacity is short, jobs that have started or are within a guarantee get a more urgent one.
    int64_t priority { 0 };
    /// The order between shares while capacity is short; otherwise zero.
    double tag { 0 };
    Instant objective {};
    /// A sequence number that makes the rank unique.
    uint64_t arrival { 0 };

    friend auto operator<=>(const JobRank&, const JobRank&) = default;
};

}
