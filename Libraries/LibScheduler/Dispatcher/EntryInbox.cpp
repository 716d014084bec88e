#include <LibScheduler/Dispatcher/EntryInbox.h>
#include <algorithm>

namespace Sassafrasshift::Scheduler {

// Together with the interval of renewals, it is below the entry lease, so that a lease does not expire while renewals arrive.
static constexpr Milliseconds maximumLeaseAge { 300 };

EntryInbox::EntryInbox(Milliseconds maximumTransitTime, uint64_t ownIncarnation)
    : maximumTransitTime(maximumTransitTime)
    , ownIncarnation(ownIncarnation)
{
}

std::optional<Milliseconds> EntryInbox::leaseAge(const std::string& entry, uint64_t incarnation, Milliseconds sentAt, const ClockEcho& echo, Instant now)
{
    this->lastExcess = this->transitTimes.excessTransitTime(entry, incarnation, sentAt, now);
    if (this->lastExcess > this->maximumTransitTime)
        return {};
    // Entry hosts of an earlier version echo nothing.
    if (echo.isEmpty() || this->transitTimes.isConfirmed(entry, incarnation))
        return Milliseconds(0);
    // The message was meant for another process.
    if (echo.incarnation != this->ownIncarnation)
        return {};
    auto longestTransitTime = std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()) - echo.earliestSentAt();
    auto age = std::max(longestTransitTime - this->maximumTransitTime, Milliseconds(0));
    if (age <= maximumLeaseAge)
        return age;
    this->lastExcess = longestTransitTime;
    return {};
}

Milliseconds EntryInbox::observe(const std::string& member, uint64_t incarnation, Milliseconds sentAt, Instant now)
{
    return this->transitTimes.excessTransitTime(member, incarnation, sentAt, now);
}

bool EntryInbox::submit(JobHome& home, TaskScheduler& scheduler, const std::string& from, const Submission& submission, Instant now)
{
    const auto& entry = submission.placement.entry.empty() ? from : submission.placement.entry;
    auto age = this->leaseAge(entry, submission.entryIncarnation, Milliseconds(submission.sentAt), submission.echo, now);
    if (!age)
        return false;
    home.submit(scheduler, from, submission, now, *age);
    return true;
}

std::optional<std::vector<std::string>> EntryInbox::renew(JobHome& home, TaskScheduler& scheduler, const std::string& entry, const RenewSubmissions& renewal, Instant now)
{
    auto age = this->leaseAge(entry, renewal.entryIncarnation, Milliseconds(renewal.sentAt), renewal.echo, now);
    if (!age)
        return {};
    return home.renew(scheduler, entry, renewal, now, *age);
}

}
