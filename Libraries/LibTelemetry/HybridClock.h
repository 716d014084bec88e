#pragma once

#include <LibBase/Clock.h>
#include <compare>
#include <cstdint>

namespace Sassafrasshift::Telemetry {

/// A timestamp of a hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014).
struct HybridTime {
    /// Microseconds since the Unix epoch.
    int64_t wall { 0 };
    /// Orders timestamps that have the same wall time.
    uint32_t logical { 0 };

    friend auto operator<=>(const HybridTime&, const HybridTime&) = default;
};

/// Assigns timestamps that respect causality across processes: an event that causes another one gets the smaller timestamp.
class HybridClock {
public:
    explicit HybridClock(const Clock&);

    /// Returns the timestamp for an event of this process. It is greater than every timestamp returned or observed before.
    [[nodiscard]] HybridTime tick();

    /// Advances the clock to the timestamp of a received message, so that later events of this process are ordered after the
    /// event of sending the message.
    void observe(HybridTime);

private:
    const Clock& clock;
    HybridTime latest;
};

}
