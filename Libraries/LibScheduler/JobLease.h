#pragma once

#include <LibBase/Clock.h>
#include <compare>

namespace Sassafrasshift::Scheduler {

/// The entry lease of one job at a dispatcher. It is shared by the job and its runs: when the job is dropped, the lease is no longer
/// extended, but still limits the runs that have not ended.
struct JobLease {
    /// When the entry host last submitted the job or extended its lease.
    Instant lastExtendedAt {};

    friend auto operator<=>(const JobLease&, const JobLease&) = default;
};

}
