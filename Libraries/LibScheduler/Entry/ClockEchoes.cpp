#include <LibScheduler/Entry/ClockEchoes.h>

namespace Sassafrasshift::Scheduler {

// Clocks whose rates differ by 2 % diverge by 200 ms in this time.
static constexpr Milliseconds maximumAge { 10'000 };

static ClockEcho makeEcho(uint64_t incarnation, Milliseconds reading, Milliseconds heardAt, Milliseconds sentAt)
{
    return ClockEcho { incarnation, reading.count(), (sentAt - heardAt).count() };
}

void ClockEchoes::forgetSilentMembers(Instant now)
{
    if (now < this->nextCleanup)
        return;
    this->nextCleanup = now + maximumAge;
    auto clock = std::chrono::duration_cast<Milliseconds>(now.time_since_epoch());
    std::erase_if(this->knownByMember, [&](const auto& entry) { return clock - entry.second.heardAt > maximumAge; });
}

void ClockEchoes::observe(const std::string& member, uint64_t incarnation, Milliseconds reading, Instant now)
{
    this->forgetSilentMembers(now);
    auto heardAt = std::chrono::duration_cast<Milliseconds>(now.time_since_epoch());
    auto [position, isNew] = this->knownByMember.try_emplace(member, Known { incarnation, reading, heardAt });
    auto& known = position->second;
    // A reading that was in transit for longer than an earlier one says less.
    bool isBetter = known.incarnation != incarnation || makeEcho(incarnation, reading, heardAt, heardAt).earliestSentAt() >= makeEcho(incarnation, known.reading, known.heardAt, heardAt).earliestSentAt();
    if (!isNew && isBetter)
        known = Known { incarnation, reading, heardAt };
}

ClockEcho ClockEchoes::echoFor(const std::string& member, Milliseconds sentAt) const
{
    auto position = this->knownByMember.find(member);
    if (position == this->knownByMember.end() || sentAt - position->second.heardAt > maximumAge)
        return {};
    const auto& known = position->second;
    return makeEcho(known.incarnation, known.reading, known.heardAt, sentAt);
}

}
