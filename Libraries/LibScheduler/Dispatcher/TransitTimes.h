#pragma once

#include <LibBase/Clock.h>
#include <map>
#include <string>
#include <utility>

namespace Sassafrasshift::Scheduler {

/// Detects messages that were delayed in transit, for example by a network partition or a paused process. The clocks of hosts are
/// not synchronized, so each message is compared with the fastest recent message of the same sender.
class TransitTimes {
public:
    /// Records a message, and returns how much longer it was in transit than the fastest one from its sender in the current and
    /// the previous window. Each incarnation of a sender is a sender of its own. `sentAt` is on the sender's clock.
    [[nodiscard]] Milliseconds excessTransitTime(const std::string& sender, uint64_t incarnation, Milliseconds sentAt, Instant now);
    /// Whether messages of a sender have arrived over some time. Until then, all of them may have been delayed alike, so that the comparison
    /// shows nothing.
    [[nodiscard]] bool isConfirmed(const std::string& sender, uint64_t incarnation) const;

private:
    struct Sender {
        Instant windowStart {};
        Instant lastHeardAt {};
        /// The smallest difference between time of receipt and time of sending in the current window, and in the previous one.
        Milliseconds minimumDifference { 0 };
        Milliseconds previousMinimumDifference { 0 };
        Instant firstHeardAt {};
        Milliseconds firstSentAt { 0 };
        bool isConfirmed { false };
    };

    void forgetSilentSenders(Instant now);

    /// By name and incarnation. Messages of an earlier incarnation may arrive after those of a later one.
    std::map<std::pair<std::string, uint64_t>, Sender> senders;
    Instant nextCleanup {};
};

}
