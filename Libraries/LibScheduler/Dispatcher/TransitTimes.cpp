#include <LibScheduler/Dispatcher/TransitTimes.h>
#include <algorithm>

namespace Sassafrasshift::Scheduler {

// The length limits the effect of clock drift: clocks whose rates differ by 2 % diverge by 200 ms in one window.
static constexpr Milliseconds windowLength { 10'000 };
// Longer than a message may be held up on a connection that is kept.
static constexpr Milliseconds senderRetention { 120'000 };
// Longer than a link that does not carry messages keeps them.
static constexpr Milliseconds confirmationTime { 1000 };

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
    auto [position, isNew] = this->senders.try_emplace({ name, incarnation }, Sender { now, now, difference, difference, now, sentAt, false });
    if (isNew)
        return Milliseconds(0);
    auto& sender = position->second;
    sender.lastHeardAt = now;
    sender.isConfirmed = sender.isConfirmed || (now - sender.firstHeardAt >= confirmationTime && sentAt - sender.firstSentAt >= confirmationTime);
    if (now - sender.windowStart > windowLength) {
        sender.previousMinimumDifference = sender.minimumDifference;
        sender.minimumDifference = difference;
        sender.windowStart = now;
    }
    sender.minimumDifference = std::min(sender.minimumDifference, difference);
    return difference - std::min(sender.minimumDifference, sender.previousMinimumDifference);
}

bool TransitTimes::isConfirmed(const std::string& name, uint64_t incarnation) const
{
    auto position = this->senders.find({ name, incarnation });
    return position != this->senders.end() && position->second.isConfirmed;
}

}
