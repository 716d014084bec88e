#pragma once

#include <LibBase/Clock.h>
#include <optional>

namespace Sassafrasshift::Scheduler {

/// Detects from the progress that a target reports whether a run stands still. The target itself may answer as usual meanwhile.
class StallDetector {
public:
    /// Records that the run is done to this part, in percent.
    void observe(int percent, Instant now);
    /// Whether the run has made no progress over the last observations.
    [[nodiscard]] bool isStalled() const;
    /// Whether the target has ever reported that a part of the run is done.
    [[nodiscard]] bool hasProgressed() const { return this->latest && this->latest->percent > 0; }

private:
    struct Observation {
        int percent { 0 };
        Instant since {};
        Instant lastSeenAt {};
    };

    std::optional<Observation> latest;
};

}
