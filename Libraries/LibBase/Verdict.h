#pragma once

#include <optional>
#include <string_view>

namespace Sassafrasshift {

/// Whether the work of a request, a task or a change may have run.
enum class Verdict {
    /// It is certain that the work did not run and will not run later.
    NotRun,
    /// The outcome is unknown: the work may have run, or may still run.
    MayHaveRun,
    /// The work ran.
    Ran,
};

/// The stable spelling used in headers, problem bodies and logs: "not-run", "may-have-run" or "ran".
[[nodiscard]] std::string_view toString(Verdict);

/// The verdict with the given spelling, or nothing if the spelling is unknown.
[[nodiscard]] std::optional<Verdict> verdictFromString(std::string_view);

}
