#include <LibScheduler/JobOwner.h>
#include <algorithm>
#include <utility>

namespace Sassafrasshift::Scheduler {

// Each further dispatcher numbers its runs above those of the ones before.
static constexpr uint64_t runsPerDispatcher = 1000;
static constexpr Milliseconds retryWithoutDispatcher { 1000 };
// A caller whose connection broke sends its job again after this; the runs of an entry that is lost have ended by then.
static constexpr Milliseconds callerRetransmission { 1300 };
static constexpr JobOwner::Options defaults {};
static_assert(defaults.maximumTransitTime + defaults.scheduler.entryLease + defaults.stopTime < callerRetransmission);

JobOwner::JobOwner(Options options, Random random)
    : options(options)
    , directory(options.directory, random)
{
}

// After the last message that kept it alive, a job's runs may go on until that message has arrived and the entry's lease has
// ended, and then either until the runs are stopped, by this dispatcher or by one that follows it and waits for their
// entry, or until their leases lapse, where the dispatcher itself is gone.
Milliseconds JobOwner::earlierRunsEnd() const
{
    const auto& leases = this->options.scheduler.leases;
    auto stopped = leases.adoptionWait + this->options.stopTime;
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
    this->leaveDispatcher(position->second);
    this->jobs.erase(position);
}

void JobOwner::handOver(Job& job, const std::vector<std::string>& excludedShards, Instant now)
{
    if (const auto* link = this->directory.choose(job.submission.pool, excludedShards, now))
        this->handTo(job, *link, now);
}

void JobOwner::handTo(Job& job, const DispatcherDirectory::Link& link, Instant now)
{
    auto& submission = job.submission;
    auto remaining = [&](Instant until) { return std::chrono::duration_cast<Milliseconds>(until - now).count(); };
    submission.untilDeadline = remaining(job.deadline);
    submission.untilObjective = remaining(job.objective);
    auto untilRunsEnd = std::max<Milliseconds::rep>(remaining(job.earlierRunsUntil), 0);
    // The dispatcher of a shard can find out what runs on its own targets only.
    bool isSameShard = job.earlierShards.empty() || (job.earlierShards.size() == 1 && job.earlierShards.contains(link.shard));
    submission.untilEarlierRunsEnd = isSameShard ? untilRunsEnd : 0;
    submission.untilRunsElsewhereEnd = isSameShard ? 0 : untilRunsEnd;
    submission.firstRun = job.submissions * runsPerDispatcher + 1;
    ++job.submissions;
    job.shard = link.shard;
    job.dispatcher = link.address;
    job.handedAt = now;
    job.extendedAt = now;
    job.isDoubtful = false;
    this->effects.handovers.push_back(Handover { link.address, submission });
}

// Its dispatcher may have started something, which goes on for some time.
void JobOwner::leaveDispatcher(Job& job)
{
    if (job.dispatcher.empty())
        return;
    this->effects.cancellations.push_back(Cancellation { job.dispatcher, job.submission.job });
    job.earlierRunsUntil = std::max(job.earlierRunsUntil, job.extendedAt + this->earlierRunsEnd());
    job.earlierShards.insert(job.shard);
    job.dispatcher.clear();
}

void JobOwner::updateDispatchers(const std::vector<ShardDispatcher>& present, std::string ownShard, Instant now)
{
    auto changed = this->directory.updateDispatchers(present, std::move(ownShard), now);
    if (changed.empty())
        return;
    for (const auto& shard : changed) {
        const auto* link = this->directory.find(shard);
        for (auto& [name, job] : this->jobs) {
            if (job.dispatcher.empty() || job.shard != shard)
                continue;
            this->leaveDispatcher(job);
            // The successor can take over what runs on the shard's targets.
            if (link)
                this->handTo(job, *link, now);
        }
    }
    this->nextRenewal = now;
}

// The jobs of a dispatcher that has fallen silent go to another one, and those that have none yet to any.
void JobOwner::moveJobs(Instant now)
{
    std::set<std::string> silent;
    bool anyFresh = false;
    for (const auto& [shard, link] : this->directory.links()) {
        anyFresh = anyFresh || this->directory.isFresh(link, now);
        if (this->directory.isSilent(link, now))
            silent.insert(link.address);
    }
    this->effects.suspectedDispatchers.assign(silent.begin(), silent.end());
    for (auto& [name, job] : this->jobs) {
        if (anyFresh && silent.contains(job.dispatcher))
            this->leaveDispatcher(job);
        if (job.dispatcher.empty())
            this->handOver(job, {}, now);
    }
}

void JobOwner::renew(Instant now)
{
    this->nextRenewal = now + this->options.renewalInterval;
    std::map<std::string, Renewal> renewals;
    for (const auto& [shard, link] : this->directory.links()) {
        auto kind = this->directory.isFresh(link, now) ? TaskScheduler::RenewalKind::ExtendLease : TaskScheduler::RenewalKind::QueryOnly;
        renewals.emplace(link.address, Renewal { link.address, {}, kind });
    }
    for (auto& [name, job] : this->jobs) {
        auto position = renewals.find(job.dispatcher);
        if (position == renewals.end())
            continue;
        position->second.jobs.push_back(name);
        if (position->second.kind == TaskScheduler::RenewalKind::ExtendLease)
            job.extendedAt = now;
    }
    for (auto& [address, renewal] : renewals)
        this->effects.renewals.push_back(std::move(renewal));
}

void JobOwner::onRenewalAnswer(const std::string& from, const std::vector<std::string>& unknownJobs, const std::vector<PoolLoad>& loads, Instant now)
{
    this->directory.onAnswer(from, now);
    this->directory.onLoads(from, loads);
    for (const auto& name : unknownJobs) {
        auto position = this->jobs.find(name);
        if (position == this->jobs.end() || position->second.dispatcher != from)
            continue;
        auto& job = position->second;
        // One that has just been handed over may still be on its way.
        if (now - job.handedAt <= this->options.renewalInterval)
            continue;
        // It was dropped while this process stood still: its caller may have sent it again, elsewhere.
        if (job.isDoubtful) {
            this->answer(position, Answer::Kind::Unknown, "entry-paused");
            continue;
        }
        job.earlierRunsUntil = std::max(job.earlierRunsUntil, job.extendedAt + this->earlierRunsEnd());
        job.earlierShards.insert(job.shard);
        if (const auto* link = this->directory.find(job.shard))
            this->handTo(job, *link, now);
    }
}

JobOwner::Jobs::iterator JobOwner::answer(Jobs::iterator position, Answer::Kind kind, std::string reason, Milliseconds retryAfter)
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
        this->answer(position, Answer::Kind::Completed, outcome.reason);
        return;
    case JobEnd::Failed:
        this->answer(position, Answer::Kind::Failed, outcome.reason);
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
    this->answer(position, mayHaveRun ? Answer::Kind::Unknown : Answer::Kind::Refused, outcome.reason, mayHaveRun ? Milliseconds(0) : Milliseconds(outcome.retryAfterMilliseconds));
}

void JobOwner::expire(Instant now)
{
    for (auto position = this->jobs.begin(); position != this->jobs.end();) {
        auto& job = position->second;
        bool isOver = now >= job.deadline;
        if (job.submissions == 0 && (isOver || now - job.arrivedAt >= this->options.dispatcherWait)) {
            position = this->answer(position, Answer::Kind::Refused, "no-dispatcher", retryWithoutDispatcher);
        } else if (isOver) {
            if (!job.dispatcher.empty())
                this->effects.cancellations.push_back(Cancellation { job.dispatcher, position->first });
            position = this->answer(position, Answer::Kind::Unknown, "deadline");
        } else {
            ++position;
        }
    }
}

void JobOwner::onPause(Instant now)
{
    this->directory.excuseSilence(now);
    for (auto& [name, job] : this->jobs)
        job.isDoubtful = true;
    this->nextRenewal = now;
}

void JobOwner::tick(Instant now)
{
    this->expire(now);
    this->moveJobs(now);
    if (now >= this->nextRenewal)
        this->renew(now);
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
