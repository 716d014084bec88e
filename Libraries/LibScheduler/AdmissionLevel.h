#pragma once

#include <LibTransport/CodecFields.h>
#include <compare>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace Sassafrasshift::Scheduler {

/// Which jobs a dispatcher admits while its event loop is late: all jobs of more urgent priorities than `priority`, and a fraction of those
/// of this one. The default admits all jobs.
struct AdmissionLevel {
    int64_t priority { std::numeric_limits<int64_t>::max() };
    /// The admitted fraction of the jobs of `priority`, in thousandths.
    uint32_t permille { 1000 };

    [[nodiscard]] bool admitsAll() const { return *this == AdmissionLevel {}; }
    /// The name of a job decides whether it is in the admitted fraction, so that all entry hosts and dispatchers decide alike.
    [[nodiscard]] bool admits(int64_t jobPriority, std::string_view job) const;

    CODEC_FIELDS(priority, permille);
    friend auto operator<=>(const AdmissionLevel&, const AdmissionLevel&) = default;
};

/// The reason of a refusal because the event loop of the dispatcher is late. Nothing of the job has run.
inline constexpr std::string_view dispatcherOverloaded = "dispatcher-overloaded";

}
