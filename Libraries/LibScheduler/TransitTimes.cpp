#include <LibScheduler/TransitTimes.h>
#include <algorithm>

namespace Sassafrasshift::Scheduler {

// The length limits the effect of clock drift: clocks whose rates differ by 2 % diverge by 200 ms in one window.
static constexpr Milliseconds windowLength { 10'000 };
// Longer than a message may be held up on a connection that is kept.
static constexpr Milliseconds senderRetention { 120'000 };

void TransitTimes::forgetSilentSenders(Instant now)
{
    if (now < this->nextCleanup)
        return;
    this->nextCleanup = now + windowLength;
    std::erase_if(this->senders, [&](const auto& entry) { return now - entry.second.lastHeardAt > senderRetention; });
}

Milliseconds TransitTimes::excessTransitTime(const std::string& name, uint64_t incarnation, Milliseconds sentAt, Instant now)
{
    auto difference = std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()) - sentAt;
    this->forgetSilentSenders(now);
    auto [position, isNew] = this->senders.try_emplace({ name, incarnation }, Sender { now, now, difference, difference });
    if (isNew)
        return Milliseconds(0);
    auto& sender = position->second;
    sender.lastHeardAt = now;
    if (now - sender.windowStart > windowLength) {
        sender.previousMinimumDifference = sender.minimumDifference;
        sender.minimumDifference = difference;
        sender.windowStart = now;
    }
    sender.minimumDifference = std::min(sender.minimumDifference, difference);
    return difference - std::min(sender.minimumDifference, sender.previousMinimumDifference);
}

}
