#pragma once

#include <LibBase/Clock.h>
#include <map>
#include <string>

namespace Sassafrasshift::Scheduler {

/// Detects messages that were delayed in transit, for example by a network partition or a paused process. The clocks of hosts are
/// not synchronized, so each message is compared with the fastest recent message of the same sender.
class TransitTimes {
public:
    /// Records a message, and returns how much longer it was in transit than the fastest one from its sender in the current and
    /// the previous window. A sender with a new incarnation is treated as a new sender. `sentAt` is on the sender's clock.
    [[nodiscard]] Milliseconds excessTransitTime(const std::string& sender, uint64_t incarnation, Milliseconds sentAt, Instant now);

private:
    struct Sender {
        uint64_t incarnation { 0 };
        Instant windowStart {};
        /// The smallest difference between time of receipt and time of sending in the current window, and in the previous one.
        Milliseconds minimumDifference { 0 };
        Milliseconds previousMinimumDifference { 0 };
    };

    std::map<std::string, Sender> senders;
};

}
