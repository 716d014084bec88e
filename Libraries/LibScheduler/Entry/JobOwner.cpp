#include <LibScheduler/Entry/JobOwner.h>
#include <algorithm>
#include <utility>

namespace Sassafrasshift::Scheduler {

// Each handover reserves a range of run numbers, so that a new dispatcher uses higher numbers than earlier ones.
static constexpr uint64_t runNumbersPerDispatcher = 1000;
static constexpr JobOwner::Options defaults {};
static constexpr Milliseconds noDispatcherRetryAfter { 1000 };
// Dispatchers remember ended jobs for 10 s.
static constexpr Milliseconds recordedTime { 8000 };
// A submission that is not known this long after it was sent is ignored when it is read: the longest time in transit beyond the usual one,
// and 100 ms for that.
static constexpr Milliseconds unreadSubmissionTime { 350 };
static_assert(unreadSubmissionTime > defaults.scheduler.maximumTransitTime);
static_assert(recordedTime < TaskScheduler::Options {}.outcomeRetention);
// A caller whose connection is lost submits its job again after this delay. By then, the runs of the jobs of a lost entry host
// have ended.
static constexpr Milliseconds callerRetryDelay { 1300 };
static_assert(defaults.scheduler.maximumTransitTime + defaults.scheduler.leases.maximumRunTimeAfterExtension < callerRetryDelay);
// A dispatcher tries to stop the runs of a job before their leases expire.
static_assert(defaults.scheduler.entryLease < defaults.scheduler.leases.maximumRunTimeAfterExtension);
// While renewals arrive in time, a lease of the maximum length can be granted at any moment.
static_assert(defaults.renewalInterval + defaults.scheduler.leases.maximumLease * (100 + defaults.scheduler.leases.clockDriftPercent) / 100 < defaults.scheduler.leases.maximumRunTimeAfterExtension);

static Milliseconds::rep toMillisecondsOfClock(Instant time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

JobOwner::JobOwner(Options options)
    : options(options)
    , directory(options.directory)
{
}

// Returns how long the runs of a job may continue after the last message that extended the entry lease was sent. Leases on targets
// end in time whether or not the runs can be stopped.
Milliseconds JobOwner::earlierRunsTimeout() const
{
    return this->options.scheduler.maximumTransitTime + this->options.scheduler.leases.maximumRunTimeAfterExtension;
}

// Returns how long the runs of a refused job may continue at the dispatcher that refused it.
Milliseconds JobOwner::remainingRunTime(const JobOutcome& refusal) const
{
    auto longest = this->earlierRunsTimeout();
    return refusal.untilRunsEnd > 0 ? std::min(Milliseconds(refusal.untilRunsEnd), longest) : longest;
}

void JobOwner::add(Submission submission, Instant deadline, Instant objective, Instant now)
{
    Job job;
    job.submission = std::move(submission);
    job.arrivedAt = now;
    job.deadline = deadline;
    job.objective = objective;
    auto& inserted = this->jobs.emplace(job.submission.job, std::move(job)).first->second;
    this->handOver(inserted, {}, now);
}

void JobOwner::cancel(const std::string& name)
{
    auto position = this->jobs.find(name);
    if (position == this->jobs.end())
        return;
    this->withdrawFromDispatcher(position->second);
    this->noteLeft(position->second);
    this->jobs.erase(position);
}

void JobOwner::send(Job& job, const DispatcherDirectory::KnownDispatcher& dispatcher, Stage stage, ShardChoice choice, Instant now)
{
    auto& submission = job.submission;
    auto remaining = [&](Instant until) { return std::chrono::duration_cast<Milliseconds>(until - now).count(); };
    submission.untilDeadline = remaining(job.deadline);
    submission.untilObjective = remaining(job.objective);
    auto untilRunsEnd = std::max<Milliseconds::rep>(remaining(job.earlierRunsEndAt), 0);
    // A dispatcher can ask only the targets of its own shard which runs they have.
    bool isSameShard = job.earlierShards.empty() || (job.earlierShards.size() == 1 && job.earlierShards.contains(dispatcher.shard));
    submission.untilEarlierRunsEnd = isSameShard ? untilRunsEnd : 0;
    submission.untilOtherShardRunsEnd = isSameShard ? 0 : untilRunsEnd;
    submission.untilUnknownRunsEnd = std::max<Milliseconds::rep>(remaining(job.unknownRunsEndAt), 0);
    submission.firstRunNumber = job.handoverCount * runNumbersPerDispatcher + 1;
    submission.sentAt = toMillisecondsOfClock(now);
    ++job.handoverCount;
    // A dispatcher that relays a request does not get the job.
    if (stage != Stage::Relayed) {
        job.shard = dispatcher.shard;
        job.mayBeQueued = true;
    }
    job.dispatcher = dispatcher.address;
    job.stage = stage;
    job.handedOverAt = now;
    job.lastExtensionSentAt = now;
    job.hasPausedSinceHandover = false;
    this->effects.handovers.push_back(Handover { dispatcher.address, submission, dispatcher.shard, job.nextHandover, std::move(choice) });
}

// Cancels the job at its dispatcher, which may have started runs that continue for some time. A dispatcher that relays a request starts
// nothing.
void JobOwner::withdrawFromDispatcher(Job& job)
{
    if (job.dispatcher.empty())
        return;
    if (job.stage == Stage::Relayed)
        return job.dispatcher.clear();
    bool hasNotRun = job.stage == Stage::Requested && job.earlierShards.empty();
    this->effects.cancellations.push_back(Cancellation { job.dispatcher, job.submission.job, hasNotRun });
    job.earlierRunsEndAt = std::max(job.earlierRunsEndAt, job.lastExtensionSentAt + this->earlierRunsTimeout());
    job.earlierShards.insert(job.shard);
    job.dispatcher.clear();
}

void JobOwner::noteLastDispatcher(Job& job, HandoverCause::Kind cause)
{
    job.nextHandover = HandoverCause { cause, job.shard, job.dispatcher, {}, 0 };
}

// Withdraws the jobs that a dispatcher has and that match the condition. After a pause of this process, the caller of a job may have
// submitted it again through another entry host, so that such a job is answered instead of being handed over again.
void JobOwner::withdrawJobs(HandoverCause::Kind cause, const std::function<bool(const Job&)>& matches)
{
    for (auto position = this->jobs.begin(); position != this->jobs.end();) {
        auto& job = position->second;
        if (job.dispatcher.empty() || !matches(job)) {
            ++position;
            continue;
        }
        bool hasPaused = job.hasPausedSinceHandover;
        noteLastDispatcher(job, cause);
        this->withdrawFromDispatcher(job);
        position = hasPaused ? this->finishWithAnswer(position, Answer::Kind::Unknown, "entry-paused") : std::next(position);
    }
}

void JobOwner::updateDispatchers(const std::vector<ShardDispatcher>& currentDispatchers, std::string ownShard, Instant now)
{
    if (ownShard != this->directory.homeShard())
        this->highestHomeTerm = 0;
    auto changed = this->directory.updateDispatchers(currentDispatchers, std::move(ownShard), now);
    if (changed.empty())
        return;
    for (const auto& shard : changed) {
        const auto* dispatcher = this->directory.find(shard);
        bool isHome = shard == this->directory.homeShard();
        this->withdrawJobs(HandoverCause::Kind::DispatcherChanged, [&](const Job& job) { return job.shard == shard || (isHome && job.stage == Stage::Relayed); });
        for (auto& [name, job] : this->jobs) {
            // The successor can adopt the runs on the targets of the shard.
            if (dispatcher && job.dispatcher.empty() && job.handoverCount > 0 && job.shard == shard)
                this->handOverTo(job, *dispatcher, ShardChoice::Reason::FormerShard, now);
        }
    }
    this->nextRenewal = now;
}

// Hands over the jobs of silent dispatchers if another dispatcher is fresh, and the jobs that have no dispatcher.
void JobOwner::reassignJobs(Instant now)
{
    std::set<std::string> silent;
    bool anyFresh = false;
    for (const auto& [shard, dispatcher] : this->directory.dispatchers()) {
        anyFresh = anyFresh || this->directory.isFresh(dispatcher, now);
        if (this->directory.isSilent(dispatcher, now))
            silent.insert(dispatcher.address);
    }
    this->effects.suspectedDispatchers.assign(silent.begin(), silent.end());
    if (anyFresh)
        this->withdrawJobs(HandoverCause::Kind::DispatcherSilent, [&](const Job& job) { return silent.contains(job.dispatcher); });
    for (auto& [name, job] : this->jobs) {
        if (job.dispatcher.empty())
            this->handOver(job, {}, now);
    }
}

void JobOwner::sendRenewals(Instant now)
{
    this->nextRenewal = now + this->options.renewalInterval;
    std::map<std::string, Renewal> renewals;
    for (const auto& [shard, dispatcher] : this->directory.dispatchers()) {
        auto kind = this->directory.isFresh(dispatcher, now) ? TaskScheduler::RenewalKind::ExtendLease : TaskScheduler::RenewalKind::QueryOnly;
        renewals.emplace(dispatcher.address, Renewal { dispatcher.address, {}, kind, 0, toMillisecondsOfClock(now) });
    }
    const auto* home = this->directory.home();
    auto* toHome = home ? &renewals.at(home->address) : nullptr;
    for (auto& [name, job] : this->jobs) {
        auto position = job.stage == Stage::Submitted ? renewals.find(job.dispatcher) : renewals.end();
        auto* toDispatcher = position == renewals.end() ? nullptr : &position->second;
        bool mayRunElsewhere = toDispatcher ? toDispatcher != toHome : now < job.earlierRunsEndAt;
        if (toHome && mayRunElsewhere)
            toHome->placedJobs.push_back(PlacedJob { name, job.shard, toDispatcher != nullptr });
        if (!toDispatcher)
            continue;
        toDispatcher->jobs.push_back(name);
        if (toDispatcher->kind == TaskScheduler::RenewalKind::ExtendLease)
            job.lastExtensionSentAt = now;
    }
    if (toHome)
        this->addLeftJobs(*toHome, now);
    for (auto& [address, renewal] : renewals)
        this->effects.renewals.push_back(std::move(renewal));
}

void JobOwner::onAdmissionNotice(const std::string& from, const AdmissionLevel& admission, Instant now)
{
    this->directory.onAnswer(from, now);
    this->directory.updateAdmission(from, admission, now);
}

void JobOwner::onRenewalRequest(const std::string& from, uint64_t number, Instant now)
{
    this->directory.onAnswer(from, now);
    Renewal renewal { from, {}, TaskScheduler::RenewalKind::ExtendLease, number, toMillisecondsOfClock(now) };
    for (auto& [name, job] : this->jobs) {
        if (job.dispatcher != from || job.stage != Stage::Submitted)
            continue;
        renewal.jobs.push_back(name);
        job.lastExtensionSentAt = now;
    }
    this->effects.renewals.push_back(std::move(renewal));
}

void JobOwner::onRenewalAnswer(const std::string& from, const std::vector<std::string>& unknownJobs, const std::vector<PoolLoad>& loads, Instant now, const DispatcherState& state)
{
    this->directory.onAnswer(from, now);
    this->directory.updateAdmission(from, state.admission, now);
    this->directory.updateLoads(from, loads);
    this->confirmJobs(from, unknownJobs, now);
    for (const auto& name : unknownJobs) {
        auto position = this->jobs.find(name);
        if (position == this->jobs.end() || position->second.dispatcher != from)
            continue;
        auto& job = position->second;
        // The submission may have been in transit when the dispatcher sent this answer.
        if (now - job.handedOverAt <= this->options.renewalInterval)
            continue;
        // The dispatcher dropped the job while this process was paused. The caller may have submitted it again through another
        // entry host, so it must not be handed over again here.
        if (job.hasPausedSinceHandover) {
            this->finishWithAnswer(position, Answer::Kind::Unknown, "entry-paused");
            continue;
        }
        if (hasNoRecord(job, state, now)) {
            // The submission may have arrived after this answer was sent. A later answer shows it.
            if (state.renewalSentAt - job.handedOverAt.time_since_epoch() < unreadSubmissionTime)
                continue;
            job.mayBeQueued = false;
            // The dispatcher has ignored the submission, since it is late or the submission was.
            if (!mayHaveRun(job) && this->hasWaitedTooLong(job, now)) {
                this->finishWithAnswer(position, Answer::Kind::Refused, "not-accepted", noDispatcherRetryAfter);
                continue;
            }
        } else {
            job.earlierRunsEndAt = std::max(job.earlierRunsEndAt, job.lastExtensionSentAt + this->earlierRunsTimeout());
            job.earlierShards.insert(job.shard);
        }
        noteLastDispatcher(job, HandoverCause::Kind::UnknownThere);
        if (const auto* dispatcher = this->directory.find(job.shard))
            this->handOverTo(job, *dispatcher, ShardChoice::Reason::FormerShard, now);
    }
}

JobOwner::Jobs::iterator JobOwner::finishWithAnswer(Jobs::iterator position, Answer::Kind kind, std::string reason, Milliseconds retryAfter)
{
    const auto& job = position->second;
    if (kind == Answer::Kind::Unknown)
        this->noteLeft(job);
    const auto* home = this->directory.home();
    // A late dispatcher refuses a first submission without any record.
    bool isKnownNowhere = reason == dispatcherOverloaded && job.handoverCount == 1;
    if (kind == Answer::Kind::Refused && home && !isKnownNowhere)
        this->effects.cancellations.push_back(Cancellation { home->address, position->first, true });
    this->effects.answers.push_back(Answer { position->first, kind, std::move(reason), retryAfter, job.dispatcher, job.handoverCount });
    return this->jobs.erase(position);
}

void JobOwner::onOutcome(const std::string& from, const JobOutcome& outcome, Instant now)
{
    this->directory.onAnswer(from, now);
    if (outcome.reason == dispatcherOverloaded)
        this->directory.updateAdmission(from, outcome.admission, now);
    auto position = this->jobs.find(outcome.job);
    if (position == this->jobs.end())
        return;
    if (outcome.end == JobEnd::TakenOver)
        return this->onTakenOver(position, from);
    if (position->second.dispatcher != from)
        return;
    // After the last handover, the dispatcher may have started tasks even if it refused or failed the job before. Dispatchers of an
    // earlier version name no handover.
    bool isLastHandover = outcome.firstRunNumber == 0 || outcome.firstRunNumber == position->second.submission.firstRunNumber;
    if (!isLastHandover && outcome.end != JobEnd::Completed)
        return;
    switch (outcome.end) {
    case JobEnd::Completed:
        if (!isLastHandover)
            this->effects.cancellations.push_back(Cancellation { from, outcome.job, false });
        this->finishWithAnswer(position, Answer::Kind::Completed, outcome.reason);
        return;
    case JobEnd::Failed:
        this->finishWithAnswer(position, Answer::Kind::Failed, outcome.reason);
        return;
    case JobEnd::Refused:
        this->onRefused(position, outcome, now);
        return;
    case JobEnd::TakenOver:
        return;
    }
}

// Forgets a job that belongs to another entry host now. If it was handed over to another dispatcher meanwhile, that one has not started
// it as long as runs at the former one may continue. What the home says holds for the shard that has the job, which gets it from the
// other entry host.
void JobOwner::onTakenOver(Jobs::iterator position, const std::string& from)
{
    const auto& job = position->second;
    const auto* home = this->directory.home();
    bool isFromHome = home && home->address == from;
    if (!job.dispatcher.empty() && job.dispatcher != from && !isFromHome)
        this->effects.cancellations.push_back(Cancellation { job.dispatcher, position->first, false });
    this->finishWithAnswer(position, Answer::Kind::Unknown, "taken-over");
}

// An earlier submission of a refused job may still run in the shard that has refused it.
void JobOwner::noteKnownRuns(Job& job, const JobOutcome& refusal, Instant now) const
{
    job.mayBeQueued = false;
    if (refusal.starts == 0)
        return;
    job.earlierRunsEndAt = std::max(job.earlierRunsEndAt, now + this->remainingRunTime(refusal));
    job.earlierShards.insert(job.shard);
}

// The home that has placed the job was replaced; the next tick asks the present one.
void JobOwner::onPlacementOutdated(Jobs::iterator position, const JobOutcome& refusal, Instant now)
{
    auto& job = position->second;
    this->highestHomeTerm = std::max(this->highestHomeTerm, refusal.homeTerm);
    noteLastDispatcher(job, HandoverCause::Kind::PlacementOutdated);
    job.nextHandover.knownRuns = refusal.starts;
    job.dispatcher.clear();
    this->noteKnownRuns(job, refusal, now);
    if (job.hasPausedSinceHandover)
        this->finishWithAnswer(position, Answer::Kind::Unknown, "entry-paused");
}

// Offers a refused job to another shard. Once the maximum number of refusals is reached, or no shard is left, the caller is
// answered immediately; after a pause of this process as well, since the caller may have submitted the job again elsewhere.
void JobOwner::onRefused(Jobs::iterator position, const JobOutcome& outcome, Instant now)
{
    auto& job = position->second;
    // In another shard, the job would run beside the other work; tasks on targets have the name of their job.
    if (outcome.reason == nameInUse) {
        this->finishWithAnswer(position, Answer::Kind::Unknown, outcome.reason);
        return;
    }
    if (outcome.reason == placementOutdated)
        return this->onPlacementOutdated(position, outcome, now);
    noteLastDispatcher(job, HandoverCause::Kind::Refused);
    job.nextHandover.refusal = outcome.reason;
    job.nextHandover.knownRuns = outcome.starts;
    job.refusedBy.push_back(job.shard);
    job.dispatcher.clear();
    this->noteKnownRuns(job, outcome, now);
    const auto& submission = job.submission;
    // A request to the home on behalf of a dispatcher that would refuse the job, too, adds to the load.
    bool mayBeAdmitted = outcome.reason != dispatcherOverloaded || this->directory.anyAdmits(submission.pool, submission.priority, submission.job, job.refusedBy, now);
    if (!job.hasPausedSinceHandover && mayBeAdmitted && job.refusedBy.size() < this->options.maximumRefusals)
        this->handOver(job, job.refusedBy, now);
    if (!job.dispatcher.empty())
        return;
    bool mayHaveRun = !job.earlierShards.empty();
    this->finishWithAnswer(position, mayHaveRun ? Answer::Kind::Unknown : Answer::Kind::Refused, outcome.reason, mayHaveRun ? Milliseconds(0) : Milliseconds(outcome.retryAfterMilliseconds));
}

// Whether a task of the job may have been started, here or for another entry host.
bool JobOwner::mayHaveRun(const Job& job)
{
    return job.mayBeQueued || job.hasUnknownRuns || !job.earlierShards.empty();
}

// A job that has used half of its time waiting for a dispatcher is refused, so that its caller can come again.
bool JobOwner::hasWaitedTooLong(const Job& job, Instant now) const
{
    return now - job.arrivedAt >= std::min<Instant::duration>(this->options.dispatcherTimeout, (job.deadline - job.arrivedAt) / 2);
}

// Whether a dispatcher that does not know the job would have a record of it if it had started anything of it since it arrived here.
bool JobOwner::hasNoRecord(const Job& job, const DispatcherState& state, Instant now)
{
    const auto& withRuns = state.unknownJobsWithRuns;
    return now - job.arrivedAt < std::min(state.activeFor, recordedTime) && std::find(withRuns.begin(), withRuns.end(), job.submission.job) == withRuns.end();
}

void JobOwner::expireJobs(Instant now)
{
    for (auto position = this->jobs.begin(); position != this->jobs.end();) {
        auto& job = position->second;
        bool isPastDeadline = now >= job.deadline;
        // A relayed request is answered late while a home is replaced; its job is still placed then.
        bool isUnplaced = job.handoverCount == 0 && this->hasWaitedTooLong(job, now);
        if (!mayHaveRun(job) && (isPastDeadline || isUnplaced)) {
            position = this->finishWithAnswer(position, Answer::Kind::Refused, "no-dispatcher", noDispatcherRetryAfter);
        } else if (isPastDeadline) {
            if (!job.dispatcher.empty())
                this->effects.cancellations.push_back(Cancellation { job.dispatcher, position->first, false });
            position = this->finishWithAnswer(position, Answer::Kind::Unknown, "deadline");
        } else {
            ++position;
        }
    }
}

void JobOwner::onPause(Instant now)
{
    this->directory.resetSilenceTimeouts(now);
    // Jobs that no dispatcher has would be handed over now, although their callers may have submitted them elsewhere meanwhile.
    for (auto position = this->jobs.begin(); position != this->jobs.end();) {
        auto& job = position->second;
        job.hasPausedSinceHandover = true;
        if (job.dispatcher.empty())
            position = this->finishWithAnswer(position, mayHaveRun(job) ? Answer::Kind::Unknown : Answer::Kind::Refused, "entry-paused");
        else
            ++position;
    }
    this->nextRenewal = now;
}

void JobOwner::tick(Instant now)
{
    this->expireJobs(now);
    this->reassignJobs(now);
    this->repeatRequests(now);
    if (now >= this->nextRenewal)
        this->sendRenewals(now);
}

JobOwner::Effects JobOwner::takeEffects()
{
    return std::exchange(this->effects, {});
}

size_t JobOwner::openJobsInQueue(const std::string& queue) const
{
    return static_cast<size_t>(std::count_if(this->jobs.begin(), this->jobs.end(), [&](const auto& entry) { return entry.second.submission.queue == queue; }));
}

}
