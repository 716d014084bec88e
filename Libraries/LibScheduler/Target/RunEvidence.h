#pragma once

#include <LibBase/Clock.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Sassafrasshift::Scheduler {

/// Why a dispatcher takes a run as ended.
enum class RunEndProof {
    /// The target listed the run among those that ended.
    Listed,
    /// The run is missing from a list that the target was asked for after the run was known there.
    Absent,
    /// All leases that the target may have for the run have expired.
    LeaseExpired,
    /// The target refused the start order.
    StartRefused,
    /// No byte of the start order was sent.
    StartNotSent,
};

/// The spelling for logs and metrics, which is stable.
[[nodiscard]] std::string_view toText(RunEndProof);

/// What a dispatcher knew of a run when it took the run as ended.
struct RunEvidence {
    RunEndProof proof { RunEndProof::Listed };
    /// The incarnation of the target, and the fencing token under which it was held.
    std::string incarnation;
    uint64_t fence { 0 };
    /// How many stop orders were sent for the run, and the time since the first of them.
    uint32_t stopOrders { 0 };
    Milliseconds sinceFirstStop { 0 };
    /// The time until the latest lease that this dispatcher has asked for ends; negative if it has ended.
    Milliseconds untilLeaseEnd { 0 };

    friend auto operator<=>(const RunEvidence&, const RunEvidence&) = default;
};

}
