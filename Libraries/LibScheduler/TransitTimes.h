#pragma once

#include <LibBase/Clock.h>
#include <map>
#include <string>

namespace Sassafrasshift::Scheduler {

/// Tells messages that were held up on their way, as by a partition or a process that stood still. Clocks of senders are not
/// set to each other: each message is compared with the quickest one of its sender in the last seconds.
class TransitTimes {
public:
    /// How much longer than the quickest recent message of its sender one was under way. A sender with another incarnation is
    /// a new one.
    [[nodiscard]] Milliseconds excessTransitTime(const std::string& sender, uint64_t incarnation, Milliseconds sentAt, Instant now);

private:
    struct Sender {
        uint64_t incarnation { 0 };
        Instant windowStart {};
        /// The least difference between the clocks that was seen in this window and in the one before.
        Milliseconds minimumDifference { 0 };
        Milliseconds previousMinimumDifference { 0 };
    };

    std::map<std::string, Sender> senders;
};

}
