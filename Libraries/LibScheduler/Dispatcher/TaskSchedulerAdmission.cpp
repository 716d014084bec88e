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

// Returns the work of the waiting tasks, in milliseconds multiplied by thousandths of a core.
double TaskScheduler::remainingWork(const Job& job)
{
    return static_cast<double>(job.waiting) * static_cast<double>(job.submission.needs.milliCores) * toMilliseconds(job.expectedRunTime);
}

// A target that does not answer finishes nothing that could be counted on.
bool TaskScheduler::countsAsCapacity(const TargetSession& session)
{
    return session.target().state == TargetState::Serving && !session.isFenced() && !session.isRetired() && !session.isSilent();
}

// Returns the usable capacity of all targets that count, in thousandths of a core.
double TaskScheduler::usableCapacity() const
{
    double capacity = 0;
    for (const auto& [key, target] : this->targets) {
        if (countsAsCapacity(target.session))
            capacity += static_cast<double>(target.session.target().capacity.milliCores);
    }
    return capacity * usableCapacityShare;
}

// A placed task counts with half of its expected run time, because on average half of the run is assumed to be over.
std::vector<PoolLoad> TaskScheduler::loads() const
{
    static constexpr double remainingShareOfRuns = 0.5;
    std::map<std::string, double> capacity;
    for (const auto& [key, target] : this->targets) {
        const auto& report = target.session.target();
        if (countsAsCapacity(target.session))
            capacity[report.pool] += static_cast<double>(report.capacity.milliCores) * usableCapacityShare;
    }
    std::map<std::string, double> openWork;
    for (const auto& [name, job] : this->jobs) {
        auto placed = static_cast<double>(job.tasks.size() - job.waiting - job.done);
        openWork[job.submission.pool] += (static_cast<double>(job.waiting) + placed * remainingShareOfRuns) * static_cast<double>(job.submission.needs.milliCores) * toMilliseconds(job.expectedRunTime);
    }
    std::vector<PoolLoad> loads;
    for (const auto& [pool, usable] : capacity) {
        if (usable > 0)
            loads.push_back(PoolLoad { pool, static_cast<int64_t>(usable), static_cast<Milliseconds::rep>(openWork[pool] / usable) });
    }
    return loads;
}

// Returns how long the targets need for the waiting tasks of the jobs that are not late and have the same or a higher priority.
Milliseconds TaskScheduler::expectedWait(const Submission& submission) const
{
    double workAhead = 0;
    for (const auto& [rank, job] : this->jobsByRank) {
        if (rank.isLate || rank.priority > submission.priority)
            break;
        workAhead += remainingWork(*job);
    }
    auto capacity = this->usableCapacity();
    return capacity > 0 ? Milliseconds(static_cast<Milliseconds::rep>(workAhead / capacity)) : Milliseconds(0);
}

// Returns the refusal of a job that must not be admitted, or nothing if the job is admitted.
std::optional<JobOutcome> TaskScheduler::refusalFor(const Submission& submission) const
{
    JobOutcome outcome { submission.job, JobEnd::Refused, "overloaded", minimumRetryAfter.count(), 0, 0, submission.firstRunNumber };
    if (this->jobs.size() >= this->options.maximumJobs || this->openTasks + submission.taskCount > this->options.maximumTasks)
        return outcome;
    bool anyTarget = false;
    for (const auto& [key, target] : this->targets) {
        const auto& report = target.session.target();
        anyTarget = anyTarget || (report.pool == submission.pool && !target.session.isRetired() && submission.needs.fitInto(report.capacity));
    }
    if (!this->knowsAllTargets)
        return {};
    if (!anyTarget) {
        outcome.reason = "no-target";
        outcome.retryAfterMilliseconds = 1000;
        return outcome;
    }
    auto wait = this->expectedWait(submission);
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
    std::vector<Job*> late;
    for (const auto& [rank, job] : this->jobsByRank) {
        if (!rank.isLate && job->starts == 0 && now + job->expectedRunTime > rank.objective)
            late.push_back(job);
    }
    for (auto* job : late) {
        auto rank = job->rank;
        rank.isLate = true;
        rank.priority = job->submission.priority;
        this->changeRank(*job, rank);
        this->shares.onLate(job->share);
    }
}

// Refuses the jobs of which no task has started and which cannot end before their deadline if the jobs ahead of them are served
// first.
void TaskScheduler::refuseJobsMissingDeadline(Instant now)
{
    auto capacity = this->knowsAllTargets ? this->usableCapacity() : 0;
    double workAhead = 0;
    std::vector<std::pair<std::string, Milliseconds>> missingDeadline;
    for (const auto& [rank, entry] : this->jobsByRank) {
        const auto& job = *entry;
        auto wait = capacity > 0 ? Milliseconds(static_cast<Milliseconds::rep>(workAhead / capacity)) : Milliseconds(0);
        if (job.starts == 0 && job.waiting == job.tasks.size() && now + wait + job.expectedRunTime + deadlineMargin >= job.deadline)
            missingDeadline.emplace_back(job.submission.job, wait);
        else
            workAhead += remainingWork(job);
    }
    for (const auto& [name, wait] : missingDeadline)
        this->finishJob(name, JobEnd::Refused, "deadline", now, std::clamp(wait, minimumRetryAfter, maximumRetryAfter));
}

}
