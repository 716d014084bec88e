#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <algorithm>

// Admission control, and the queue order under overload.
namespace Sassafrasshift::Scheduler {

using Membership::TargetState;

// The share of a target's capacity that tasks occupy on average, because task sizes do not divide the capacity evenly.
static constexpr double usableCapacityShare { 0.8 };
// The time that the answer to a job needs to reach the caller of the job.
static constexpr Milliseconds deadlineMargin { 60 };
static constexpr Milliseconds minimumRetryAfter { 200 };
static constexpr Milliseconds maximumRetryAfter { 5000 };

// A target that does not answer finishes nothing that could be counted on.
bool TaskScheduler::countsAsCapacity(const TargetSession& session) const
{
    return session.target().state == TargetState::Serving && !session.isFenced() && !session.isRetired() && !session.isSilent() && !this->isEvacuated(session.target());
}

// Returns the usable capacity of all targets that count, in thousandths of a core.
double TaskScheduler::usableCapacity() const
{
    return static_cast<double>(this->work.capacity()) * usableCapacityShare;
}

std::vector<PoolLoad> TaskScheduler::loads() const
{
    std::vector<PoolLoad> loads;
    for (const auto& [pool, milliCores] : this->work.capacityByPool()) {
        auto usable = static_cast<double>(milliCores) * usableCapacityShare;
        auto openWork = static_cast<double>(this->work.doubledOpenWork(pool)) / 2;
        loads.push_back(PoolLoad { pool, static_cast<int64_t>(usable), static_cast<Milliseconds::rep>(openWork / usable) });
    }
    return loads;
}

// Returns how long the targets need for the waiting tasks of the jobs that are not late and come before a job that is submitted now.
Milliseconds TaskScheduler::expectedWait(const Submission& submission, Instant now) const
{
    auto rank = this->rankOf(submission, now);
    auto capacity = this->usableCapacity();
    return capacity > 0 ? Milliseconds(static_cast<Milliseconds::rep>(static_cast<double>(this->work.aheadOf(rank.priority, this->shares.stepsOf(rank.tag))) / capacity)) : Milliseconds(0);
}

// Returns the refusal of a job that must not be admitted, or nothing if the job is admitted.
std::optional<JobOutcome> TaskScheduler::refusalFor(const Submission& submission, Instant now) const
{
    JobOutcome outcome { submission.job, JobEnd::Refused, "overloaded", minimumRetryAfter.count(), 0, 0, submission.firstRunNumber };
    if (this->jobs.size() >= this->options.maximumJobs || this->openTasks + submission.taskCount > this->options.maximumTasks)
        return outcome;
    if (!this->knowsAllTargets)
        return {};
    if (!this->hasTargetFor(submission)) {
        outcome.reason = "no-target";
        outcome.retryAfterMilliseconds = 1000;
        return outcome;
    }
    if (this->options.minimumTimePerTask * submission.taskCount > Milliseconds(submission.untilDeadline)) {
        outcome.reason = "too-many-tasks";
        outcome.retryAfterMilliseconds = maximumRetryAfter.count();
        return outcome;
    }
    auto wait = this->expectedWait(submission, now);
    auto expected = this->speeds.expectedOnFastestKind(submission.queue, Milliseconds(submission.estimateMilliseconds));
    if (wait.count() + expected.count() <= submission.untilDeadline)
        return {};
    outcome.retryAfterMilliseconds = std::clamp(wait, minimumRetryAfter, maximumRetryAfter).count();
    return outcome;
}

// Moves jobs that can no longer meet their objective behind those that still can. In a burst that exceeds the capacity of the
// targets, serving all jobs in the order of their objectives would make every job late.
void TaskScheduler::demoteLateJobs(Instant now)
{
    while (!this->lateJobChecks.empty() && std::get<Instant>(*this->lateJobChecks.begin()) < now) {
        auto& job = *std::get<Job*>(*this->lateJobChecks.begin());
        this->lateJobChecks.erase(this->lateJobChecks.begin());
        if (job.starts > 0)
            continue;
        auto rank = job.rank;
        rank.isLate = true;
        rank.priority = job.submission.priority;
        this->changeRank(job, rank);
        this->shares.onLate(job.share);
    }
}

// Returns whether any job of which no task has started could miss its deadline if it had to wait for all other ones.
bool TaskScheduler::mayMissDeadline(double capacity, Instant now)
{
    auto longestWait = Milliseconds(capacity > 0 ? static_cast<Milliseconds::rep>(static_cast<double>(this->work.waiting()) / capacity) : 0);
    while (!this->latestStarts.empty() && std::get<Instant>(*this->latestStarts.begin()) <= now + longestWait + deadlineMargin + this->answerDelay) {
        auto& job = *std::get<Job*>(*this->latestStarts.begin());
        auto latestStart = job.deadline - job.expectedRunTime;
        if (job.starts == 0 && job.latestStart == latestStart)
            return true;
        this->latestStarts.erase(this->latestStarts.begin());
        job.latestStart = latestStart;
        if (job.starts == 0)
            this->latestStarts.emplace(job.latestStart, job.rank.arrival, &job);
    }
    return false;
}

// Refuses the jobs of which no task has started and which cannot end before their deadline if the jobs ahead of them are served
// first.
void TaskScheduler::refuseJobsMissingDeadline(Instant now)
{
    auto capacity = this->knowsAllTargets ? this->usableCapacity() : 0;
    if (!this->mayMissDeadline(capacity, now))
        return;
    double workAhead = 0;
    std::vector<std::pair<std::string, Milliseconds>> missingDeadline;
    for (const auto& [rank, entry] : this->jobsByRank) {
        const auto& job = *entry;
        auto wait = capacity > 0 ? Milliseconds(static_cast<Milliseconds::rep>(workAhead / capacity)) : Milliseconds(0);
        if (job.starts == 0 && job.waiting == job.tasks.size() && now + wait + job.expectedRunTime + deadlineMargin + this->answerDelay >= job.deadline)
            missingDeadline.emplace_back(job.submission.job, wait);
        else
            workAhead += static_cast<double>(expectedWork(job, job.waiting));
    }
    for (const auto& [name, wait] : missingDeadline)
        this->finishJob(name, JobEnd::Refused, "deadline", now, std::clamp(wait, minimumRetryAfter, maximumRetryAfter));
}

}
