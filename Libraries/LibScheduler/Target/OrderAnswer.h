#pragma once

#include <LibBase/Verdict.h>
#include <LibScheduler/Types.h>
#include <variant>

namespace Sassafrasshift::Scheduler {

/// The target executed the order.
struct Acknowledged {
    /// The current time on the target's clock, in milliseconds.
    int64_t clock { 0 };

    CODEC_FIELDS(clock);
    friend auto operator<=>(const Acknowledged&, const Acknowledged&) = default;
};

/// The target refused the order, which had no effect.
struct Refused {
    OrderRefusal reason { OrderRefusal::Malformed };

    CODEC_FIELDS(reason);
    friend auto operator<=>(const Refused&, const Refused&) = default;
};

/// No complete answer was received.
struct Unanswered {
    /// NotRun if no byte of the order can have reached the target.
    Verdict verdict { Verdict::MayHaveRun };

    CODEC_FIELDS(verdict);
    friend auto operator<=>(const Unanswered&, const Unanswered&) = default;
};

using OrderAnswer = std::variant<Acknowledged, Refused, Unanswered>;
using HoldAnswer = std::variant<RunList, Refused, Unanswered>;

}
