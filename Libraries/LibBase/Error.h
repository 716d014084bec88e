#pragma once

#include <LibBase/Verdict.h>
#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Sassafrasshift {

/// Why an operation was refused, failed or was canceled. Each reason has a stable spelling that callers may match on; see
/// toString().
enum class Reason {
    InvalidInput,
    NotFound,
    Conflict,
    TooLarge,
    Overloaded,
    DeadlineExceeded,
    Cancelled,
    NoConfiguration,
    /// No live target of the pool is known.
    NoTarget,
    /// No live target of the pool has the resources that the work needs.
    CannotRun,
    QuotaExceeded,
    /// No connection could be established.
    Unreachable,
    /// The connection, or the process that was running the work, was lost before a response arrived.
    ConnectionLost,
    /// The response ended early, or did not declare its length, so that its end could not be detected.
    AnswerTruncated,
    /// A target refused the work, reported that it failed, or returned a response that cannot be used.
    TargetFailed,
    NotLeader,
    NoQuorum,
    /// The key of a job is older than the time for which keys are retained.
    KeyExpired,
    /// The key belongs to a job with other content.
    KeyReused,
    ShuttingDown,
    StorageFailed,
    StorageFull,
    /// Stored data is corrupt.
    Damaged,
    Internal,
};

/// The stable spelling of a reason, such as "deadline-exceeded".
[[nodiscard]] std::string_view toString(Reason);

/// The reason with the given spelling, or Reason::Internal if the spelling is unknown.
[[nodiscard]] Reason reasonFromString(std::string_view);

/// A refusal or a failure, together with a verdict on whether the work that it concerns may have run.
struct Error {
    Reason reason { Reason::Internal };
    Verdict verdict { Verdict::NotRun };
    /// A human-readable description.
    std::string detail;
    /// How long a caller should wait before it tries again; empty if trying again does not help.
    std::optional<std::chrono::milliseconds> retryAfter {};

    [[nodiscard]] static Error notRun(Reason, std::string detail);
    [[nodiscard]] static Error mayHaveRun(Reason, std::string detail);
    [[nodiscard]] static Error ran(Reason, std::string detail);
    [[nodiscard]] Error withRetryAfter(std::chrono::milliseconds) const;

    friend auto operator<=>(const Error&, const Error&) = default;
};

template <typename Value>
using ErrorOr = tl::expected<Value, Error>;

}
