#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <algorithm>
#include <utility>

namespace Sassafrasshift::Scheduler {

using Membership::TargetReport;

static constexpr Milliseconds periodicCheckInterval { 50 };
static constexpr Milliseconds outcomeCleanupInterval { 500 };
// How many run numbers are skipped when a target refuses a run because it has had a run of the same task with the same or a higher
// number.
static constexpr uint64_t staleRunNumberStep { 100 };
// The stop orders that one call of takeEffects() returns at most. The leases of runs that are being stopped are not extended meanwhile.
static constexpr size_t maximumStopsPerPass = 256;
// For how long after a target has announced its end an earlier dispatcher may keep runs there alive, because it has not been told.
static constexpr Milliseconds removalNoticeTime { 2000 };

TaskScheduler::TaskScheduler(Options options)
    : options(options)
    , finishedJobs(options.outcomeRetention)
    , unansweredStarts(options.maximumUnansweredPayload)
    , shares({})
    , interference({})
{
}

void TaskScheduler::activate(uint64_t token, Instant now, TargetSelector newSelector)
{
    bool wasActive = this->isActive();
    this->fence = token;
    this->selector = std::move(newSelector);
    if (wasActive) {
        for (auto& [key, target] : this->targets) {
            target.session.reclaim(token, now);
            this->updateCapacity(target);
        }
        for (auto& [name, job] : this->jobs)
            job.awaitsHome = job.submission.placement.isRequested;
        this->jobsAwaitHome = true;
        return;
    }
    for (const auto& [identity, known] : this->reports.entries()) {
        bool isGone = known.removedAt && now - *known.removedAt >= removalNoticeTime;
        if (isGone || known.report.address.empty() || !this->isSelected(known.report))
            continue;
        auto& target = this->targets.emplace(TargetKey { identity, known.report.address }, Target { TargetSession(known.report, token, this->options.leases, now), {} }).first->second;
        target.coldStart.observe(known.report.incarnation, Milliseconds(known.report.coldLeftMilliseconds), known.reportedAt);
        if (known.removedAt)
            target.session.retire(now);
        this->updateCapacity(target);
    }
}

void TaskScheduler::deactivate()
{
    this->fence = 0;
    this->targets.clear();
    this->jobs.clear();
    this->openTasks = 0;
    this->jobsByRank.clear();
    this->waitingJobs.clear();
    this->work.clear();
    this->jobsByEntry.clear();
    this->jobsByFormerEntry.clear();
    this->expiryChecks.clear();
    this->lateJobChecks.clear();
    this->latestStarts.clear();
    this->finishedJobs.clear();
    this->lapsedRuns.clear();
    this->unansweredStarts.clear();
    this->shares.clear();
    this->interference = InterferenceModel({});
    this->isHomeSuperseded = false;
    this->jobsAwaitHome = false;
    this->effects = {};
}

void TaskScheduler::onReport(const TargetReport& report, Instant now)
{
    auto update = this->reports.update(report, now);
    if (update != Membership::TargetRegistry::Update::Outdated && this->isActive())
        this->applyReport(report, now);
}

void TaskScheduler::applyReport(const TargetReport& report, Instant now)
{
    TargetKey current { report.identity, report.address };
    for (auto position = this->targets.lower_bound(TargetKey { report.identity, {} }); position != this->targets.end() && position->first.identity == report.identity; ++position) {
        if (position->first == current)
            position->second.session.updateReport(report, now);
        else
            position->second.session.retire(now);
        this->processEvents(position->second, now);
    }
    this->removeGoneTargets();
    if (!this->targets.contains(current) && this->isSelected(report))
        this->updateCapacity(this->targets.emplace(current, Target { TargetSession(report, this->fence, this->options.leases, now), {} }).first->second);
    if (auto* target = this->findTarget(TargetInstance { report.identity, report.incarnation, report.address }))
        target->coldStart.observe(report.incarnation, Milliseconds(report.coldLeftMilliseconds), now);
    this->needsPlacement = true;
}

void TaskScheduler::onTargetGone(const std::string& identity, const std::string& incarnation, Instant now)
{
    if (!this->reports.remove(identity, incarnation, now)) {
        this->recordDecision(Decision::Kind::RemovalIgnored, identity, {}, "incarnation " + incarnation + " has ended, and incarnation " + this->reports.entries().at(identity).report.incarnation + " is known");
        return;
    }
    for (auto position = this->targets.lower_bound(TargetKey { identity, {} }); position != this->targets.end() && position->first.identity == identity; ++position) {
        auto& session = position->second.session;
        if (incarnation.empty() || session.target().incarnation <= incarnation)
            session.retire(now);
        this->processEvents(position->second, now);
    }
    this->removeGoneTargets();
    this->needsPlacement = true;
}

void TaskScheduler::removeGoneTargets()
{
    this->eraseTargets([](const Target& target) { return target.session.isGone(); });
}

TaskScheduler::Target* TaskScheduler::findTarget(const TargetInstance& instance)
{
    auto position = this->targets.find(TargetKey { instance.identity, instance.address });
    return position == this->targets.end() ? nullptr : &position->second;
}

void TaskScheduler::submit(const std::string& entry, const Submission& submission, Instant now, Milliseconds leaseAge)
{
    if (!this->isActive())
        return;
    if (auto known = this->jobs.find(submission.job); known != this->jobs.end()) {
        auto& job = known->second;
        bool isSameEntry = job.entry == entry && job.submission.entryIncarnation == submission.entryIncarnation;
        if (isSameEntry && submission.firstRunNumber <= job.submission.firstRunNumber)
            return this->recordSubmittedAgain(job, entry, "the same submission came before");
        if (JobFingerprint::of(job.submission) != JobFingerprint::of(submission))
            return this->refuse(entry, JobOutcome { submission.job, JobEnd::Refused, std::string(nameInUse), 0, 0, 0, submission.firstRunNumber }, now, now);
        bool mayRunElsewhere = submission.untilEarlierRunsEnd > 0 || submission.untilOtherShardRunsEnd > 0;
        if (mayRunElsewhere && job.formerEntries.contains(entry)) {
            this->recordSubmittedAgain(job, entry, "another entry host has taken the job over from this one");
            return this->notifyTakenOver(entry, submission.job);
        }
        if (!isSameEntry && !mayRunElsewhere)
            return this->takeOver(job, entry, submission, now, leaseAge);
        // The entry host withdrew the job in between, and another dispatcher may rely on the end of the runs here.
        this->recordReplacement(Decision::Kind::JobDropped, job, entry, "the entry host handed the job over again");
        this->removeDroppedJob(submission.job, now);
    }
    if (this->answerAgain(entry, submission))
        return;
    const auto* earlier = this->finishedJobs.find(submission.job);
    if (auto refusal = this->refusalFor(submission, now); refusal && !this->awaitsEvacuatedTargets(submission, earlier)) {
        if (this->options.shareCapacity)
            this->shares.count({ submission.originDomain, submission.queue }, { 1, 0, 1, 0 });
        if (earlier)
            refusal->starts = earlier->outcome.starts;
        return this->refuse(entry, std::move(*refusal), now + Milliseconds(submission.untilUnknownRunsEnd), now);
    }
    if (earlier)
        this->recordSubmittedAgain(*earlier, entry);
    this->enqueue(entry, submission, earlier, now, leaseAge);
    this->finishedJobs.remove(submission.job);
}

void TaskScheduler::refuseOutdated(const std::string& entry, const Submission& submission, uint64_t highestTerm, Instant now)
{
    if (!this->isActive())
        return;
    JobOutcome refusal { submission.job, JobEnd::Refused, std::string(placementOutdated), 0, 0, 0, submission.firstRunNumber };
    refusal.homeTerm = highestTerm;
    if (const auto* earlier = this->finishedJobs.find(submission.job))
        refusal.starts = earlier->outcome.starts;
    if (auto known = this->jobs.find(submission.job); known != this->jobs.end()) {
        const auto& job = known->second;
        if (job.entry == entry && job.submission.entryIncarnation == submission.entryIncarnation && submission.firstRunNumber <= job.submission.firstRunNumber)
            return this->recordSubmittedAgain(job, entry, "the same submission came before");
        // It may start at any time.
        refusal.starts = 1;
    }
    this->refuse(entry, std::move(refusal), now + Milliseconds(submission.untilUnknownRunsEnd), now);
}

// `unknownRunsEndAt` counts if the job is not remembered here.
void TaskScheduler::refuse(const std::string& entry, JobOutcome refusal, Instant unknownRunsEndAt, Instant now)
{
    const auto* earlier = this->finishedJobs.find(refusal.job);
    this->addKnownRuns(refusal, earlier ? earlier->earlierRunsEndAt : unknownRunsEndAt, now);
    this->recordRefusal(refusal.job, refusal.reason, refusal.starts);
    this->effects.notices.push_back(Notice { entry, std::move(refusal) });
}

// Adds the runs of the job that have not ended, those included that other dispatchers may have started, and until when their leases may
// last. The leases of a job that is not open here are not extended any more.
void TaskScheduler::addKnownRuns(JobOutcome& outcome, Instant earlierRunsEndAt, Instant now) const
{
    const auto& leases = this->options.leases;
    uint32_t openRuns = 0;
    auto runsEndAt = std::max(earlierRunsEndAt, now + Milliseconds(1));
    const RunId lowest { TaskId { outcome.job, 0, 0, 0 }, 0 };
    for (const auto& [key, target] : this->targets) {
        const auto& runs = target.session.runs();
        for (auto position = runs.lower_bound(lowest); position != runs.end() && position->first.task.job == outcome.job; ++position) {
            ++openRuns;
            const auto& lease = position->second.jobLease;
            auto longestLease = leases.maximumGrantedLease * (100 + leases.clockDriftPercent) / 100;
            runsEndAt = std::max(runsEndAt, lease ? lease->lastExtendedAt + leases.maximumRunTimeAfterExtension : now + longestLease);
        }
    }
    if (earlierRunsEndAt > now)
        openRuns = std::max(openRuns, 1U);
    outcome.starts = std::max(outcome.starts, openRuns);
    if (outcome.starts > 0)
        outcome.untilRunsEnd = std::chrono::ceil<Milliseconds>(runsEndAt - now).count();
}

uint32_t TaskScheduler::countRunsOnTargets(const std::string& job) const
{
    uint32_t count = 0;
    const RunId lowest { TaskId { job, 0, 0, 0 }, 0 };
    for (const auto& [key, target] : this->targets)
        count += target.session.countRuns(lowest);
    return count;
}

// Sends the outcome of a job again that has ended here, since the answer to an earlier submission was lost. Returns whether it has.
bool TaskScheduler::answerAgain(const std::string& entry, const Submission& submission)
{
    const auto* finished = this->finishedJobs.find(submission.job);
    if (!finished || !finished->isFinal() || finished->fingerprint != JobFingerprint::of(submission))
        return false;
    this->recordAnsweredAgain(*finished, entry);
    const auto& outcome = this->finishedJobs.readdress(submission.job, entry, submission.firstRunNumber);
    this->effects.notices.push_back(Notice { entry, outcome });
    return true;
}

void TaskScheduler::enqueue(const std::string& entry, const Submission& submission, const FinishedJob* earlier, Instant now, Milliseconds leaseAge)
{
    bool isKnown = earlier && earlier->outcome.starts > 0;
    auto firstRunNumber = std::max(submission.firstRunNumber, earlier ? earlier->nextRunNumber : 0);
    Job job;
    job.submission = submission;
    job.entry = entry;
    job.arrivedAt = now;
    job.firstRunNumber = firstRunNumber;
    job.lease = std::make_shared<JobLease>(JobLease { now - leaseAge });
    job.deadline = now + Milliseconds(submission.untilDeadline);
    job.earlierRunsEndAt = now + Milliseconds(submission.untilEarlierRunsEnd);
    job.otherShardRunsEndAt = now + Milliseconds(std::max(submission.untilOtherShardRunsEnd, isKnown ? 0 : submission.untilUnknownRunsEnd));
    job.expectedRunTime = this->speeds.expectedOnFastestKind(submission.queue, Milliseconds(submission.estimateMilliseconds));
    job.rank = JobRank { false, submission.priority, 0, now + Milliseconds(submission.untilObjective), this->arrivals++ };
    job.tasks.assign(submission.taskCount, Task { TaskState::Waiting, 0, 0, firstRunNumber, {}, 0, {}, 0 });
    job.waiting = job.tasks.size();
    if (earlier)
        restoreProgress(job, *earlier);
    this->assignShare(job, now);
    auto& inserted = this->jobs.emplace(submission.job, std::move(job)).first->second;
    this->openTasks += inserted.tasks.size();
    this->addToQueue(inserted, now);
    this->adoptRuns(inserted, now);
    this->needsPlacement = true;
}

// Restores what was known when the job was dropped, and marks the tasks as done that were done then.
void TaskScheduler::restoreProgress(Job& job, const FinishedJob& earlier)
{
    job.earlierStarts = earlier.outcome.starts;
    // The entry host of this submission knows only the dispatchers to which it handed the job over itself.
    job.otherShardRunsEndAt = std::max(job.otherShardRunsEndAt, earlier.earlierRunsEndAt);
    job.formerEntries = earlier.formerEntries;
    job.formerEntries.erase(job.entry);
    if (earlier.fingerprint != JobFingerprint::of(job.submission))
        return;
    for (size_t index = 0; index < job.tasks.size(); ++index) {
        if (!earlier.doneTasks[index])
            continue;
        job.tasks[index].state = TaskState::Done;
        ++job.done;
        --job.waiting;
    }
}

// The entry host may not have seen that the caller of the job is gone.
void TaskScheduler::notifyTakenOver(const std::string& entry, const std::string& job)
{
    this->effects.notices.push_back(Notice { entry, JobOutcome { job, JobEnd::TakenOver, "taken-over" } });
}

// Called when the caller has submitted the job again through another entry host. A new process at the address of the former one does
// not have the job from before.
void TaskScheduler::takeOver(Job& job, const std::string& entry, const Submission& submission, Instant now, Milliseconds leaseAge)
{
    this->recordReplacement(Decision::Kind::JobTakenOver, job, entry, "the caller submitted the job again, which is open here");
    if (job.entry != entry) {
        this->notifyTakenOver(job.entry, submission.job);
        this->addFormerEntry(job, job.entry);
    }
    this->removeFormerEntry(job, entry);
    this->setEntry(job, entry);
    job.submission.entryIncarnation = submission.entryIncarnation;
    job.submission.firstRunNumber = submission.firstRunNumber;
    job.lease->lastExtendedAt = std::max<Instant>(job.lease->lastExtendedAt, now - leaseAge);
    job.deadline = std::max(job.deadline, now + Milliseconds(submission.untilDeadline));
}

// Adopts the runs that an earlier dispatcher started for the job. A task counts as placed on a run that is being stopped until
// that run has ended.
void TaskScheduler::adoptRuns(Job& job, Instant now)
{
    const auto& name = job.submission.job;
    this->adoptRunsFrom(
        RunId { TaskId { name, 0, 0, 0 }, 0 }, [&](const TaskId& task) { return task.job == name; }, now);
}

void TaskScheduler::adoptRunsOfTask(Job& job, uint32_t index, Instant now)
{
    const TaskId wanted { job.submission.job, 0, 0, index };
    this->adoptRunsFrom(
        RunId { wanted, 0 }, [&](const TaskId& task) { return task == wanted; }, now);
}

void TaskScheduler::adoptRunsFrom(const RunId& lowest, const std::function<bool(const TaskId&)>& belongs, Instant now)
{
    for (auto& [key, target] : this->targets) {
        std::vector<RunId> found;
        const auto& runs = target.session.runs();
        for (auto position = runs.lower_bound(lowest); position != runs.end() && belongs(position->first.task); ++position)
            found.push_back(position->first);
        for (const auto& id : found)
            this->onRunDiscovered(target.session, id, now);
    }
}

void TaskScheduler::onRunDiscovered(TargetSession& session, const RunId& id, Instant now)
{
    auto position = this->jobs.find(id.task.job);
    if (position == this->jobs.end() || id.task.index >= position->second.tasks.size())
        return;
    auto& job = position->second;
    auto& task = job.tasks[id.task.index];
    task.nextRunNumber = std::max(task.nextRunNumber, id.number + 1);
    // If the task is placed on another target or done, the run stays unadopted and is stopped later.
    if (task.state == TaskState::Waiting) {
        this->adoptOrStopRun(job, task, session, id, now);
        return;
    }
    bool isSameRun = task.run == id.number && task.target == session.target().identity;
    if (!isSameRun)
        this->recordDecision(Decision::Kind::RunUnexpected, session.target().identity, id, "the task is done, or has run " + std::to_string(task.run) + " on " + task.target);
}

// While runs elsewhere are waited for, another shard may have the job and wait for this run to end, so that it must not be extended.
void TaskScheduler::adoptOrStopRun(Job& job, Task& task, TargetSession& session, const RunId& id, Instant now)
{
    if (now < job.otherShardRunsEndAt)
        session.stop(id, now);
    this->adoptRun(job, task, session, id, now);
}

void TaskScheduler::adoptRun(Job& job, Task& task, TargetSession& session, const RunId& id, Instant now)
{
    session.adopt(id, job.submission.needs, job.lease, now);
    auto target = this->targets.find(TargetKey { session.target().identity, session.target().address });
    if (this->options.separateInterfering && target != this->targets.end())
        this->interference.onStarted(target->second.neighbours, id, job.submission.queue, false, now);
    this->recordDecision(Decision::Kind::RunAdopted, session.target().identity, id, "the target reported a run of a submitted job");
    task.state = TaskState::Placed;
    task.target = session.target().identity;
    task.run = id.number;
    --job.waiting;
    ++job.earlierStarts;
    this->updateQueue(job);
}

void TaskScheduler::cancel(const std::string& entry, const std::string& name, Instant now)
{
    auto position = this->jobs.find(name);
    if (position == this->jobs.end())
        return;
    // An entry host that hands the job over to another dispatcher cancels it here first.
    if (position->second.entry != entry)
        return this->notifyTakenOver(entry, name);
    this->dropJob(name, "the entry host cancelled the job", now);
    this->needsPlacement = true;
}

std::vector<std::string> TaskScheduler::renew(const std::string& entry, const std::vector<std::string>& names, Instant now, RenewalKind renewal, uint64_t answeredRequest, Milliseconds leaseAge)
{
    std::vector<std::string> unknown;
    if (!this->isActive())
        return unknown;
    std::set<std::string_view> listed(names.begin(), names.end());
    std::vector<std::string> dropped;
    if (auto own = this->jobsByEntry.find(entry); own != this->jobsByEntry.end()) {
        for (const auto* job : own->second) {
            // The entry host may have sent the renewal before it submitted a job that arrived here recently.
            if (!listed.contains(job->submission.job) && now - job->arrivedAt > this->options.entryLease / 2)
                dropped.push_back(job->submission.job);
        }
    }
    if (auto former = this->jobsByFormerEntry.find(entry); former != this->jobsByFormerEntry.end()) {
        for (const auto* job : former->second) {
            if (!listed.contains(job->submission.job))
                this->notifyTakenOver(entry, job->submission.job);
        }
    }
    for (const auto& name : dropped)
        this->dropJob(name, "the renewal of the entry host does not list the job", now);
    for (const auto& name : names) {
        if (auto open = this->jobs.find(name); open != this->jobs.end()) {
            auto& job = open->second;
            if (job.entry != entry)
                this->notifyTakenOver(entry, name);
            if (renewal == RenewalKind::ExtendLease && job.entry == entry) {
                job.lease->lastExtendedAt = std::max<Instant>(job.lease->lastExtendedAt, now - leaseAge);
                job.lastAnsweredRequest = std::max(job.lastAnsweredRequest, answeredRequest);
            }
            continue;
        }
        const auto* finished = this->finishedJobs.find(name);
        if (finished && finished->entry == entry)
            this->effects.notices.push_back(Notice { entry, finished->outcome });
        else if (finished && finished->formerEntries.contains(entry))
            this->notifyTakenOver(entry, name);
        else
            unknown.push_back(name);
    }
    this->needsPlacement = true;
    return unknown;
}

// Stops all runs of a job, including those that another dispatcher started and that were not adopted.
void TaskScheduler::stopRuns(const std::string& job, Instant now)
{
    const RunId lowest { TaskId { job, 0, 0, 0 }, 0 };
    for (auto& [key, target] : this->targets) {
        std::vector<RunId> found;
        const auto& runs = target.session.runs();
        for (auto position = runs.lower_bound(lowest); position != runs.end() && position->first.task.job == job; ++position)
            found.push_back(position->first);
        for (const auto& run : found)
            target.session.stop(run, now);
    }
}

void TaskScheduler::endTakenOver(const std::string& name, Instant now)
{
    auto position = this->jobs.find(name);
    if (position == this->jobs.end() || !position->second.submission.placement.isRequested)
        return;
    this->notifyTakenOver(position->second.entry, name);
    this->dropJob(name, "another shard has the job from a home of a higher term", now);
    this->needsPlacement = true;
}

void TaskScheduler::dropJob(const std::string& name, std::string cause, Instant now)
{
    this->recordDecision(Decision::Kind::JobDropped, {}, RunId { TaskId { name, 0, 0, 0 }, 0 }, std::move(cause));
    this->removeDroppedJob(name, now);
}

void TaskScheduler::removeDroppedJob(const std::string& name, Instant now)
{
    this->removeJob(name, {}, JobOutcome { name, JobEnd::Refused, "dropped" }, now);
}

// Forgets an open job, but for what a later submission of it needs. The entry is empty if none is to learn the outcome.
void TaskScheduler::removeJob(const std::string& name, const std::string& entry, JobOutcome outcome, Instant now)
{
    auto position = this->jobs.find(name);
    if (position == this->jobs.end())
        return;
    auto& job = position->second;
    this->releaseShare(job, now);
    if (job.done < job.tasks.size())
        this->stopRuns(name, now);
    outcome.starts = job.earlierStarts + job.starts;
    auto earlierRunsEndAt = std::max(job.earlierRunsEndAt, job.otherShardRunsEndAt);
    if (outcome.end == JobEnd::Refused)
        this->addKnownRuns(outcome, earlierRunsEndAt, now);
    FinishedJob finished { entry, std::move(outcome), now, 1, JobFingerprint::of(job.submission), {}, job.formerEntries, earlierRunsEndAt, job.entry };
    for (const auto& task : job.tasks) {
        finished.nextRunNumber = std::max(finished.nextRunNumber, task.nextRunNumber);
        finished.doneTasks.push_back(task.state == TaskState::Done);
    }
    if (!entry.empty())
        this->effects.notices.push_back(Notice { entry, finished.outcome });
    this->removeFromQueue(job);
    this->openTasks -= job.tasks.size();
    this->jobs.erase(position);
    this->finishedJobs.add(name, std::move(finished));
}

void TaskScheduler::finishJob(const std::string& name, JobEnd end, std::string reason, Instant now, Milliseconds retryAfter)
{
    const auto& job = this->jobs.at(name);
    if (end == JobEnd::Failed)
        this->recordDecision(Decision::Kind::JobFailed, {}, RunId { TaskId { name, 0, 0, 0 }, 0 }, reason);
    else if (end == JobEnd::Refused)
        this->recordRefusal(name, reason, job.earlierStarts + job.starts);
    JobOutcome outcome { name, end, std::move(reason), retryAfter.count(), job.waitTime.count(), 0, job.submission.firstRunNumber };
    auto entry = job.entry;
    this->removeJob(name, entry, std::move(outcome), now);
}

// Asks the entry host of a job whose run has lapsed whether it still has the job here. The numbers start at the current time, so that
// a late answer to an earlier process on this host is not taken for an answer to this request.
void TaskScheduler::requestRenewal(const Job& job, Task& task, Instant now)
{
    auto time = std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count();
    this->lastRenewalRequest = std::max(this->lastRenewalRequest + 1, static_cast<uint64_t>(time));
    task.leasesExpiredAt = now;
    task.renewalRequest = this->lastRenewalRequest;
    this->effects.renewalRequests.insert_or_assign(job.entry, task.renewalRequest);
}

void TaskScheduler::onRunEnded(Target& target, const TargetSession::Event& event, Instant now)
{
    if (event.evidence->stopOrders > 0)
        this->recordDecision(Decision::Kind::RunStopped, target.session.target().identity, event.run, "a run that was ordered to stop has ended", event.evidence);
    if (event.evidence->proof == RunEndProof::LeaseExpired)
        this->lapsedRuns.add(target.session.target().identity, event.run, *event.evidence, now);
    this->observeNeighbours(target, event, now);
    auto position = this->jobs.find(event.run.task.job);
    if (position == this->jobs.end() || event.run.task.index >= position->second.tasks.size())
        return;
    auto& job = position->second;
    auto& task = job.tasks[event.run.task.index];
    if (task.state != TaskState::Placed || task.run != event.run.number || task.target != target.session.target().identity)
        return;
    if (event.staleNumber)
        task.nextRunNumber += staleRunNumberStep;
    if (event.end == RunEnd::Done) {
        if (event.duration.count() > 0)
            this->observeRun(job, target, event.duration, now);
        task.state = TaskState::Done;
        ++job.done;
        this->updateQueue(job);
        if (job.done == job.tasks.size())
            this->finishJob(event.run.task.job, JobEnd::Completed, "completed", now);
        return;
    }
    task.state = TaskState::Waiting;
    job.firstWaiting = std::min<size_t>(job.firstWaiting, event.run.task.index);
    task.leasesExpiredAt.reset();
    if (event.evidence->proof == RunEndProof::LeaseExpired)
        this->requestRenewal(job, task, now);
    ++job.waiting;
    this->updateQueue(job);
    this->preferIfStarted(job);
    bool hasFailed = event.end == RunEnd::Failed;
    this->recordDecision(hasFailed ? Decision::Kind::RunFailed : Decision::Kind::RunLost, task.target, event.run, "failed attempts of the task: " + std::to_string(task.failures + (hasFailed ? 1 : 0)) + " of " + std::to_string(job.submission.maximumFailures), event.evidence);
    if (hasFailed && ++task.failures >= job.submission.maximumFailures)
        return this->finishJob(event.run.task.job, JobEnd::Failed, "task-failed", now);
    // Another dispatcher may have started the task since then; such a run was found, but not adopted while the task had this one.
    this->adoptRunsOfTask(job, event.run.task.index, now);
}

// Called when a target lists a run as done that had been taken as ended without success, since the target was silent until its leases
// had expired. The task is done: it is not started again, and a run that was started meanwhile is stopped.
void TaskScheduler::onRunFoundDone(const std::string& target, const RunId& id, Instant now)
{
    auto position = this->jobs.find(id.task.job);
    if (position == this->jobs.end() || id.task.index >= position->second.tasks.size() || id.number < position->second.firstRunNumber)
        return;
    auto& job = position->second;
    auto& task = job.tasks[id.task.index];
    if (task.state == TaskState::Done)
        return;
    this->recordDecision(Decision::Kind::RunFoundDone, target, id, "the target listed the run as done after its leases had expired");
    if (task.state == TaskState::Placed)
        this->stopRun(task.target, RunId { id.task, task.run }, now);
    else
        --job.waiting;
    task.state = TaskState::Done;
    ++job.done;
    this->updateQueue(job);
    if (job.done == job.tasks.size())
        this->finishJob(id.task.job, JobEnd::Completed, "completed", now);
}

// Returns what has become of the task of a run that was taken as ended.
std::string TaskScheduler::describeTask(const RunId& id) const
{
    auto position = this->jobs.find(id.task.job);
    if (position == this->jobs.end() || id.task.index >= position->second.tasks.size())
        return "its job is not open here";
    const auto& task = position->second.tasks[id.task.index];
    switch (task.state) {
    case TaskState::Waiting:
        return "its task waits";
    case TaskState::Placed:
        return "its task has run " + std::to_string(task.run) + " on " + task.target;
    case TaskState::Done:
        return "its task is done";
    }
    return {};
}

void TaskScheduler::recordIfOutlived(const std::string& target, const RunId& id, Instant now)
{
    auto lapsed = this->lapsedRuns.take(target, id, now);
    if (!lapsed)
        return;
    this->recordDecision(Decision::Kind::RunOutlived, target, id, "a run that was taken as ended when its leases had expired is running; " + this->describeTask(id), lapsed->evidence);
    this->effects.decisions.back().sinceEnd = std::chrono::duration_cast<Milliseconds>(now - lapsed->endedAt);
}

void TaskScheduler::stopRun(const std::string& target, const RunId& id, Instant now)
{
    for (auto position = this->targets.lower_bound(TargetKey { target, {} }); position != this->targets.end() && position->first.identity == target; ++position)
        position->second.session.stop(id, now);
}

void TaskScheduler::recordDecision(Decision::Kind kind, const std::string& target, const RunId& run, std::string cause, std::optional<RunEvidence> evidence)
{
    this->effects.decisions.push_back(Decision { kind, target, run.task.job, run.task.index, run.number, std::move(cause), std::move(evidence) });
}

void TaskScheduler::processEvents(Target& target, Instant now)
{
    using Kind = TargetSession::Event::Kind;
    this->updateCapacity(target);
    if (!target.session.hasEvents())
        return;
    const auto identity = target.session.target().identity;
    for (const auto& event : target.session.takeEvents()) {
        switch (event.kind) {
        case Kind::Ended:
            this->onRunEnded(target, event, now);
            break;
        case Kind::Discovered:
            this->recordIfOutlived(identity, event.run, now);
            this->onRunDiscovered(target.session, event.run, now);
            break;
        case Kind::FoundLate:
            this->recordDecision(Decision::Kind::RunFoundLate, identity, event.run, "a run whose start was never confirmed is running after its leases have expired; " + this->describeTask(event.run));
            this->effects.decisions.back().sinceEnd = event.sinceLeaseEnd;
            break;
        case Kind::FoundDone:
            this->onRunFoundDone(identity, event.run, now);
            break;
        case Kind::Retired:
            this->recordDecision(Decision::Kind::TargetRetired, identity, {}, "the target is said to have ended or moved; incarnation " + target.session.target().incarnation + " has " + std::to_string(event.openRuns) + " runs, whose leases end in " + std::to_string(event.untilLeaseEnd.count()) + " ms");
            break;
        case Kind::Gone:
            this->recordDecision(Decision::Kind::TargetGone, identity, {}, "a target that was retired has no runs left");
            break;
        case Kind::Silent:
            this->recordDecision(Decision::Kind::TargetSilent, identity, {}, "the target did not answer consecutive hold orders");
            break;
        case Kind::Answering:
            this->recordDecision(Decision::Kind::TargetAnswers, identity, {}, "the target answered a hold order");
            break;
        case Kind::Fenced:
            this->recordDecision(Decision::Kind::TargetFenced, identity, {}, "another dispatcher has claimed the target with a higher fencing token");
            break;
        case Kind::StartUnanswered:
            this->recordDecision(Decision::Kind::StartUnanswered, identity, event.run, "the target did not answer the start order; the run is stopped before the task is started again");
            break;
        }
    }
}

void TaskScheduler::onHoldAnswer(const TargetInstance& instance, uint64_t number, const HoldAnswer& answer, Instant now)
{
    auto* target = this->findTarget(instance);
    if (!target)
        return;
    target->session.onHoldAnswer(number, answer, now);
    this->processEvents(*target, now);
    target->session.tick(now);
    this->updateCapacity(*target);
    this->needsPlacement = true;
}

void TaskScheduler::onStartAnswer(const TargetInstance& instance, const RunId& run, const OrderAnswer& answer, Instant now)
{
    this->unansweredStarts.remove(run);
    this->needsPlacement = this->needsPlacement || std::exchange(this->isPlacementHeldUp, false);
    auto* target = this->findTarget(instance);
    if (!target)
        return;
    target->session.onStartAnswer(run, answer, now);
    if (std::holds_alternative<Acknowledged>(answer)) {
        target->session.tick(now);
        this->updateCapacity(*target);
        return;
    }
    this->processEvents(*target, now);
    this->needsPlacement = true;
}

void TaskScheduler::onStopAnswer(const TargetInstance& instance, const RunId& run, const OrderAnswer& answer, Instant now)
{
    auto* target = this->findTarget(instance);
    if (!target)
        return;
    target->session.onStopAnswer(run, answer, now);
    this->processEvents(*target, now);
}

void TaskScheduler::removeExpiredOutcomes(Instant now)
{
    if (now < this->nextOutcomeCleanup)
        return;
    this->nextOutcomeCleanup = now + outcomeCleanupInterval;
    this->finishedJobs.removeExpired(now);
}

void TaskScheduler::tick(Instant now)
{
    if (!this->isActive())
        return;
    for (auto& [key, target] : this->targets) {
        target.session.tick(now);
        this->processEvents(target, now);
    }
    this->removeGoneTargets();
    this->needsPlacement = true;
    if (now < this->nextPeriodicCheck)
        return;
    this->nextPeriodicCheck = now + periodicCheckInterval;
    this->runPeriodicChecks(now);
}

// Performs the checks that are not needed on every tick.
void TaskScheduler::runPeriodicChecks(Instant now)
{
    this->dropExpiredJobs(now);
    this->releaseUnselectedTargets();
    this->observeUnfinishedRuns(now);
    this->restartStalledRuns(now);
    this->updateSharing(now);
    this->updateInterference(now);
    this->demoteLateJobs(now);
    this->refuseJobsWithoutTarget(now);
    this->refuseJobsMissingDeadline(now);
    this->needsPlacement = this->needsPlacement || this->hasColdTargets(now);
    this->removeExpiredOutcomes(now);
}

// Removes targets that now belong to another shard, once they have no runs.
void TaskScheduler::releaseUnselectedTargets()
{
    for (auto& [key, target] : this->targets)
        target.isSelected = this->isSelected(target.session.target());
    this->eraseTargets([](const Target& target) { return !target.isSelected && target.session.runs().empty(); });
}

void TaskScheduler::onPause(Instant now)
{
    if (!this->isActive())
        return;
    // Entry leases may have expired during the pause, so other dispatchers may have started the same tasks. Each target has to
    // report its runs before a new run is started there.
    for (auto& [key, target] : this->targets) {
        target.session.reclaim(this->fence, now);
        this->updateCapacity(target);
    }
}

TaskScheduler::Effects TaskScheduler::takeEffects(Instant now)
{
    if (this->needsPlacement)
        this->placeWaitingTasks(now);
    this->isPassIncomplete = this->needsPlacement;
    auto stopsLeft = maximumStopsPerPass;
    for (auto& [key, target] : this->targets) {
        if (!target.session.hasOrders())
            continue;
        auto orders = target.session.takeOrders(stopsLeft);
        stopsLeft -= orders.stops.size();
        this->isPassIncomplete = this->isPassIncomplete || target.session.hasOrders();
        auto append = [](auto& to, auto& from) { to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end())); };
        append(this->effects.orders.holds, orders.holds);
        append(this->effects.orders.starts, orders.starts);
        append(this->effects.orders.stops, orders.stops);
    }
    return std::exchange(this->effects, {});
}

bool TaskScheduler::hasFencedTargets() const
{
    return std::any_of(this->targets.begin(), this->targets.end(), [](const auto& entry) { return entry.second.isSelected && entry.second.session.isFenced(); });
}

size_t TaskScheduler::waitingTasks() const
{
    size_t count = 0;
    for (const auto& [name, job] : this->jobs)
        count += job.waiting;
    return count;
}

size_t TaskScheduler::openRuns() const
{
    size_t count = 0;
    for (const auto& [key, target] : this->targets)
        count += target.session.runs().size();
    return count;
}

}
