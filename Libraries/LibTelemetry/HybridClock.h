#pragma once

#include <LibBase/Clock.h>
#include <compare>
#include <cstdint>

namespace Sassafrasshift::Telemetry {

/// A reading of a hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014).
struct HybridTime {
    /// Microseconds since the epoch.
    int64_t wall { 0 };
    uint32_t logical { 0 };

    friend auto operator<=>(const HybridTime&, const HybridTime&) = default;
};

/// Orders the events of all processes: an event that causes another one has the smaller reading.
class HybridClock {
public:
    explicit HybridClock(const Clock&);

    /// A reading for an event of this process.
    [[nodiscard]] HybridTime tick();

    /// Takes in the reading that came with a message.
    void observe(HybridTime);

private:
    const Clock& clock;
    HybridTime latest;
};

}
