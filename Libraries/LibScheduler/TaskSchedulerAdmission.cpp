#include <LibScheduler/TaskScheduler.h>
#include <algorithm>

// What is refused, and what waits behind what: the answer to more jobs than the targets can do.
namespace Sassafrasshift::Scheduler {

using Membership::TargetState;

// The share of a target's room that tasks fill on average, since they do not divide it evenly.
static constexpr double usableCapacityShare { 0.8 };
// What a job's answer needs to reach its caller.
static constexpr Milliseconds deadlineMargin { 60 };
static constexpr Milliseconds minimumRetryAfter { 200 };
static constexpr Milliseconds maximumRetryAfter { 5000 };

// Milliseconds of a thousandth of a core.
double TaskScheduler::remainingWork(const Job& job)
{
    return static_cast<double>(job.waiting) * static_cast<double>(job.submission.needs.milliCores) * toMilliseconds(job.expected);
}

// Thousandths of a core that targets can put to use; tasks do not fill them to the last.
double TaskScheduler::workRate() const
{
    double capacity = 0;
    for (const auto& [identity, target] : this->targets) {
        const auto& report = target.session.target();
        if (report.state == TargetState::Serving && !target.session.isFenced())
            capacity += static_cast<double>(report.capacity.milliCores);
    }
    return capacity * usableCapacityShare;
}

// What runs is taken to be half done.
std::vector<PoolLoad> TaskScheduler::loads() const
{
    static constexpr double remainingShareOfRuns = 0.5;
    std::map<std::string, double> capacity;
    for (const auto& [identity, target] : this->targets) {
        const auto& report = target.session.target();
        if (report.state == TargetState::Serving && !target.session.isFenced())
            capacity[report.pool] += static_cast<double>(report.capacity.milliCores) * usableCapacityShare;
    }
    std::map<std::string, double> open;
    for (const auto& [name, job] : this->jobs) {
        auto placed = static_cast<double>(job.tasks.size() - job.waiting - job.done);
        open[job.submission.pool] += (static_cast<double>(job.waiting) + placed * remainingShareOfRuns) * static_cast<double>(job.submission.needs.milliCores) * toMilliseconds(job.expected);
    }
    std::vector<PoolLoad> loads;
    for (const auto& [pool, usable] : capacity) {
        if (usable > 0)
            loads.push_back(PoolLoad { pool, static_cast<int64_t>(usable), static_cast<Milliseconds::rep>(open[pool] / usable) });
    }
    return loads;
}

Milliseconds TaskScheduler::expectedWait(const Submission& submission) const
{
    double queued = 0;
    for (const auto& [rank, job] : this->jobsByRank) {
        if (rank.isLate || rank.priority > submission.priority)
            break;
        queued += remainingWork(*job);
    }
    auto rate = this->workRate();
    return rate > 0 ? Milliseconds(static_cast<Milliseconds::rep>(queued / rate)) : Milliseconds(0);
}

std::optional<JobOutcome> TaskScheduler::refusalFor(const Submission& submission, Instant) const
{
    JobOutcome outcome { submission.job, JobEnd::Refused, "overloaded", minimumRetryAfter.count() };
    if (this->jobs.size() >= this->options.maximumJobs)
        return outcome;
    bool anyTarget = false;
    for (const auto& [identity, target] : this->targets) {
        const auto& report = target.session.target();
        anyTarget = anyTarget || (report.pool == submission.pool && submission.needs.fitInto(report.capacity));
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

// Answers a burst beyond what the targets can do: were all served in the order of their objectives, all would be late.
void TaskScheduler::demoteLateJobs(Instant now)
{
    std::vector<Job*> late;
    for (const auto& [rank, job] : this->jobsByRank) {
        if (!rank.isLate && job->starts == 0 && now + job->expected > rank.objective)
            late.push_back(job);
    }
    for (auto* job : late) {
        this->jobsByRank.erase(job->rank);
        job->rank.isLate = true;
        this->jobsByRank.emplace(job->rank, job);
    }
}

// A job of which nothing has started, and which cannot end in time behind what comes before it, is refused at once.
void TaskScheduler::refuseJobsMissingDeadline(Instant now)
{
    auto rate = this->knowsAllTargets ? this->workRate() : 0;
    double ahead = 0;
    std::vector<std::string> missingDeadline;
    for (const auto& [rank, entry] : this->jobsByRank) {
        const auto& job = *entry;
        auto wait = rate > 0 ? Milliseconds(static_cast<Milliseconds::rep>(ahead / rate)) : Milliseconds(0);
        if (job.starts == 0 && job.waiting == job.tasks.size() && now + wait + job.expected + deadlineMargin >= job.deadline)
            missingDeadline.push_back(job.submission.job);
        else
            ahead += remainingWork(job);
    }
    for (const auto& name : missingDeadline)
        this->finishJob(name, JobEnd::Refused, "deadline", now);
}

}
