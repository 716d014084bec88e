#pragma once

#include <LibBase/Verdict.h>
#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Sassafrasshift {

/// Why an operation was refused or failed. Each reason has a stable spelling that callers may match on; see toString().
enum class Reason {
    InvalidInput,
    NotFound,
    Conflict,
    TooLarge,
    Overloaded,
    DeadlineExceeded,
    Cancelled,
    NoConfiguration,
    NoTarget,
    CannotRun,
    QuotaExceeded,
    Unreachable,
    ConnectionLost,
    AnswerTruncated,
    TargetFailed,
    NotLeader,
    NoQuorum,
    KeyExpired,
    KeyReused,
    ShuttingDown,
    StorageFailed,
    StorageFull,
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
