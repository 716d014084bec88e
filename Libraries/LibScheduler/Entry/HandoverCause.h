#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Sassafrasshift::Scheduler {

/// Why an entry host hands a job over, and which dispatcher had it before.
struct HandoverCause {
    enum class Kind {
        /// No dispatcher has had the job yet.
        First,
        /// The shard has another dispatcher, or none.
        DispatcherChanged,
        /// The former dispatcher has not answered for the silence timeout.
        DispatcherSilent,
        /// The former dispatcher answered that it does not know the job.
        UnknownThere,
        Refused,
        /// The home of the job has agreed to the shard that the entry host prefers.
        Placed,
        /// The home of the job has chosen another shard.
        PlacedOtherwise,
        /// The home did not answer the last request.
        RequestUnanswered,
        /// The shard that the home had chosen knows of a later home.
        PlacementOutdated,
    };

    Kind kind { Kind::First };
    /// The shard and the address of the former dispatcher.
    std::string shard;
    std::string dispatcher;
    /// If the former dispatcher refused the job, its reason and the number of runs that it knows of.
    std::string refusal;
    uint32_t knownRuns { 0 };

    friend auto operator<=>(const HandoverCause&, const HandoverCause&) = default;
};

/// The spelling for logs, which is stable.
[[nodiscard]] std::string_view toText(HandoverCause::Kind);

}
