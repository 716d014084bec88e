#include <LibScheduler/TargetSession.h>
#include <algorithm>
#include <utility>

namespace Sassafrasshift::Scheduler {

// The first duration of an ejection, during which a target gets no new runs (outlier ejection). The duration doubles with each
// consecutive failure beyond the threshold.
static constexpr Milliseconds baseEjectionTime { 250 };
static constexpr Milliseconds maximumEjectionTime { 4000 };
// The number of consecutive failures after which a target is ejected, and of unanswered hold orders after which it is reported
// as silent and ejected.
static constexpr int failureThreshold { 2 };
static constexpr Milliseconds stopRetryInterval { 120 };

TargetSession::TargetSession(Membership::TargetReport report, uint64_t fence, LeaseOptions options, Instant now)
    : report(std::move(report))
    , options(options)
    , fence(fence)
{
    // The numbers start at the current time, so that they differ from those of an earlier session with the same target. Answers
    // to that session may still arrive.
    this->nextHoldNumber = static_cast<uint64_t>(now.time_since_epoch().count());
    this->reclaim(fence, now);
}

TargetInstance TargetSession::instance() const
{
    return TargetInstance { this->report.identity, this->report.incarnation, this->report.address };
}

void TargetSession::updateReport(const Membership::TargetReport& latest)
{
    if (latest.sequence >= this->report.sequence)
        this->report = latest;
}

void TargetSession::reclaim(uint64_t token, Instant now)
{
    if (this->phase == Phase::Gone)
        return;
    this->fence = token;
    this->phase = Phase::Claiming;
    this->openHold.reset();
    this->openProbe.reset();
    this->nextHold = now;
    this->assumeUnknownLeases(now);
    this->sendHold(now);
}

// Another dispatcher may have obtained leases from the target until now. They are unknown here, so each is assumed to be as long
// as possible.
void TargetSession::assumeUnknownLeases(Instant now)
{
    this->unknownLeasesEndAt = std::max(this->unknownLeasesEndAt, now + this->options.maximumLease * (100 + this->options.clockDriftPercent) / 100);
}

bool TargetSession::canStartRuns(Instant now) const
{
    return this->phase == Phase::Claimed && this->runsWithUnknownNeeds == 0 && !this->hasUnansweredStart && this->clock && now >= this->ejectedUntil
        && this->report.state == Membership::TargetState::Serving;
}

uint32_t TargetSession::countRuns(const std::string& job) const
{
    uint32_t count = 0;
    for (auto position = this->knownRuns.lower_bound(RunId { TaskId { job, 0, 0, 0 }, 0 }); position != this->knownRuns.end() && position->first.task.job == job; ++position)
        ++count;
    return count;
}

Instant TargetSession::latestRunEnd(const JobLease& lease) const
{
    return lease.lastExtendedAt + this->options.maximumRunTimeAfterExtension;
}

// Returns until when all runs that may be on the target may continue, but no later than `maximumLease` from now. While the target
// is not claimed, or has runs that are not adopted, nothing is known of the leases of their jobs.
Instant TargetSession::permittedLeaseEnd(Instant now) const
{
    if (this->phase != Phase::Claimed)
        return now;
    auto end = now + this->options.maximumLease;
    for (const auto& [id, run] : this->knownRuns)
        end = std::min(end, run.jobLease ? this->latestRunEnd(*run.jobLease) : now);
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
    auto remaining = Milliseconds(this->latestLeaseEnd - *this->clock) * (100 + this->options.clockDriftPercent) / 100;
    return std::max(this->unknownLeasesEndAt, this->clockReadAt + remaining + Milliseconds(1));
}

bool TargetSession::haveLeasesExpired(Instant now) const
{
    return now >= this->leasesExpireAt();
}

bool TargetSession::canLease(const JobLease& lease, Instant now) const
{
    auto latestEnd = this->latestRunEnd(lease);
    return this->leasesExpireAt() <= latestEnd && std::min(this->permittedLeaseEnd(now), latestEnd) >= now + this->options.maximumLease / 2;
}

TargetSession::OpenHold TargetSession::makeHold(Milliseconds wait, Instant now)
{
    OpenHold hold { this->nextHoldNumber++, now };
    this->orders.holds.push_back(HoldOrder { this->instance(), hold.number, this->fence, this->lastEndSeen, this->grantLease(now), wait });
    this->lastEndAcknowledged = this->lastEndSeen;
    return hold;
}

void TargetSession::sendHold(Instant now)
{
    bool waitsForEnd = this->phase == Phase::Claimed && this->clock;
    this->openHold = this->makeHold(waitsForEnd ? this->options.holdWait : Milliseconds(0), now);
}

// Asks the target for its current runs, which it reports immediately even while it delays the answer to another hold order.
void TargetSession::sendProbe(Instant now)
{
    this->openProbe = this->makeHold(Milliseconds(0), now);
}

// Extends the leases once that is possible without limits, even while the target delays its answer to another hold order.
void TargetSession::extendLeaseIfDue(Instant now)
{
    bool canExtend = this->isLeaseLimited && this->clock && !this->knownRuns.empty() && this->permittedLeaseEnd(now) >= now + this->options.maximumLease;
    if (!canExtend)
        return;
    if (!this->openHold)
        this->sendHold(now);
    else if (!this->openProbe)
        this->sendProbe(now);
}

void TargetSession::start(const RunId& id, const Catalog::Resources& needs, const std::string& payload, std::shared_ptr<const JobLease> jobLease, Instant now)
{
    Run run;
    run.needs = needs;
    run.jobLease = std::move(jobLease);
    run.discoveredAt = now;
    this->knownRuns.emplace(id, run);
    this->used = this->used.plus(needs);
    (void)this->grantLease(now);
    this->orders.starts.push_back(StartOrder { this->instance(), this->fence, id, payload, this->latestLeaseEnd });
}

void TargetSession::sendStop(const RunId& id, Run& run, Instant now)
{
    run.stopSentAt = now;
    if (run.stopOrders++ == 0)
        run.firstStopSentAt = now;
    this->orders.stops.push_back(StopOrder { this->instance(), this->fence, id });
}

void TargetSession::stop(const RunId& id, Instant now)
{
    auto position = this->knownRuns.find(id);
    if (position == this->knownRuns.end() || position->second.state == RunState::Stopping || position->second.state == RunState::Uncertain)
        return;
    position->second.state = RunState::Stopping;
    this->sendStop(id, position->second, now);
}

void TargetSession::adopt(const RunId& id, const Catalog::Resources& needs, std::shared_ptr<const JobLease> jobLease, Instant now)
{
    auto position = this->knownRuns.find(id);
    if (position == this->knownRuns.end() || position->second.state != RunState::Unadopted)
        return;
    position->second.state = RunState::Running;
    position->second.jobLease = std::move(jobLease);
    this->setNeeds(position->second, needs);
    this->extendLeaseIfDue(now);
}

void TargetSession::setNeeds(Run& run, const Catalog::Resources& needs)
{
    --this->runsWithUnknownNeeds;
    run.needsKnown = true;
    run.needs = needs;
    this->used = this->used.plus(needs);
}

RunEvidence TargetSession::evidence(const Run& run, RunEndProof proof, Instant now) const
{
    RunEvidence evidence { proof, this->report.incarnation, this->fence, run.stopOrders, Milliseconds(0), Milliseconds(0) };
    if (run.firstStopSentAt)
        evidence.sinceFirstStop = std::chrono::duration_cast<Milliseconds>(now - *run.firstStopSentAt);
    if (this->clock && this->latestLeaseEnd > 0)
        evidence.untilLeaseEnd = Milliseconds(this->latestLeaseEnd - *this->clock) - std::chrono::duration_cast<Milliseconds>(now - this->clockReadAt);
    return evidence;
}

void TargetSession::finish(std::map<RunId, Run>::iterator position, std::optional<RunEnd> end, RunEndProof proof, Instant now, bool staleNumber)
{
    const auto& run = position->second;
    if (!run.needsKnown)
        --this->runsWithUnknownNeeds;
    this->used = this->used.minus(run.needs);
    // If the preceding hold orders were not answered, the run may have ended long before now.
    bool isKnown = run.startedAt != Instant {} && this->unansweredHolds == 0;
    auto duration = isKnown ? std::chrono::duration_cast<Milliseconds>(now - run.startedAt) : Milliseconds(0);
    this->events.push_back(Event { Event::Kind::Ended, position->first, end, staleNumber, duration, this->evidence(run, proof, now) });
    this->knownRuns.erase(position);
}

void TargetSession::addEvent(Event::Kind kind, const RunId& run)
{
    this->events.push_back(Event { kind, run, {}, false, {}, {} });
}

void TargetSession::finishAll(std::optional<RunEnd> end, RunEndProof proof, Instant now)
{
    while (!this->knownRuns.empty())
        this->finish(this->knownRuns.begin(), end, proof, now);
}

void TargetSession::markGone(Instant now)
{
    this->phase = Phase::Gone;
    this->openHold.reset();
    this->finishAll({}, RunEndProof::TargetGone, now);
    this->addEvent(Event::Kind::Gone);
}

void TargetSession::eject(Milliseconds duration, Instant now)
{
    this->ejectedUntil = std::max(this->ejectedUntil, now + duration);
}

void TargetSession::countFailure(Instant now)
{
    ++this->consecutiveFailures;
    if (this->consecutiveFailures < failureThreshold)
        return;
    int doublings = std::min(this->consecutiveFailures - failureThreshold, 4);
    this->eject(std::min(baseEjectionTime * (1 << doublings), maximumEjectionTime), now);
}

void TargetSession::onRefusal(OrderRefusal reason, Instant now)
{
    switch (reason) {
    case OrderRefusal::Fenced:
        if (this->phase != Phase::Fenced && this->phase != Phase::Gone) {
            this->phase = Phase::Fenced;
            this->openHold.reset();
            this->addEvent(Event::Kind::Fenced);
        }
        return;
    case OrderRefusal::OtherIncarnation:
        this->markGone(now);
        return;
    case OrderRefusal::Unhealthy:
        this->countFailure(now);
        this->eject(baseEjectionTime, now);
        return;
    case OrderRefusal::LeaseExpired:
    case OrderRefusal::InsufficientCapacity:
        // The state recorded here is wrong. No run is started before the target has reported its runs again.
        if (this->phase == Phase::Claimed)
            this->reclaim(this->fence, now);
        return;
    case OrderRefusal::StaleRun:
    case OrderRefusal::Malformed:
        return;
    }
}

void TargetSession::onHoldAnswer(uint64_t number, const HoldAnswer& answer, Instant now)
{
    bool isProbe = this->openProbe && this->openProbe->number == number;
    bool isHold = this->openHold && this->openHold->number == number;
    if ((!isProbe && !isHold) || this->phase == Phase::Gone)
        return;
    auto hold = *std::exchange(isProbe ? this->openProbe : this->openHold, std::nullopt);
    if (const auto* list = std::get_if<RunList>(&answer)) {
        this->applyHoldAnswer(hold, *list, now);
        this->nextHold = now;
        return;
    }
    if (const auto* refused = std::get_if<Refused>(&answer)) {
        this->nextHold = now + this->options.claimRetryInterval;
        this->onRefusal(refused->reason, now);
        return;
    }
    if (isHold)
        this->onUnansweredHold(now);
}

void TargetSession::applyHoldAnswer(const OpenHold& hold, const RunList& list, Instant now)
{
    if (!list.incarnation.empty() && list.incarnation != this->report.incarnation)
        this->onRestart(list.incarnation);
    this->observeClock(list.clock, now);
    // Another dispatcher may have renewed the leases of runs on this target until it answered.
    if (this->phase != Phase::Claimed)
        this->assumeUnknownLeases(now);
    if (this->phase != Phase::Claimed || this->unansweredHolds >= failureThreshold)
        this->addEvent(Event::Kind::Answering);
    this->phase = Phase::Claimed;
    this->applyRunList(list, hold.sentAt, now);
    this->unansweredHolds = 0;
    this->hasUnansweredStart = false;
}

void TargetSession::onUnansweredHold(Instant now)
{
    ++this->unansweredHolds;
    this->nextHold = now + (this->knownRuns.empty() ? this->options.claimRetryInterval : Milliseconds(0));
    if (this->unansweredHolds == failureThreshold)
        this->addEvent(Event::Kind::Silent);
    if (this->unansweredHolds >= failureThreshold)
        this->eject(this->options.claimRetryInterval, now);
}

// Called when another process answers under the same identity. It does not know the earlier runs, and its sequence numbers start
// again.
void TargetSession::onRestart(const std::string& incarnation)
{
    this->report.incarnation = incarnation;
    this->report.sequence = 0;
    this->lastEndSeen = 0;
    this->lastEndAcknowledged = 0;
    this->latestLeaseEnd = 0;
}

void TargetSession::applyRunList(const RunList& list, Instant sentAt, Instant now)
{
    for (const auto& ended : list.ended) {
        this->lastEndSeen = std::max(this->lastEndSeen, ended.sequence);
        auto position = this->knownRuns.find(ended.run);
        if (position == this->knownRuns.end())
            continue;
        if (ended.end == RunEnd::Failed)
            this->countFailure(now);
        else if (ended.end == RunEnd::Done)
            this->consecutiveFailures = 0;
        this->finish(position, ended.end, RunEndProof::Listed, now);
    }
    this->applyRunningRuns(list, sentAt, now);
}

void TargetSession::applyRunningRuns(const RunList& list, Instant sentAt, Instant now)
{
    std::set<RunId> running(list.running.begin(), list.running.end());
    for (const auto& id : running) {
        auto [position, isNew] = this->knownRuns.try_emplace(id);
        position->second.lastReportedRunningAt = now;
        if (!isNew)
            continue;
        position->second.state = RunState::Unadopted;
        position->second.needs = Catalog::Resources { 0, 0, 0 };
        position->second.needsKnown = false;
        position->second.discoveredAt = now;
        ++this->runsWithUnknownNeeds;
        this->addEvent(Event::Kind::Discovered, id);
    }
    std::vector<RunId> absent;
    for (const auto& [id, run] : this->knownRuns) {
        if (running.contains(id))
            continue;
        // A run that is missing from the answer has ended if the target reported the run earlier, or confirmed its start or stop
        // order before the hold order was sent. Otherwise the start order may still be in transit.
        bool wasConfirmed = (run.state == RunState::Running && run.startedAt < sentAt) || run.state == RunState::Unadopted
            || (run.stopConfirmedAt && *run.stopConfirmedAt <= sentAt);
        if (wasConfirmed)
            absent.push_back(id);
    }
    for (const auto& id : absent)
        this->finish(this->knownRuns.find(id), {}, RunEndProof::Absent, now);
}

void TargetSession::onStartAnswer(const RunId& id, const OrderAnswer& answer, Instant now)
{
    auto position = this->knownRuns.find(id);
    if (position == this->knownRuns.end())
        return;
    auto& run = position->second;
    if (const auto* acknowledged = std::get_if<Acknowledged>(&answer)) {
        this->observeClock(acknowledged->clock, now);
        run.startedAt = now;
        if (run.state == RunState::Starting)
            run.state = RunState::Running;
        return;
    }
    if (const auto* refused = std::get_if<Refused>(&answer)) {
        this->finish(position, {}, RunEndProof::StartRefused, now, refused->reason == OrderRefusal::StaleRun);
        this->onRefusal(refused->reason, now);
        return;
    }
    this->countFailure(now);
    if (std::get<Unanswered>(answer).verdict == Verdict::NotRun) {
        this->eject(baseEjectionTime, now);
        this->finish(position, {}, RunEndProof::StartNotSent, now);
        return;
    }
    this->hasUnansweredStart = true;
    this->addEvent(Event::Kind::StartUnanswered, id);
    // Once the target has confirmed the stop order, it refuses a start order that arrives later.
    run.state = RunState::Uncertain;
    this->sendStop(id, run, now);
}

void TargetSession::onStopAnswer(const RunId& id, const OrderAnswer& answer, Instant now)
{
    auto position = this->knownRuns.find(id);
    if (std::holds_alternative<Acknowledged>(answer)) {
        if (position != this->knownRuns.end())
            position->second.stopConfirmedAt = now;
        if (position != this->knownRuns.end() && !this->openProbe)
            this->sendProbe(now);
        return;
    }
    if (const auto* refused = std::get_if<Refused>(&answer))
        this->onRefusal(refused->reason, now);
}

// Returns whether a hold order is needed to renew leases, to acknowledge the ends of runs, or to claim the target.
bool TargetSession::needsHold() const
{
    return !this->knownRuns.empty() || this->lastEndSeen > this->lastEndAcknowledged || this->phase == Phase::Claiming;
}

void TargetSession::tick(Instant now)
{
    if (this->phase == Phase::Gone)
        return;
    auto holdTimeout = this->options.holdWait + this->options.answerTimeout + Milliseconds(50);
    for (auto open : { this->openHold, this->openProbe }) {
        if (open && now >= open->sentAt + holdTimeout)
            this->onHoldAnswer(open->number, Unanswered {}, now);
    }
    if (this->haveLeasesExpired(now) && !this->knownRuns.empty()) {
        this->finishAll(RunEnd::Lapsed, RunEndProof::LeaseExpired, now);
        if (this->phase == Phase::Claimed)
            this->reclaim(this->fence, now);
    }
    if (this->phase == Phase::Fenced)
        return;
    std::vector<RunId> orphans;
    for (auto& [id, run] : this->knownRuns) {
        if (run.state == RunState::Unadopted && now >= run.discoveredAt + this->options.adoptionTimeout)
            orphans.push_back(id);
        bool unconfirmed = (run.state == RunState::Stopping || run.state == RunState::Uncertain) && !run.stopConfirmedAt;
        if (unconfirmed && run.stopSentAt && now >= *run.stopSentAt + stopRetryInterval)
            this->sendStop(id, run, now);
    }
    for (const auto& id : orphans)
        this->stop(id, now);
    if (!this->openHold && now >= this->nextHold && this->needsHold())
        this->sendHold(now);
    this->extendLeaseIfDue(now);
}

std::vector<TargetSession::Event> TargetSession::takeEvents()
{
    return std::exchange(this->events, {});
}

TargetSession::Orders TargetSession::takeOrders()
{
    return std::exchange(this->orders, {});
}

}
