#pragma once

#include <LibBase/Verdict.h>
#include <LibScheduler/Types.h>
#include <variant>

namespace Sassafrasshift::Scheduler {

/// The target has done what it was told.
struct Acknowledged {
    /// The target's own clock, in milliseconds.
    int64_t clock { 0 };

    friend auto operator<=>(const Acknowledged&, const Acknowledged&) = default;
};

/// The target has refused, and done nothing.
struct Refused {
    OrderRefusal reason { OrderRefusal::Malformed };

    friend auto operator<=>(const Refused&, const Refused&) = default;
};

/// No whole answer came.
struct Unanswered {
    /// NotRun where no byte of the order can have reached the target.
    Verdict verdict { Verdict::MayHaveRun };

    friend auto operator<=>(const Unanswered&, const Unanswered&) = default;
};

using OrderAnswer = std::variant<Acknowledged, Refused, Unanswered>;
using HoldAnswer = std::variant<RunList, Refused, Unanswered>;

}
