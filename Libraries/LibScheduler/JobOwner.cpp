#include <LibScheduler/JobOwner.h>
#include <algorithm>
#include <utility>

namespace Sassafrasshift::Scheduler {

// Each further dispatcher numbers its runs above those of the ones before.
static constexpr uint64_t runNumbersPerDispatcher = 1000;
static constexpr Milliseconds noDispatcherRetryAfter { 1000 };
// A caller whose connection broke sends its job again after this; the runs of an entry that is lost have ended by then.
static constexpr Milliseconds callerRetryDelay { 1300 };
static constexpr JobOwner::Options defaults {};
static_assert(defaults.maximumTransitTime + defaults.scheduler.entryLease + defaults.maximumStopTime < callerRetryDelay);

JobOwner::JobOwner(Options options, Random random)
    : options(options)
    , directory(options.directory, random)
{
}

// After the last message that kept it alive, a job's runs may go on until that message has arrived and the entry's lease has
// ended, and then either until the runs are stopped, by this dispatcher or by one that follows it and waits for their
// entry, or until their leases lapse, where the dispatcher itself is gone.
Milliseconds JobOwner::earlierRunsTimeout() const
{
    const auto& leases = this->options.scheduler.leases;
    auto stopped = leases.adoptionTimeout + this->options.maximumStopTime;
    auto lapsed = leases.maximumLease * (100 + leases.clockDriftPercent) / 100;
    return this->options.maximumTransitTime + this->options.scheduler.entryLease + std::max(stopped, lapsed);
}

void JobOwner::add(Submission submission, Instant deadline, Instant objective, Instant now)
{
    Job job;
    job.submission = std::move(submission);
    job.arrivedAt = now;
    job.deadline = deadline;
    job.objective = objective;
    auto& kept = this->jobs.emplace(job.submission.job, std::move(job)).first->second;
    this->handOver(kept, {}, now);
}

void JobOwner::cancel(const std::string& name)
{
    auto position = this->jobs.find(name);
    if (position == this->jobs.end())
        return;
    this->withdrawFromDispatcher(position->second);
    this->jobs.erase(position);
}

void JobOwner::handOver(Job& job, const std::vector<std::string>& excludedShards, Instant now)
{
    if (const auto* dispatcher = this->directory.choose(job.submission.pool, excludedShards, now))
        this->handOverTo(job, *dispatcher, now);
}

void JobOwner::handOverTo(Job& job, const DispatcherDirectory::KnownDispatcher& dispatcher, Instant now)
{
    auto& submission = job.submission;
    auto remaining = [&](Instant until) { return std::chrono::duration_cast<Milliseconds>(until - now).count(); };
    submission.untilDeadline = remaining(job.deadline);
    submission.untilObjective = remaining(job.objective);
    auto untilRunsEnd = std::max<Milliseconds::rep>(remaining(job.earlierRunsEndAt), 0);
    // The dispatcher of a shard can find out what runs on its own targets only.
    bool isSameShard = job.earlierShards.empty() || (job.earlierShards.size() == 1 && job.earlierShards.contains(dispatcher.shard));
    submission.untilEarlierRunsEnd = isSameShard ? untilRunsEnd : 0;
    submission.untilOtherShardRunsEnd = isSameShard ? 0 : untilRunsEnd;
    submission.firstRunNumber = job.submissions * runNumbersPerDispatcher + 1;
    ++job.submissions;
    job.shard = dispatcher.shard;
    job.dispatcher = dispatcher.address;
    job.handedOverAt = now;
    job.lastExtensionSentAt = now;
    job.hasPausedSinceHandover = false;
    this->effects.handovers.push_back(Handover { dispatcher.address, submission });
}

// Its dispatcher may have started something, which goes on for some time.
void JobOwner::withdrawFromDispatcher(Job& job)
{
    if (job.dispatcher.empty())
        return;
    this->effects.cancellations.push_back(Cancellation { job.dispatcher, job.submission.job });
    job.earlierRunsEndAt = std::max(job.earlierRunsEndAt, job.lastExtensionSentAt + this->earlierRunsTimeout());
    job.earlierShards.insert(job.shard);
    job.dispatcher.clear();
}

void JobOwner::updateDispatchers(const std::vector<ShardDispatcher>& present, std::string ownShard, Instant now)
{
    auto changed = this->directory.updateDispatchers(present, std::move(ownShard), now);
    if (changed.empty())
        return;
    for (const auto& shard : changed) {
        const auto* dispatcher = this->directory.find(shard);
        for (auto& [name, job] : this->jobs) {
            if (job.dispatcher.empty() || job.shard != shard)
                continue;
            this->withdrawFromDispatcher(job);
            // The successor can take over what runs on the shard's targets.
            if (dispatcher)
                this->handOverTo(job, *dispatcher, now);
        }
    }
    this->nextRenewal = now;
}

// The jobs of a dispatcher that has fallen silent go to another one, and those that have none yet to any.
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
    for (auto& [name, job] : this->jobs) {
        if (anyFresh && silent.contains(job.dispatcher))
            this->withdrawFromDispatcher(job);
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
        renewals.emplace(dispatcher.address, Renewal { dispatcher.address, {}, kind });
    }
    for (auto& [name, job] : this->jobs) {
        auto position = renewals.find(job.dispatcher);
        if (position == renewals.end())
            continue;
        position->second.jobs.push_back(name);
        if (position->second.kind == TaskScheduler::RenewalKind::ExtendLease)
            job.lastExtensionSentAt = now;
    }
    for (auto& [address, renewal] : renewals)
        this->effects.renewals.push_back(std::move(renewal));
}

void JobOwner::onRenewalAnswer(const std::string& from, const std::vector<std::string>& unknownJobs, const std::vector<PoolLoad>& loads, Instant now)
{
    this->directory.onAnswer(from, now);
    this->directory.updateLoads(from, loads);
    for (const auto& name : unknownJobs) {
        auto position = this->jobs.find(name);
        if (position == this->jobs.end() || position->second.dispatcher != from)
            continue;
        auto& job = position->second;
        // One that has just been handed over may still be on its way.
        if (now - job.handedOverAt <= this->options.renewalInterval)
            continue;
        // It was dropped while this process stood still: its caller may have sent it again, elsewhere.
        if (job.hasPausedSinceHandover) {
            this->finishWithAnswer(position, Answer::Kind::Unknown, "entry-paused");
            continue;
        }
        job.earlierRunsEndAt = std::max(job.earlierRunsEndAt, job.lastExtensionSentAt + this->earlierRunsTimeout());
        job.earlierShards.insert(job.shard);
        if (const auto* dispatcher = this->directory.find(job.shard))
            this->handOverTo(job, *dispatcher, now);
    }
}

JobOwner::Jobs::iterator JobOwner::finishWithAnswer(Jobs::iterator position, Answer::Kind kind, std::string reason, Milliseconds retryAfter)
{
    const auto& job = position->second;
    this->effects.answers.push_back(Answer { position->first, kind, std::move(reason), retryAfter, job.dispatcher, job.submissions });
    return this->jobs.erase(position);
}

void JobOwner::onOutcome(const std::string& from, const JobOutcome& outcome, Instant now)
{
    this->directory.onAnswer(from, now);
    auto position = this->jobs.find(outcome.job);
    if (position == this->jobs.end() || position->second.dispatcher != from)
        return;
    switch (outcome.end) {
    case JobEnd::Completed:
        this->finishWithAnswer(position, Answer::Kind::Completed, outcome.reason);
        return;
    case JobEnd::Failed:
        this->finishWithAnswer(position, Answer::Kind::Failed, outcome.reason);
        return;
    case JobEnd::Refused:
        this->onRefused(position, outcome, now);
        return;
    }
}

// Another shard may have time for it. Where all refuse, the caller is told at once.
void JobOwner::onRefused(Jobs::iterator position, const JobOutcome& outcome, Instant now)
{
    auto& job = position->second;
    job.refusedBy.push_back(job.shard);
    job.dispatcher.clear();
    if (job.refusedBy.size() < this->options.maximumRefusals)
        this->handOver(job, job.refusedBy, now);
    if (!job.dispatcher.empty())
        return;
    bool mayHaveRun = !job.earlierShards.empty();
    this->finishWithAnswer(position, mayHaveRun ? Answer::Kind::Unknown : Answer::Kind::Refused, outcome.reason, mayHaveRun ? Milliseconds(0) : Milliseconds(outcome.retryAfterMilliseconds));
}

void JobOwner::expireJobs(Instant now)
{
    for (auto position = this->jobs.begin(); position != this->jobs.end();) {
        auto& job = position->second;
        bool isOver = now >= job.deadline;
        if (job.submissions == 0 && (isOver || now - job.arrivedAt >= this->options.dispatcherTimeout)) {
            position = this->finishWithAnswer(position, Answer::Kind::Refused, "no-dispatcher", noDispatcherRetryAfter);
        } else if (isOver) {
            if (!job.dispatcher.empty())
                this->effects.cancellations.push_back(Cancellation { job.dispatcher, position->first });
            position = this->finishWithAnswer(position, Answer::Kind::Unknown, "deadline");
        } else {
            ++position;
        }
    }
}

void JobOwner::onPause(Instant now)
{
    this->directory.restartSilenceTimeouts(now);
    for (auto& [name, job] : this->jobs)
        job.hasPausedSinceHandover = true;
    this->nextRenewal = now;
}

void JobOwner::tick(Instant now)
{
    this->expireJobs(now);
    this->reassignJobs(now);
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
