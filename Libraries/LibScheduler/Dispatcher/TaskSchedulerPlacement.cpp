#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <algorithm>
#include <cmath>
#include <utility>

// Placement of tasks on targets of different kinds, some of which may be temporarily slow.
namespace Sassafrasshift::Scheduler {

// A target whose measured slowness is higher than this gets no tasks until the slowness has decayed.
static constexpr double maximumUsableSlowness { 2.5 };

// The tasks that one pass over the queue starts at most, so that other events are handled between two passes.
static constexpr size_t maximumStartsPerPass = 256;

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
    if (!isReady || !std::exchange(this->jobsAwaitHome, false))
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

// Chooses a target that is not cold if there is one, of these the target with the shortest expected run time, and among equal ones the target
// with the least free capacity after the task is placed (best fit); none if the task cannot be placed now.
TaskScheduler::Choice TaskScheduler::chooseTarget(const Job& job, ExpectedRunTimes& expectedRunTimes, Instant now)
{
    const auto& submission = job.submission;
    Choice choice { nullptr, false, true };
    // While capacity is short, work that would end late is not started.
    bool refusesLateStart = this->shares.isSharing() && job.starts == 0 && !job.rank.isLate;
    // Lower is better.
    struct Score {
        bool isCold { false };
        Milliseconds expected { 0 };
        int64_t freeMilliCores { 0 };

        auto operator<=>(const Score&) const = default;
    };
    Score bestScore {};
    // The choice without regard to interference.
    const FreeTarget* plainChoice = nullptr;
    Score bestPlainScore {};
    auto kind = this->interference.hasPairs() ? this->interference.findKind(submission.queue) : std::nullopt;
    for (auto& candidate : this->freeTargets) {
        if (!submission.needs.fitInto(candidate.free))
            continue;
        const auto& session = candidate.target->session;
        const auto& report = session.target();
        if (report.pool != submission.pool || !candidate.target->isSelected || !this->mayStartOn(*candidate.target, submission.needs, now))
            continue;
        if (!submission.requiredLabel.empty() && std::find(report.labels.begin(), report.labels.end(), submission.requiredLabel) == report.labels.end())
            continue;
        if (!candidate.slowness)
            candidate.slowness = candidate.target->speed.slowness(now);
        if (*candidate.slowness > maximumUsableSlowness)
            continue;
        if (session.runs().size() >= this->options.maximumRunsPerTarget)
            continue;
        choice.hasRoom = true;
        if (submission.maximumPerTarget > 0 && session.countRuns(submission.job) >= submission.maximumPerTarget)
            continue;
        auto expected = Milliseconds(static_cast<Milliseconds::rep>(toMilliseconds(expectedRunTimes.onKind(report.kind)) * *candidate.slowness));
        if (refusesLateStart && now + expected > job.rank.objective) {
            choice.isRefusedAsLate = true;
            continue;
        }
        Score score { candidate.target->coldStart.isCold(now), expected, candidate.free.minus(submission.needs).milliCores };
        if (kind) {
            if ((!plainChoice || score < bestPlainScore) && session.canLease(*job.lease, now)) {
                plainChoice = &candidate;
                bestPlainScore = score;
            }
            score.expected = Milliseconds(static_cast<Milliseconds::rep>(toMilliseconds(expected) * this->interference.penalty(candidate.target->neighbours, *kind)));
        }
        if ((!choice.target || score < bestScore) && session.canLease(*job.lease, now)) {
            choice.target = &candidate;
            bestScore = score;
        }
    }
    choice.isSeparated = kind && choice.target != plainChoice;
    return choice;
}

TaskScheduler::Choice TaskScheduler::placeTasks(Job& job, size_t& startsLeft, Instant now)
{
    ExpectedRunTimes expectedRunTimes(this->speeds, job.submission);
    Choice choice { nullptr, true, false };
    while (job.firstWaiting < job.tasks.size() && job.tasks[job.firstWaiting].state != TaskState::Waiting)
        ++job.firstWaiting;
    for (auto index = job.firstWaiting; index < job.tasks.size() && job.waiting > 0 && startsLeft > 0; ++index) {
        auto& task = job.tasks[index];
        if (task.state != TaskState::Waiting || this->mayHaveBeenTakenOver(job, task))
            continue;
        if (!this->unansweredStarts.admits(job.submission.payload.size())) {
            this->isPlacementHeldUp = true;
            break;
        }
        choice = this->chooseTarget(job, expectedRunTimes, now);
        if (!choice.target)
            break;
        auto& session = choice.target->target->session;
        task.state = TaskState::Placed;
        task.target = session.target().identity;
        task.run = task.nextRunNumber++;
        --job.waiting;
        --startsLeft;
        if (job.starts++ == 0) {
            job.waitTime = std::chrono::duration_cast<Milliseconds>(now - job.arrivedAt);
            this->shares.onStarted(job.share);
        }
        RunId run { TaskId { job.submission.job, 0, 0, static_cast<uint32_t>(index) }, task.run };
        this->unansweredStarts.add(run, job.submission.payload.size());
        session.start(run, job.submission.needs, job.submission.payload, job.lease, now);
        choice.target->free = session.freeCapacity();
        this->separatedTasks += choice.isSeparated ? 1 : 0;
        if (this->options.separateInterfering)
            this->interference.onStarted(choice.target->target->neighbours, run, job.submission.queue, true, now);
    }
    this->updateQueue(job);
    return choice;
}

// The targets stay in the order of their identities, which decides between equal ones.
void TaskScheduler::findFreeTargets(Instant now)
{
    this->freeTargets.clear();
    for (auto& [key, target] : this->targets) {
        if (target.session.canStartRuns(now))
            this->freeTargets.push_back(FreeTarget { &target, target.session.freeCapacity() });
    }
}

// Returns the largest free capacity of a target that can start runs, in thousandths of a core. Jobs whose tasks need more are
// skipped.
int64_t TaskScheduler::largestFreeCapacity() const
{
    int64_t largestFree = 0;
    for (const auto& candidate : this->freeTargets)
        largestFree = std::max(largestFree, candidate.free.milliCores);
    return largestFree;
}

// Neither the set of free targets nor their speeds change during a pass, and their free capacity only shrinks. So a shape that has no room
// once has none for the rest of the pass. A start on a target lets it accept no job whose entry lease is older than that of the
// started one, so if all targets refuse a job for its lease, they refuse those with older ones too. A pass that has started as many tasks as
// it may leaves the rest to the next one.
void TaskScheduler::placeWaitingTasks(Instant now)
{
    this->needsPlacement = false;
    if (!this->isActive() || this->waitingJobs.isEmpty() || !this->evacuations.isKnown())
        return;
    using Result = WaitingJobs<Job>::Result;
    this->findFreeTargets(now);
    auto largestFree = this->largestFreeCapacity();
    // Their ranks change after the pass, since a visit must not add jobs to the queue.
    std::vector<Job*> started;
    auto startsLeft = maximumStartsPerPass;
    auto visit = [&](Job& job, Instant& refusedLease) {
        if (startsLeft == 0) {
            this->needsPlacement = true;
            return Result::PassIsOver;
        }
        bool mayLease = job.submission.maximumPerTarget > 0 || job.lease->lastExtendedAt > refusedLease;
        if (!mayLease || !this->mayStartTasks(job, now))
            return Result::Continue;
        auto waiting = job.waiting;
        auto last = this->placeTasks(job, startsLeft, now);
        if (job.waiting < waiting)
            largestFree = this->largestFreeCapacity();
        if (job.waiting > 0 && job.waiting < waiting)
            started.push_back(&job);
        if (startsLeft == 0 && job.waiting > 0)
            this->needsPlacement = true;
        if (last.isSearched && !last.target && !last.isRefusedAsLate && job.submission.maximumPerTarget == 0)
            refusedLease = job.lease->lastExtendedAt;
        return last.hasRoom ? Result::Continue : Result::ShapeHasNoRoom;
    };
    this->waitingJobs.visit([&] { return largestFree; }, visit);
    for (auto* job : started)
        this->preferIfStarted(*job);
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

// Runs on a target that is currently slow say nothing about their neighbours.
void TaskScheduler::observeNeighbours(Target& target, const TargetSession::Event& event, Instant now)
{
    if (!this->options.separateInterfering)
        return;
    std::optional<InterferenceModel::Sample> sample;
    auto job = this->jobs.find(event.run.task.job);
    if (event.end == RunEnd::Done && job != this->jobs.end() && target.speed.slowness(now) < maximumUsableSlowness) {
        const auto& submission = job->second.submission;
        sample = InterferenceModel::Sample { event.duration, Milliseconds(submission.estimateMilliseconds), submission.taskCount };
    }
    this->interference.onEnded(target.neighbours, event.run, sample, now);
}

void TaskScheduler::updateInterference(Instant now)
{
    if (!this->options.separateInterfering)
        return;
    for (const auto& [pair, hasBegun] : this->interference.evaluate(now)) {
        auto percent = std::to_string(std::lround((pair.ratio - 1) * 100));
        auto since = std::chrono::duration_cast<std::chrono::seconds>(now - pair.since).count();
        auto cause = "runs of " + pair.queue + " take " + percent + " % longer next to runs of " + pair.neighbour;
        if (hasBegun)
            this->recordDecision(Decision::Kind::InterferenceFound, {}, {}, cause + "; they are kept apart where targets have room");
        else
            this->recordDecision(Decision::Kind::InterferenceEnded, {}, {}, cause + ", which is no longer certain after " + std::to_string(since) + " s; they are not kept apart any more");
    }
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
