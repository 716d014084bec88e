#pragma once

#include <optional>
#include <string_view>

namespace Sassafrasshift {

/// Says whether the work of a request, a task or a change may have run.
enum class Verdict {
    /// It is proved that the work did not run and will not run.
    NotRun,
    /// Nothing is known: the work may have run, or may still run.
    MayHaveRun,
    /// The work ran.
    Ran,
};

/// The stable spelling used in headers, problem bodies and logs: "not-run", "may-have-run" or "ran".
[[nodiscard]] std::string_view toString(Verdict);

/// The verdict with this spelling, or nothing where there is none.
[[nodiscard]] std::optional<Verdict> verdictFromString(std::string_view);

}
