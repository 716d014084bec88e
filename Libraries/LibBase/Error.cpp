#include <LibBase/Error.h>
#include <array>
#include <utility>

namespace Sassafrasshift {

struct ReasonName {
    Reason reason;
    std::string_view name;
};

static constexpr std::array reasonNames {
    ReasonName { Reason::InvalidInput, "invalid-input" },
    ReasonName { Reason::NotFound, "not-found" },
    ReasonName { Reason::Conflict, "conflict" },
    ReasonName { Reason::TooLarge, "too-large" },
    ReasonName { Reason::Overloaded, "overloaded" },
    ReasonName { Reason::DeadlineExceeded, "deadline-exceeded" },
    ReasonName { Reason::Cancelled, "cancelled" },
    ReasonName { Reason::NoConfiguration, "no-configuration" },
    ReasonName { Reason::NoTarget, "no-target" },
    ReasonName { Reason::CannotRun, "cannot-run" },
    ReasonName { Reason::QuotaExceeded, "quota-exceeded" },
    ReasonName { Reason::Unreachable, "unreachable" },
    ReasonName { Reason::ConnectionLost, "connection-lost" },
    ReasonName { Reason::AnswerTruncated, "answer-truncated" },
    ReasonName { Reason::TargetFailed, "target-failed" },
    ReasonName { Reason::NotLeader, "not-leader" },
    ReasonName { Reason::NoQuorum, "no-quorum" },
    ReasonName { Reason::KeyExpired, "key-expired" },
    ReasonName { Reason::KeyReused, "key-reused" },
    ReasonName { Reason::ShuttingDown, "shutting-down" },
    ReasonName { Reason::StorageFailed, "storage-failed" },
    ReasonName { Reason::StorageFull, "storage-full" },
    ReasonName { Reason::Damaged, "damaged" },
    ReasonName { Reason::Internal, "internal" },
};

std::string_view toString(Reason reason)
{
    for (const auto& entry : reasonNames) {
        if (entry.reason == reason)
            return entry.name;
    }
    return "internal";
}

Reason reasonFromString(std::string_view text)
{
    for (const auto& entry : reasonNames) {
        if (entry.name == text)
            return entry.reason;
    }
    return Reason::Internal;
}

Error Error::notRun(Reason reason, std::string detail)
{
    return Error { reason, Verdict::NotRun, std::move(detail) };
}

Error Error::mayHaveRun(Reason reason, std::string detail)
{
    return Error { reason, Verdict::MayHaveRun, std::move(detail) };
}

Error Error::ran(Reason reason, std::string detail)
{
    return Error { reason, Verdict::Ran, std::move(detail) };
}

Error Error::withRetryAfter(std::chrono::milliseconds delay) const
{
    auto copy = *this;
    copy.retryAfter = delay;
    return copy;
}

}
