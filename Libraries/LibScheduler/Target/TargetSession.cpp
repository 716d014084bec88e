#include <LibScheduler/Target/TargetSession.h>
#include <algorithm>
#include <iterator>
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
// The interval between attempts to get a list from a retired target that does not answer.
static constexpr Milliseconds retiredRetryInterval { 100 };
// A reading of the target's clock that is this much below an earlier one comes from another process. Answers that overtake each
// other differ by less.
static constexpr int64_t clockResetThresholdMilliseconds = 1000;
// The time between an incomplete answer to a hold order and the next order.
static constexpr Milliseconds incompleteListInterval { 100 };

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

void TargetSession::updateReport(const Membership::TargetReport& latest, Instant now)
{
    if (latest.incarnation < this->report.incarnation)
        return;
    bool isLaterIncarnation = latest.incarnation > this->report.incarnation;
    bool isKnown = !isLaterIncarnation || (this->unconfirmedReport && this->unconfirmedReport->incarnation == latest.incarnation);
    if (isLaterIncarnation)
        this->unconfirmedReport = latest;
    else if (latest.sequence >= this->report.sequence)
        this->report = latest;
    bool wasRetired = this->phase == Phase::Retired;
    if (wasRetired)
        this->phase = Phase::Claiming;
    if (wasRetired || !isKnown)
        this->reclaim(this->fence, now);
}

void TargetSession::reclaim(uint64_t token, Instant now)
{
    if (this->phase == Phase::Gone)
        return;
    this->fence = token;
    this->hasRunList = false;
    this->openHold.reset();
    this->openProbe.reset();
    this->nextHold = now;
    this->assumeUnknownLeases(now);
    if (this->phase != Phase::Retired)
        this->phase = Phase::Claiming;
    this->sendHold(now);
}

void TargetSession::retire(Instant now)
{
    if (this->phase == Phase::Retired || this->phase == Phase::Gone)
        return;
    this->hasRunList = this->phase == Phase::Claimed;
    if (!this->hasRunList)
        this->assumeUnknownLeases(now);
    this->phase = Phase::Retired;
    this->nextHold = now;
    this->addEvent(Event::Kind::Retired);
    this->events.back().openRuns = this->knownRuns.size();
    this->events.back().untilLeaseEnd = this->untilLeaseEnd(now);
    this->tickRetired(now);
}

// The orders of a retired target extend no lease: they ask for lists, and stop runs.
void TargetSession::tickRetired(Instant now)
{
    bool haveExpired = this->haveLeasesExpired(now);
    if (haveExpired)
        this->finishAll(RunEnd::Lapsed, RunEndProof::LeaseExpired, now);
    if (this->knownRuns.isEmpty() && (this->hasRunList || haveExpired)) {
        this->phase = Phase::Gone;
        this->addEvent(Event::Kind::Gone);
    }
}

bool TargetSession::canStartRuns(Instant now) const
{
    return this->phase == Phase::Claimed && this->runsWithUnknownNeeds == 0 && !this->hasUnansweredStart && this->clock && now >= this->ejectedUntil
        && this->report.state == Membership::TargetState::Serving;
}

bool TargetSession::isSilent() const
{
    return this->unansweredHolds >= failureThreshold;
}

uint32_t TargetSession::countRuns(const RunId& lowest) const
{
    uint32_t count = 0;
    const auto& runs = this->knownRuns.all();
    for (auto position = runs.lower_bound(lowest); position != runs.end() && position->first.task.job == lowest.task.job; ++position)
        ++count;
    return count;
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
    bool waitsForEnd = (this->phase == Phase::Claimed || this->phase == Phase::Retired) && this->clock && this->unansweredHolds == 0;
    this->openHold = this->makeHold(waitsForEnd ? this->options.holdWait : Milliseconds(0), now);
}

// Asks the target for its current runs, which it reports immediately even while it delays the answer to another hold order.
void TargetSession::sendProbe(Instant now)
{
    this->openProbe = this->makeHold(Milliseconds(0), now);
}

void TargetSession::start(const RunId& id, const Catalog::Resources& needs, const std::string& payload, std::shared_ptr<const JobLease> jobLease, Instant now)
{
    Run run;
    run.needs = needs;
    run.jobLease = std::move(jobLease);
    run.discoveredAt = now;
    run.restartsBeforeStart = this->restarts;
    this->knownRuns.add(id, std::move(run));
    this->used = this->used.plus(needs);
    (void)this->grantLease(now);
    this->lastLeaseOrderAt = now;
    this->orders.starts.push_back(StartOrder { this->instance(), this->fence, id, payload, this->latestLeaseEnd });
}

void TargetSession::sendStop(const RunId& id, Instant now)
{
    this->knownRuns.change(id, [now](Run& run) {
        run.stopSentAt = now;
        if (run.stopOrders++ == 0)
            run.firstStopSentAt = now;
    });
    this->orders.stops.push_back(StopOrder { this->instance(), this->fence, id });
}

void TargetSession::stop(const RunId& id, Instant now)
{
    const auto* run = this->knownRuns.find(id);
    if (!run || run->state == RunState::Stopping || run->state == RunState::Uncertain)
        return;
    this->knownRuns.change(id, [](Run& stopped) { stopped.state = RunState::Stopping; });
    this->sendStop(id, now);
}

void TargetSession::adopt(const RunId& id, const Catalog::Resources& needs, std::shared_ptr<const JobLease> jobLease, Instant now)
{
    const auto* run = this->knownRuns.find(id);
    if (!run || run->state != RunState::Unadopted)
        return;
    this->knownRuns.change(id, [&](Run& adopted) {
        adopted.state = RunState::Running;
        adopted.jobLease = std::move(jobLease);
        this->setNeeds(adopted, needs);
    });
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
    evidence.untilLeaseEnd = this->untilLeaseEnd(now);
    return evidence;
}

void TargetSession::finish(const RunId& id, std::optional<RunEnd> end, RunEndProof proof, Instant now, bool staleNumber)
{
    const auto& run = *this->knownRuns.find(id);
    if (!run.needsKnown)
        --this->runsWithUnknownNeeds;
    this->used = this->used.minus(run.needs);
    // If the preceding hold orders were not answered, the run may have ended long before now.
    bool isKnown = run.startedAt != Instant {} && this->unansweredHolds == 0;
    auto duration = isKnown ? std::chrono::duration_cast<Milliseconds>(now - run.startedAt) : Milliseconds(0);
    this->events.push_back(Event { Event::Kind::Ended, id, end, staleNumber, duration, this->evidence(run, proof, now), 0, Milliseconds(0) });
    this->knownRuns.remove(this->events.back().run);
}

void TargetSession::addEvent(Event::Kind kind, const RunId& run)
{
    Event event;
    event.kind = kind;
    event.run = run;
    this->events.push_back(std::move(event));
}

void TargetSession::finishAll(std::optional<RunEnd> end, RunEndProof proof, Instant now)
{
    while (!this->knownRuns.isEmpty())
        this->finish(this->knownRuns.all().begin()->first, end, proof, now);
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
        if (this->phase == Phase::Claiming || this->phase == Phase::Claimed) {
            this->phase = Phase::Fenced;
            this->openHold.reset();
            this->addEvent(Event::Kind::Fenced);
        }
        return;
    case OrderRefusal::OtherIncarnation:
        this->retire(now);
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
    if (const auto* list = std::get_if<RunList>(&answer); list && this->mayApply(*list)) {
        this->applyHoldAnswer(hold, *list, now);
        // A target answers at once while it lists an end that cannot be acknowledged.
        this->nextHold = list->isComplete ? now : now + incompleteListInterval;
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

// A target whose runs are not all known cannot be claimed.
bool TargetSession::mayApply(const RunList& list) const
{
    return list.isComplete || this->phase == Phase::Claimed;
}

void TargetSession::applyHoldAnswer(const OpenHold& hold, const RunList& list, Instant now)
{
    if (this->isFromEarlierProcess(list))
        return;
    if (!list.incarnation.empty() && list.incarnation != this->report.incarnation)
        this->onRestart(list.incarnation, now);
    this->isIncarnationConfirmed = this->isIncarnationConfirmed || !list.incarnation.empty();
    this->unconfirmedReport.reset();
    this->observeClock(list.clock, now);
    // Another dispatcher may have renewed the leases of runs on this target until it answered.
    if (!this->knowsAllRuns())
        this->assumeUnknownLeases(now);
    if (!this->knowsAllRuns() || this->unansweredHolds >= failureThreshold)
        this->addEvent(Event::Kind::Answering);
    if (this->phase != Phase::Retired)
        this->phase = Phase::Claimed;
    this->hasRunList = true;
    this->applyRunList(list, hold.sentAt, now);
    this->unansweredHolds = 0;
    this->hasUnansweredStart = false;
}

void TargetSession::onUnansweredHold(Instant now)
{
    ++this->unansweredHolds;
    this->nextHold = now + (this->knownRuns.isEmpty() ? this->options.claimRetryInterval : Milliseconds(0));
    if (this->phase == Phase::Retired)
        this->nextHold = now + retiredRetryInterval;
    if (this->unansweredHolds == failureThreshold)
        this->addEvent(Event::Kind::Silent);
    if (this->unansweredHolds >= failureThreshold)
        this->eject(this->options.claimRetryInterval, now);
}

bool TargetSession::isFromEarlierProcess(const RunList& list) const
{
    return this->isIncarnationConfirmed && !list.incarnation.empty() && list.incarnation < this->report.incarnation;
}

// Called when another process answers under the same identity and address. The runs of the earlier process have ended with it. The
// sequence numbers and the clock of the new one start again, and it may obey orders that were meant for the earlier one: it grants
// them its longest lease, and it does not know the stop orders that the earlier one confirmed.
void TargetSession::onRestart(const std::string& incarnation, Instant now)
{
    ++this->restarts;
    if (this->unconfirmedReport && this->unconfirmedReport->incarnation == incarnation)
        this->report = *this->unconfirmedReport;
    else
        this->report.sequence = 0;
    this->report.incarnation = incarnation;
    this->lastEndSeen = 0;
    this->lastEndAcknowledged = 0;
    this->latestLeaseEnd = 0;
    this->assumeUnknownLeases(now);
    for (const auto& [id, run] : this->knownRuns.all()) {
        if (run.stopConfirmedAt)
            this->knownRuns.change(id, [](Run& stopped) { stopped.stopConfirmedAt.reset(); });
    }
}

// Called when an answer shows that another process may have replaced the target. No run is started before a list has named it.
void TargetSession::onUnknownProcess(Instant now)
{
    this->clock.reset();
    this->latestLeaseEnd = 0;
    this->reclaim(this->fence, now);
}

void TargetSession::applyRunList(const RunList& list, Instant sentAt, Instant now)
{
    for (const auto& ended : list.ended) {
        this->lastEndSeen = std::max(this->lastEndSeen, std::min(ended.sequence, list.lastReadableEnd));
        if (!this->knownRuns.find(ended.run)) {
            if (ended.end == RunEnd::Done)
                this->addEvent(Event::Kind::FoundDone, ended.run);
            continue;
        }
        if (ended.end == RunEnd::Failed)
            this->countFailure(now);
        else if (ended.end == RunEnd::Done)
            this->consecutiveFailures = 0;
        this->finish(ended.run, ended.end, RunEndProof::Listed, now);
    }
    this->applyRunningRuns(list, sentAt, now);
}

void TargetSession::addDiscoveredRun(const RunId& id, Instant now)
{
    Run run;
    run.state = RunState::Unadopted;
    run.needs = Catalog::Resources { 0, 0, 0 };
    run.needsKnown = false;
    run.discoveredAt = now;
    this->knownRuns.add(id, std::move(run));
    ++this->runsWithUnknownNeeds;
    this->addEvent(Event::Kind::Discovered, id);
}

void TargetSession::applyRunningRuns(const RunList& list, Instant sentAt, Instant now)
{
    std::set<RunId> running(list.running.begin(), list.running.end());
    for (const auto& id : running) {
        const auto* known = this->knownRuns.find(id);
        if (!known)
            this->addDiscoveredRun(id, now);
        else if (!known->knownStartedAt)
            this->reportIfFoundLate(id, now);
        this->knownRuns.change(id, [&](Run& run) {
            run.lastReportedRunningAt = now;
            if (auto progress = list.progress.find(id); progress != list.progress.end())
                run.progress.observe(progress->second, now);
            if (!run.knownStartedAt)
                run.knownStartedAt = now;
        });
    }
    if (!list.isComplete)
        return;
    std::vector<RunId> absent;
    for (const auto& [id, run] : this->knownRuns.all()) {
        if (running.contains(id))
            continue;
        // A run that is missing from the answer has ended if it was known to have started, or the target had confirmed its stop
        // order, before the hold order was sent. Otherwise the start order may still be in transit, or this answer may be older
        // than the one that listed the run.
        bool hadStarted = run.knownStartedAt && *run.knownStartedAt < sentAt;
        bool cannotStart = run.stopConfirmedAt && *run.stopConfirmedAt <= sentAt;
        if (hadStarted || cannotStart)
            absent.push_back(id);
    }
    for (const auto& id : absent)
        this->finish(id, {}, RunEndProof::Absent, now);
}

void TargetSession::reportIfFoundLate(const RunId& id, Instant now)
{
    auto expiredAt = this->askedLeasesExpireAt();
    if (now <= expiredAt)
        return;
    this->addEvent(Event::Kind::FoundLate, id);
    this->events.back().sinceLeaseEnd = std::chrono::duration_cast<Milliseconds>(now - expiredAt);
}

void TargetSession::onStartAnswer(const RunId& id, const OrderAnswer& answer, Instant now)
{
    const auto* run = this->knownRuns.find(id);
    if (!run)
        return;
    if (const auto* acknowledged = std::get_if<Acknowledged>(&answer)) {
        auto restartsBeforeStart = run->restartsBeforeStart;
        this->knownRuns.change(id, [now](Run& started) {
            started.startedAt = now;
            if (!started.knownStartedAt)
                started.knownStartedAt = now;
            if (started.state == RunState::Starting)
                started.state = RunState::Running;
        });
        if (this->clock && acknowledged->clock < *this->clock - clockResetThresholdMilliseconds)
            this->onUnknownProcess(now);
        else if (restartsBeforeStart == this->restarts)
            this->observeClock(acknowledged->clock, now);
        return;
    }
    if (const auto* refused = std::get_if<Refused>(&answer)) {
        this->finish(id, {}, RunEndProof::StartRefused, now, refused->reason == OrderRefusal::StaleRun);
        this->onRefusal(refused->reason, now);
        return;
    }
    this->countFailure(now);
    if (std::get<Unanswered>(answer).verdict == Verdict::NotRun) {
        this->eject(baseEjectionTime, now);
        this->finish(id, {}, RunEndProof::StartNotSent, now);
        return;
    }
    this->hasUnansweredStart = true;
    this->addEvent(Event::Kind::StartUnanswered, id);
    // Once the target has confirmed the stop order, it refuses a start order that arrives later.
    this->knownRuns.change(id, [](Run& unanswered) { unanswered.state = RunState::Uncertain; });
    this->sendStop(id, now);
}

void TargetSession::onStopAnswer(const RunId& id, const OrderAnswer& answer, Instant now)
{
    if (std::holds_alternative<Acknowledged>(answer)) {
        if (!this->knownRuns.find(id))
            return;
        this->knownRuns.change(id, [now](Run& stopped) { stopped.stopConfirmedAt = now; });
        if (!this->openProbe)
            this->sendProbe(now);
        return;
    }
    if (const auto* refused = std::get_if<Refused>(&answer))
        this->onRefusal(refused->reason, now);
}

// Returns whether a hold order is needed to renew leases, to acknowledge the ends of runs, to claim the target, or to learn whether it
// answers again.
bool TargetSession::needsHold() const
{
    return !this->knownRuns.isEmpty() || this->lastEndSeen > this->lastEndAcknowledged || this->unansweredHolds > 0 || this->phase != Phase::Claimed;
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
    if (this->phase == Phase::Retired)
        this->tickRetired(now);
    else if (this->haveLeasesExpired(now) && !this->knownRuns.isEmpty()) {
        this->finishAll(RunEnd::Lapsed, RunEndProof::LeaseExpired, now);
        if (this->phase == Phase::Claimed)
            this->reclaim(this->fence, now);
    }
    if (this->phase == Phase::Fenced || this->phase == Phase::Gone)
        return;
    this->stopUnsettledRuns(now);
    if (!this->openHold && now >= this->nextHold && this->needsHold())
        this->sendHold(now);
    this->extendLeaseIfDue(now);
}

// Stops the runs that nobody has adopted in time, and repeats the stop orders that were not confirmed.
void TargetSession::stopUnsettledRuns(Instant now)
{
    std::vector<RunId> orphans;
    std::vector<RunId> unconfirmed;
    // Stop orders that have not been taken yet are not repeated.
    bool hasSentStops = this->orders.stops.empty();
    for (const auto& id : this->knownRuns.unsettled()) {
        const auto& run = *this->knownRuns.find(id);
        if (run.state == RunState::Unadopted && now >= run.discoveredAt + this->options.adoptionTimeout)
            orphans.push_back(id);
        else if (hasSentStops && run.awaitsStop() && run.stopSentAt && now >= *run.stopSentAt + stopRetryInterval)
            unconfirmed.push_back(id);
    }
    for (const auto& id : unconfirmed)
        this->sendStop(id, now);
    for (const auto& id : orphans)
        this->stop(id, now);
}

std::vector<TargetSession::Event> TargetSession::takeEvents()
{
    return std::exchange(this->events, {});
}

TargetSession::Orders TargetSession::takeOrders(size_t maximumStops)
{
    auto taken = std::exchange(this->orders, {});
    // The target may have been claimed again, or have restarted, since stop orders were left here.
    if (std::exchange(this->hasDeferredStops, false)) {
        for (auto& order : taken.stops)
            order = StopOrder { this->instance(), this->fence, order.run };
    }
    if (taken.stops.size() > maximumStops) {
        this->hasDeferredStops = true;
        auto firstLeft = taken.stops.begin() + static_cast<ptrdiff_t>(maximumStops);
        this->orders.stops.assign(std::make_move_iterator(firstLeft), std::make_move_iterator(taken.stops.end()));
        taken.stops.erase(firstLeft, taken.stops.end());
    }
    return taken;
}

}
