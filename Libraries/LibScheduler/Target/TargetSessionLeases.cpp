#include <LibScheduler/Target/TargetSession.h>
#include <algorithm>

// The leases of the runs on a target: how long they may be granted, and when all of them have expired.
namespace Sassafrasshift::Scheduler {

// Another dispatcher may have obtained leases from the target until now. They are unknown here, so each is assumed to be as long
// as dispatchers request, whatever the settings of this one, and as a target grants: an order for an earlier process of the target
// may have been obeyed by the present one, on another clock.
void TargetSession::assumeUnknownLeases(Instant now)
{
    this->unknownLeasesEndAt = std::max(this->unknownLeasesEndAt, now + this->allowingForDrift(std::max(this->options.maximumLease, this->options.maximumLeaseOfOthers)));
    this->unknownGrantsEndAt = std::max(this->unknownGrantsEndAt, now + this->allowingForDrift(this->options.maximumGrantedLease));
}

Instant TargetSession::latestRunEnd(const JobLease& lease) const
{
    return lease.lastExtendedAt + this->options.maximumRunTimeAfterExtension;
}

// Returns until when all runs that may be on the target may continue, but no later than `maximumLease` from now. While the target
// is not claimed, or has runs that are not adopted, nothing is known of the leases of their jobs. A target that has not answered
// gets no lease, since its runs could not be taken as ended for as long as an order with a lease may reach it. Nor does a target with a
// run that is being stopped, so that the run ends soon even if the stop order is lost.
Instant TargetSession::permittedLeaseEnd(Instant now) const
{
    if (this->phase != Phase::Claimed || this->unansweredHolds > 0)
        return now;
    auto end = this->knownRuns.forbidsExtension() ? now : now + this->options.maximumLease;
    for (const auto& [lease, runs] : this->knownRuns.jobLeases())
        end = std::min(end, this->latestRunEnd(*lease));
    return end;
}

// Returns the end of the permitted lease on the target's clock, in milliseconds, or zero if the target already has such a lease or
// its clock is unknown. The lease is recorded as granted, because the order may reach the target even if no answer arrives.
int64_t TargetSession::grantLease(Instant now)
{
    auto permittedEnd = this->permittedLeaseEnd(now);
    this->isLeaseLimited = permittedEnd < now + this->options.maximumLease;
    if (!this->clock || permittedEnd <= now)
        return 0;
    // The target's clock may be slow, so less time passes on it.
    auto untilEnd = std::chrono::duration_cast<Milliseconds>(permittedEnd - this->clockReadAt) * (100 - this->options.clockDriftPercent) / 100;
    auto end = *this->clock + untilEnd.count();
    if (end <= this->latestLeaseEnd)
        return 0;
    this->latestLeaseEnd = end;
    this->lastLeaseOrderAt = now;
    return end;
}

void TargetSession::observeClock(int64_t reading, Instant now)
{
    this->clock = reading;
    this->clockReadAt = now;
}

// Returns when all leases that the target may have granted have expired, even if its clock is as slow as `clockDriftPercent`
// permits.
Instant TargetSession::leasesExpireAt() const
{
    if (!this->clock)
        return this->unknownLeasesEndAt;
    auto remaining = this->allowingForDrift(Milliseconds(this->latestLeaseEnd - *this->clock));
    return std::max(this->unknownLeasesEndAt, this->clockReadAt + remaining + Milliseconds(1));
}

// Returns when the leases have expired that this session asked for. After a restart of the target their ends on its clock are unknown.
Instant TargetSession::askedLeasesExpireAt() const
{
    if (!this->clock || this->latestLeaseEnd == 0)
        return this->lastLeaseOrderAt + this->allowingForDrift(this->options.maximumLease);
    return this->clockReadAt + this->allowingForDrift(Milliseconds(this->latestLeaseEnd - *this->clock));
}

bool TargetSession::haveLeasesExpired(Instant now) const
{
    if (now < this->unknownGrantsEndAt)
        return false;
    // A process that has replaced the target may have obeyed the start order, and reads the lease on its own clock.
    if (this->knownRuns.hasUnconfirmedStart() && now < this->lastLeaseOrderAt + this->allowingForDrift(this->options.maximumGrantedLease))
        return false;
    return now >= this->leasesExpireAt();
}

bool TargetSession::canLease(const JobLease& lease, Instant now) const
{
    auto latestEnd = this->latestRunEnd(lease);
    auto sufficient = this->options.maximumLease / 2;
    bool isSufficient = this->untilLeaseEnd(now) >= sufficient || std::min(this->permittedLeaseEnd(now), latestEnd) >= now + sufficient;
    return this->unansweredHolds == 0 && isSufficient && this->leasesExpireAt() <= latestEnd;
}

// Extends the leases once that is possible without limits, even while the target delays its answer to another hold order.
void TargetSession::extendLeaseIfDue(Instant now)
{
    bool canExtend = this->isLeaseLimited && this->clock && !this->knownRuns.isEmpty() && this->permittedLeaseEnd(now) >= now + this->options.maximumLease;
    if (!canExtend)
        return;
    if (!this->openHold)
        this->sendHold(now);
    else if (!this->openProbe)
        this->sendProbe(now);
}

Milliseconds TargetSession::untilLeaseEnd(Instant now) const
{
    if (!this->clock || this->latestLeaseEnd == 0)
        return Milliseconds(0);
    return Milliseconds(this->latestLeaseEnd - *this->clock) - std::chrono::duration_cast<Milliseconds>(now - this->clockReadAt);
}

}
