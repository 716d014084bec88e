#include "SimpleRules.h"
#include <algorithm>
#include <utility>

namespace Sassafrasshift::Scheduler {

static constexpr double maximumUsableSlowness { 2.5 };
static constexpr double usableCapacityShare { 0.8 };
static constexpr Milliseconds deadlineMargin { 60 };

TargetSession* SimpleRules::chooseTarget(TaskScheduler& scheduler, const TaskScheduler::Job& job, Instant now)
{
    const auto& submission = job.submission;
    TargetSession* best = nullptr;
    std::pair<Milliseconds, int64_t> bestScore {};
    for (auto& [key, target] : scheduler.targets) {
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
        auto usual = scheduler.speeds.expected(submission.queue, report.kind, Milliseconds(submission.estimateMilliseconds));
        auto expected = Milliseconds(static_cast<Milliseconds::rep>(toMilliseconds(usual) * slowness));
        if (scheduler.shares.isSharing() && job.starts == 0 && !job.rank.isLate && now + expected > job.rank.objective)
            continue;
        std::pair score { expected, session.freeCapacity().minus(submission.needs).milliCores };
        if ((!best || score < bestScore) && session.canLease(*job.lease, now)) {
            best = &session;
            bestScore = score;
        }
    }
    return best;
}

void SimpleRules::placeTasks(TaskScheduler& scheduler, TaskScheduler::Job& job, Instant now)
{
    for (size_t index = 0; index < job.tasks.size() && job.waiting > 0; ++index) {
        auto& task = job.tasks[index];
        if (task.state != TaskScheduler::TaskState::Waiting || scheduler.mayHaveBeenTakenOver(job, task))
            continue;
        auto* session = chooseTarget(scheduler, job, now);
        if (!session)
            return;
        task.state = TaskScheduler::TaskState::Placed;
        task.target = session->target().identity;
        task.run = task.nextRunNumber++;
        --job.waiting;
        if (job.starts++ == 0) {
            job.waitTime = std::chrono::duration_cast<Milliseconds>(now - job.arrivedAt);
            scheduler.shares.onStarted(job.share);
        }
        session->start(RunId { TaskId { job.submission.job, 0, 0, static_cast<uint32_t>(index) }, task.run }, job.submission.needs, job.submission.payload, job.lease, now);
    }
}

void SimpleRules::placeWaitingTasks(TaskScheduler& scheduler, Instant now)
{
    if (!scheduler.isActive() || !std::exchange(scheduler.needsPlacement, false))
        return;
    auto hasFreeCapacity = [&] {
        return std::any_of(scheduler.targets.begin(), scheduler.targets.end(), [&](const auto& entry) { return entry.second.session.freeCapacity().milliCores > 0 && entry.second.session.canStartRuns(now); });
    };
    std::vector<TaskScheduler::Job*> started;
    for (auto& [rank, job] : scheduler.jobsByRank) {
        if (!hasFreeCapacity())
            break;
        if (job->waiting == 0 || !scheduler.mayStartTasks(*job, now))
            continue;
        auto waiting = job->waiting;
        placeTasks(scheduler, *job, now);
        scheduler.updateQueue(*job);
        if (job->waiting > 0 && job->waiting < waiting)
            started.push_back(job);
    }
    for (auto* job : started)
        scheduler.preferIfStarted(*job);
}

std::string SimpleRules::checkSums(const TaskScheduler& scheduler, Instant now)
{
    double capacity = 0;
    for (const auto& [key, target] : scheduler.targets) {
        if (scheduler.countsAsCapacity(target.session))
            capacity += static_cast<double>(target.session.target().capacity.milliCores);
    }
    if (capacity * usableCapacityShare != scheduler.usableCapacity())
        return "capacity";
    std::map<std::string, double> openWork;
    std::map<int64_t, double> waitingWork;
    auto makeSubmission = [](int64_t priority) {
        Submission submission;
        submission.priority = priority;
        submission.queue = "queue-" + std::to_string(priority);
        submission.originDomain = "domain-0";
        return submission;
    };
    auto place = [&](const JobRank& rank) { return std::pair(rank.priority, scheduler.shares.stepsOf(rank.tag)); };
    for (const auto& [name, job] : scheduler.jobs) {
        auto workOfTask = static_cast<double>(job.submission.needs.milliCores) * toMilliseconds(job.expectedRunTime);
        openWork[job.submission.pool] += (static_cast<double>(job.waiting) + static_cast<double>(job.tasks.size() - job.waiting - job.done) / 2) * workOfTask;
        for (int64_t priority = 0; priority <= 2 && !job.rank.isLate; ++priority)
            waitingWork[priority] += place(job.rank) <= place(scheduler.rankOf(makeSubmission(priority), now)) ? static_cast<double>(job.waiting) * workOfTask : 0;
    }
    for (auto [priority, waiting] : waitingWork) {
        auto wait = capacity > 0 ? Milliseconds(static_cast<Milliseconds::rep>(waiting / (capacity * usableCapacityShare))) : Milliseconds(0);
        if (wait != scheduler.expectedWait(makeSubmission(priority), now))
            return "expected wait at priority " + std::to_string(priority);
    }
    for (const auto& [pool, open] : openWork) {
        if (open * 2 != static_cast<double>(scheduler.work.doubledOpenWork(pool)))
            return "open work of " + pool;
    }
    return {};
}

bool SimpleRules::hasChecked(const TaskScheduler& scheduler, Instant now)
{
    return scheduler.nextPeriodicCheck == now + Milliseconds(50);
}

std::string SimpleRules::checkJobs(const TaskScheduler& scheduler, Instant now)
{
    double workAhead = 0;
    auto capacity = scheduler.knowsAllTargets ? scheduler.usableCapacity() : 0;
    for (const auto& [rank, job] : scheduler.jobsByRank) {
        if (now - job->lease->lastExtendedAt >= scheduler.options.entryLease || now >= job->deadline)
            return job->submission.job + " has expired";
        bool shouldBeLate = job->starts == 0 && now + job->expectedRunTime > rank.objective;
        if (rank.isLate ? job->starts == 0 && !shouldBeLate : shouldBeLate)
            return job->submission.job + " has the wrong place in the queue";
        auto wait = capacity > 0 ? Milliseconds(static_cast<Milliseconds::rep>(workAhead / capacity)) : Milliseconds(0);
        if (job->starts == 0 && job->waiting == job->tasks.size() && now + wait + job->expectedRunTime + deadlineMargin >= job->deadline)
            return job->submission.job + " misses its deadline";
        workAhead += static_cast<double>(job->waiting) * static_cast<double>(job->submission.needs.milliCores) * toMilliseconds(job->expectedRunTime);
    }
    return {};
}

}
