#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <algorithm>

// Placement of tasks on targets of different kinds, some of which may be temporarily slow.
namespace Sassafrasshift::Scheduler {

// A target whose measured slowness is higher than this gets no tasks until the slowness has decayed.
static constexpr double maximumUsableSlowness { 2.5 };

// That all known targets have been claimed does not prove that the runs of an earlier dispatcher are known: that one may have had
// other targets, or may have claimed targets again since.
bool TaskScheduler::mayStartTasks(const Job& job, Instant now) const
{
    if (job.submission.placement.isRequested && (job.awaitsHome || this->isHomeSuperseded))
        return false;
    return now >= job.otherShardRunsEndAt && now >= job.earlierRunsEndAt && now < job.deadline && now - job.lease->lastExtendedAt < this->options.entryLease;
}

void TaskScheduler::setHomeState(bool isReady, bool isSuperseded)
{
    this->isHomeSuperseded = isSuperseded;
    if (!isReady)
        return;
    for (auto& [name, job] : this->jobs) {
        this->needsPlacement = this->needsPlacement || job.awaitsHome;
        job.awaitsHome = false;
    }
}

// Returns whether the last run of a waiting task may continue although its leases have expired here. Another dispatcher that has
// claimed the target may have adopted the run and extended its leases, if the entry host has handed the job over to it. A message
// that the entry host sent here later shows that it has not: the answer to the renewal request, or any that arrives after the longest
// transit time.
bool TaskScheduler::mayHaveBeenTakenOver(const Job& job, const Task& task) const
{
    return task.leasesExpiredAt && job.lastAnsweredRequest < task.renewalRequest && job.lease->lastExtendedAt <= *task.leasesExpiredAt + this->options.maximumTransitTime;
}

class TaskScheduler::ExpectedRunTimes {
public:
    ExpectedRunTimes(const SpeedEstimator& speeds, const Submission& submission)
        : speeds(speeds)
        , submission(submission)
    {
    }

    Milliseconds onKind(const std::string& kind)
    {
        for (const auto& known : this->durations) {
            if (*known.first == kind)
                return known.second;
        }
        auto expected = this->speeds.expected(this->submission.queue, kind, Milliseconds(this->submission.estimateMilliseconds));
        this->durations.emplace_back(&kind, expected);
        return expected;
    }

private:
    const SpeedEstimator& speeds;
    const Submission& submission;
    std::vector<std::pair<const std::string*, Milliseconds>> durations;
};

// Returns the target with the shortest expected run time, and among equal ones the target with the least free capacity after the
// task is placed (best fit); null if the task cannot be placed now.
TargetSession* TaskScheduler::chooseTarget(const Job& job, ExpectedRunTimes& expectedRunTimes, Instant now)
{
    const auto& submission = job.submission;
    TargetSession* best = nullptr;
    std::pair<Milliseconds, int64_t> bestScore {};
    for (auto& [key, target] : this->targets) {
        auto& session = target.session;
        const auto& report = session.target();
        if (!submission.needs.fitInto(session.freeCapacity()) || report.pool != submission.pool || !session.canStartRuns(now) || !target.isSelected)
            continue;
        if (!submission.requiredLabel.empty() && std::find(report.labels.begin(), report.labels.end(), submission.requiredLabel) == report.labels.end())
            continue;
        if (submission.maximumPerTarget > 0 && session.countRuns(submission.job) >= submission.maximumPerTarget)
            continue;
        auto slowness = target.speed.slowness(now);
        if (slowness > maximumUsableSlowness)
            continue;
        auto expected = Milliseconds(static_cast<Milliseconds::rep>(toMilliseconds(expectedRunTimes.onKind(report.kind)) * slowness));
        // While capacity is short, work that would end late is not started.
        if (this->shares.isSharing() && job.starts == 0 && !job.rank.isLate && now + expected > job.rank.objective)
            continue;
        std::pair score { expected, session.freeCapacity().minus(submission.needs).milliCores };
        if ((!best || score < bestScore) && session.canLease(*job.lease, now)) {
            best = &session;
            bestScore = score;
        }
    }
    return best;
}

void TaskScheduler::placeTasks(Job& job, Instant now)
{
    ExpectedRunTimes expectedRunTimes(this->speeds, job.submission);
    for (size_t index = 0; index < job.tasks.size() && job.waiting > 0; ++index) {
        auto& task = job.tasks[index];
        if (task.state != TaskState::Waiting || this->mayHaveBeenTakenOver(job, task))
            continue;
        auto* session = this->chooseTarget(job, expectedRunTimes, now);
        if (!session)
            return;
        task.state = TaskState::Placed;
        task.target = session->target().identity;
        task.run = task.nextRunNumber++;
        --job.waiting;
        if (job.starts++ == 0) {
            job.waitTime = std::chrono::duration_cast<Milliseconds>(now - job.arrivedAt);
            this->shares.onStarted(job.share);
        }
        session->start(RunId { TaskId { job.submission.job, 0, 0, static_cast<uint32_t>(index) }, task.run }, job.submission.needs, job.submission.payload, job.lease, now);
    }
}

// Returns the largest free capacity of a target that can start runs, in thousandths of a core. Jobs whose tasks need more are
// skipped.
int64_t TaskScheduler::largestFreeCapacity(Instant now) const
{
    int64_t largestFree = 0;
    for (const auto& [key, target] : this->targets) {
        if (auto freeMilliCores = target.session.freeCapacity().milliCores; freeMilliCores > largestFree && target.session.canStartRuns(now))
            largestFree = freeMilliCores;
    }
    return largestFree;
}

void TaskScheduler::placeWaitingTasks(Instant now)
{
    this->needsPlacement = false;
    if (!this->isActive() || this->jobsByRank.empty())
        return;
    auto largestFree = this->largestFreeCapacity(now);
    std::vector<Job*> started;
    for (const auto& [rank, job] : this->jobsByRank) {
        if (largestFree <= 0)
            break;
        if (job->waiting == 0 || job->submission.needs.milliCores > largestFree || !this->mayStartTasks(*job, now))
            continue;
        this->placeTasks(*job, now);
        largestFree = this->largestFreeCapacity(now);
        if (this->shares.isSharing() && job->starts > 0 && job->waiting > 0)
            started.push_back(job);
    }
    this->preferStartedJobs(started);
}

void TaskScheduler::observeRun(const Job& job, Target& target, Milliseconds duration, Instant now)
{
    const auto& kind = target.session.target().kind;
    Milliseconds estimate(job.submission.estimateMilliseconds);
    target.speed.observe(duration, this->speeds.expected(job.submission.queue, kind, estimate), now);
    // Runs on a target that is currently slow do not represent its kind.
    if (target.speed.slowness(now) < maximumUsableSlowness)
        this->speeds.observe(job.submission.queue, kind, estimate, duration);
}

// Detects slow targets by their runs that already take longer than usual, before these runs end.
void TaskScheduler::observeUnfinishedRuns(Instant now)
{
    for (auto& [key, target] : this->targets) {
        for (const auto& [id, run] : target.session.runs()) {
            auto position = this->jobs.find(id.task.job);
            if (position == this->jobs.end() || run.startedAt == Instant {} || run.lastReportedRunningAt < run.startedAt)
                continue;
            const auto& submission = position->second.submission;
            auto usual = this->speeds.expected(submission.queue, target.session.target().kind, Milliseconds(submission.estimateMilliseconds));
            target.speed.observeUnfinished(std::chrono::duration_cast<Milliseconds>(run.lastReportedRunningAt - run.startedAt), usual, now);
        }
    }
}

TaskScheduler::TargetCounts TaskScheduler::countTargets(Instant now) const
{
    TargetCounts counts;
    for (const auto& [key, target] : this->targets) {
        if (!target.session.isRetired())
            ++counts.known;
        if (!target.session.canStartRuns(now))
            continue;
        ++counts.usable;
        if (target.speed.slowness(now) > maximumUsableSlowness)
            ++counts.slow;
    }
    return counts;
}

}
