#include <LibScheduler/TransitTimes.h>
#include <algorithm>

namespace Sassafrasshift::Scheduler {

// The length limits the effect of clock drift: clocks whose rates differ by 2 % diverge by 200 ms in one window.
static constexpr Milliseconds windowLength { 10'000 };

Milliseconds TransitTimes::excessTransitTime(const std::string& name, uint64_t incarnation, Milliseconds sentAt, Instant now)
{
    auto difference = std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()) - sentAt;
    auto [position, isNew] = this->senders.try_emplace(name);
    auto& sender = position->second;
    if (isNew || sender.incarnation != incarnation) {
        sender = Sender { incarnation, now, difference, difference };
        return Milliseconds(0);
    }
    if (now - sender.windowStart > windowLength) {
        sender.previousMinimumDifference = sender.minimumDifference;
        sender.minimumDifference = difference;
        sender.windowStart = now;
    }
    sender.minimumDifference = std::min(sender.minimumDifference, difference);
    return difference - std::min(sender.minimumDifference, sender.previousMinimumDifference);
}

}
