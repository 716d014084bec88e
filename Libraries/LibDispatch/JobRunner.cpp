#include <LibBase/Try.h>
#include <LibDispatch/JobRunner.h>
#include <algorithm>

namespace Sassafrasshift::Dispatch {

using DurableState::Intent;
using DurableState::JobOutcome;
using DurableState::JobResult;
using DurableState::JobStatus;
using DurableState::JobUpdateResult;

// How long a job that gets no grant at once waits before it is recorded without any attempt.
static constexpr Milliseconds gatherTime { 5 };
// When the worker of an unanswered attempt is first asked, and how often again.
static constexpr Milliseconds firstQuestion { 3000 };
static constexpr Milliseconds questionInterval { 1000 };
static constexpr Milliseconds proposalRetry { 100 };

JobRunner::JobRunner(JobContent content, std::string submission, Instant now)
    : job(std::move(content))
    , submissionName(std::move(submission))
    , tasks(this->job.tasks.size())
    , gatherUntil(now + gatherTime)
{
    for (uint32_t i = 0; i < this->tasks.size(); ++i)
        this->tasks[i].intent.task = i;
    this->askForMissing();
}

JobRunner::JobRunner(JobContent content, const DurableState::JobRecord& record, Instant now)
    : job(std::move(content))
    , submissionName(record.submission)
    , phase(Phase::Running)
    , currentEpoch(record.epoch)
    , tasks(this->job.tasks.size())
    , gatherUntil(now)
{
    for (uint32_t i = 0; i < this->tasks.size(); ++i) {
        auto& task = this->tasks[i];
        task.intent.task = i;
        auto known = record.intents.find(i);
        if (known == record.intents.end())
            continue;
        // The former owner may have sent it, so that only the worker can tell.
        task.intent = known->second;
        task.state = TaskState::Resolving;
        task.everStarted = true;
        task.sentAt = now;
        task.askAt = now + questionInterval;
        this->commands.emplace_back(ResolveAttempt { task.intent });
    }
    if (record.cancelRequested)
        this->cancel(now);
    else
        this->askForMissing();
}

std::vector<JobCommand> JobRunner::takeCommands()
{
    return std::exchange(this->commands, {});
}

uint32_t JobRunner::count(TaskState state) const
{
    return static_cast<uint32_t>(std::count_if(this->tasks.begin(), this->tasks.end(), [&](const auto& task) { return task.state == state; }));
}

void JobRunner::askForMissing()
{
    auto missing = this->count(TaskState::Unstarted);
    if (missing <= this->expectedGrants)
        return;
    this->commands.emplace_back(AskForGrants { missing - this->expectedGrants, this->excluded });
    this->expectedGrants = missing;
}

void JobRunner::onGrant(const Grant& grant, Instant)
{
    if (this->expectedGrants > 0)
        --this->expectedGrants;
    auto unstarted = std::find_if(this->tasks.begin(), this->tasks.end(), [](const auto& task) { return task.state == TaskState::Unstarted; });
    bool usable = this->isOpen() && this->phase != Phase::Refusing && !this->cancelled;
    if (!usable || unstarted == this->tasks.end()) {
        this->commands.emplace_back(ReleaseGrant { grant, WorkResult::Unused, Microseconds(0) });
        return;
    }
    unstarted->state = TaskState::Granted;
    unstarted->grant = grant;
    unstarted->intent.attempt = unstarted->intent.target.empty() ? 1 : unstarted->intent.attempt + 1;
    unstarted->intent.target = grant.target;
    unstarted->intent.targetIncarnation = grant.targetIncarnation;
    unstarted->intent.targetAddress = grant.targetAddress;
}

void JobRunner::onRefusal(const Refusal& refusal, Instant now)
{
    this->expectedGrants = 0;
    auto error = Error::notRun(refusal.reason, refusal.detail);
    if (refusal.retryAfter > 0)
        error = error.withRetryAfter(Milliseconds(refusal.retryAfter));
    if (this->phase == Phase::Gathering) {
        this->refusal = error;
        this->refuseNow(now);
        return;
    }
    if (this->phase == Phase::Accepting) {
        // Whether the job is this owner's to fail is known once the ledger has answered.
        this->refusal = error;
        return;
    }
    this->fail(std::move(error), now);
}

// "Not run" holds for the key only once the ledger knows of no other submission of it.
void JobRunner::refuseNow(Instant now)
{
    this->phase = Phase::Refusing;
    for (auto& task : this->tasks) {
        if (task.state == TaskState::Granted)
            this->releaseTask(task, WorkResult::Unused, now);
    }
    this->commands.emplace_back(WithdrawGrants {});
    this->commands.emplace_back(ProposeRefusal {});
}

std::vector<Intent> JobRunner::takeGranted()
{
    std::vector<Intent> intents;
    for (auto& task : this->tasks) {
        if (task.state != TaskState::Granted)
            continue;
        task.state = TaskState::Recording;
        intents.push_back(task.intent);
    }
    return intents;
}

void JobRunner::flush(Instant now)
{
    bool hasGrants = this->count(TaskState::Granted) > 0;
    if (this->phase == Phase::Gathering && (hasGrants || now >= this->gatherUntil)) {
        this->phase = Phase::Accepting;
        this->commands.emplace_back(ProposeAcceptance { this->takeGranted() });
        return;
    }
    if (this->phase == Phase::Running && hasGrants && !this->proposalPending && now >= this->retryAt) {
        this->proposalPending = true;
        this->commands.emplace_back(ProposeIntents { this->takeGranted() });
    }
}

void JobRunner::onAcceptance(const ErrorOr<JobUpdateResult>& result, Instant now)
{
    if (this->phase != Phase::Accepting && this->phase != Phase::Refusing)
        return;
    // A proposal that was sent twice finds the job that its first copy made.
    bool ownCopy = this->phase == Phase::Accepting && result && result->status == JobStatus::Joined && result->submission == this->submissionName && result->epoch == 1;
    if (ownCopy || (result && result->status == JobStatus::Accepted)) {
        this->phase = Phase::Running;
        this->currentEpoch = result->epoch;
        if (this->cancelled) {
            this->cancelled = false;
            this->cancel(now);
            return;
        }
        if (this->refusal) {
            this->fail(*this->refusal, now);
            return;
        }
        this->sendRecorded(now);
        return;
    }
    bool refusing = this->phase == Phase::Refusing;
    this->phase = Phase::Done;
    for (auto& task : this->tasks)
        this->releaseTask(task, WorkResult::Unused, now);
    this->commands.emplace_back(WithdrawGrants {});
    if (!result) {
        // The proposal, or an earlier submission of the key, may be in the ledger.
        this->commands.emplace_back(RefuseSubmission { Error { result.error().reason, Verdict::MayHaveRun, result.error().detail, result.error().retryAfter } });
        return;
    }
    switch (result->status) {
    case JobStatus::Joined:
        this->commands.emplace_back(FollowOwner { result->ownerHost });
        return;
    case JobStatus::KeyReused:
        this->commands.emplace_back(RefuseSubmission { Error::notRun(Reason::KeyReused, "the key belongs to a job with other content") });
        return;
    case JobStatus::KeyExpired:
        this->commands.emplace_back(RefuseSubmission { Error::mayHaveRun(Reason::KeyExpired, "the key is older than the time for which keys are remembered") });
        return;
    default: {
        auto error = refusing && this->refusal ? *this->refusal : Error::notRun(Reason::Conflict, "another submission of the key was refused a moment ago");
        auto retryAfter = std::max(error.retryAfter.value_or(Milliseconds(0)), DurableState::refusalRetention);
        this->commands.emplace_back(RefuseSubmission { error.retryAfter || !refusing ? error.withRetryAfter(retryAfter) : error });
        return;
    }
    }
}

void JobRunner::sendRecorded(Instant now)
{
    for (auto& task : this->tasks) {
        if (task.state == TaskState::Recording)
            this->send(task, now);
    }
}

void JobRunner::send(Task& task, Instant now)
{
    task.state = TaskState::Sent;
    task.everStarted = true;
    task.sentAt = now;
    task.askAt = now + firstQuestion;
    this->commands.emplace_back(SendTask { task.intent });
}

void JobRunner::onIntentsRecorded(const ErrorOr<JobUpdateResult>& result, Instant now)
{
    this->proposalPending = false;
    if (this->phase == Phase::Recording || this->phase == Phase::Done) {
        for (auto& task : this->tasks) {
            if (task.state == TaskState::Recording)
                this->releaseTask(task, WorkResult::Unused, now);
        }
        return;
    }
    if (!result) {
        // The same attempts are proposed again; nothing was sent.
        for (auto& task : this->tasks) {
            if (task.state == TaskState::Recording)
                task.state = TaskState::Granted;
        }
        this->retryAt = now + proposalRetry;
        return;
    }
    if (result->status == JobStatus::Done) {
        this->sendRecorded(now);
        return;
    }
    // Another owner has the job: whatever is recorded there holds.
    this->phase = Phase::Done;
    for (auto& task : this->tasks)
        this->releaseTask(task, WorkResult::Unused, now);
    this->commands.emplace_back(WithdrawGrants {});
    this->commands.emplace_back(FollowOwner { result->ownerHost });
}

void JobRunner::releaseTask(Task& task, WorkResult result, Instant now)
{
    if (!task.grant)
        return;
    auto runTime = task.state == TaskState::Sent || task.state == TaskState::Resolving ? std::chrono::duration_cast<Microseconds>(now - task.sentAt) : Microseconds(0);
    this->commands.emplace_back(ReleaseGrant { *task.grant, result, runTime });
    task.grant.reset();
}

void JobRunner::onTaskAnswer(uint32_t index, uint32_t attempt, const ErrorOr<std::string>& answer, Instant now)
{
    VERIFY(index < this->tasks.size());
    auto& task = this->tasks[index];
    if (attempt != task.intent.attempt || (task.state != TaskState::Sent && task.state != TaskState::Resolving))
        return;
    if (answer) {
        this->answered(index, *answer, now);
        return;
    }
    if (answer.error().verdict == Verdict::NotRun) {
        this->notStarted(index, now);
        return;
    }
    if (answer.error().verdict == Verdict::Ran) {
        this->releaseTask(task, WorkResult::Failed, now);
        task.state = TaskState::Answered;
        this->fail(answer.error(), now);
        return;
    }
    // The connection was lost: the worker knows what became of the attempt.
    task.state = TaskState::Resolving;
    task.askAt = now + questionInterval;
    this->commands.emplace_back(ResolveAttempt { task.intent });
}

void JobRunner::answered(uint32_t index, std::string answer, Instant now)
{
    auto& task = this->tasks[index];
    this->releaseTask(task, WorkResult::Succeeded, now);
    task.state = TaskState::Answered;
    task.answer = std::move(answer);
    if (!this->isOpen() || this->count(TaskState::Answered) < this->tasks.size())
        return;
    JobOutcome complete;
    complete.result = JobResult::Complete;
    complete.verdict = Verdict::Ran;
    for (const auto& finished : this->tasks)
        complete.answers.push_back(finished.answer);
    this->finish(std::move(complete), now);
}

void JobRunner::notStarted(uint32_t index, Instant now)
{
    auto& task = this->tasks[index];
    this->releaseTask(task, WorkResult::NotStarted, now);
    if (!this->isOpen()) {
        task.state = TaskState::Answered;
        return;
    }
    task.state = TaskState::Unstarted;
    task.everStarted = false;
    if (std::find(this->excluded.begin(), this->excluded.end(), task.intent.target) == this->excluded.end())
        this->excluded.push_back(task.intent.target);
    this->askForMissing();
}

void JobRunner::onAttemptReport(uint32_t index, uint32_t attempt, const ErrorOr<AttemptReport>& report, Instant now)
{
    VERIFY(index < this->tasks.size());
    auto& task = this->tasks[index];
    if (attempt != task.intent.attempt || (task.state != TaskState::Sent && task.state != TaskState::Resolving))
        return;
    if (!report) {
        // Asked again at the next tick, until the run limit has passed.
        return;
    }
    switch (report->state) {
    case AttemptState::Running:
        return;
    case AttemptState::Finished:
        if (report->succeeded) {
            this->answered(index, report->answer, now);
            return;
        }
        this->releaseTask(task, WorkResult::Failed, now);
        task.state = TaskState::Answered;
        this->fail(Error::ran(Reason::TargetFailed, "a task failed: " + report->answer), now);
        return;
    case AttemptState::NeverStarted:
        this->notStarted(index, now);
        return;
    case AttemptState::Lost:
        this->releaseTask(task, WorkResult::Failed, now);
        this->fail(Error::mayHaveRun(Reason::ConnectionLost, "the worker that had a task was replaced"), now);
        return;
    }
}

Verdict JobRunner::verdictOfUnfinished() const
{
    bool anyStarted = std::any_of(this->tasks.begin(), this->tasks.end(), [](const auto& task) { return task.everStarted; });
    return anyStarted ? Verdict::MayHaveRun : Verdict::NotRun;
}

void JobRunner::fail(Error error, Instant now)
{
    if (!this->isOpen())
        return;
    JobOutcome failed;
    failed.result = JobResult::Failed;
    failed.verdict = error.verdict == Verdict::Ran ? Verdict::Ran : this->verdictOfUnfinished();
    failed.reason = toString(error.reason);
    failed.detail = std::move(error.detail);
    this->finish(std::move(failed), now);
}

void JobRunner::cancel(Instant now)
{
    if (!this->isOpen() || this->cancelled)
        return;
    this->cancelled = true;
    if (this->phase == Phase::Gathering) {
        this->refusal = Error::notRun(Reason::Cancelled, "the job was cancelled before it was accepted");
        this->refuseNow(now);
        return;
    }
    if (this->phase != Phase::Running)
        return;
    JobOutcome cancelledOutcome;
    cancelledOutcome.result = JobResult::Cancelled;
    cancelledOutcome.verdict = this->verdictOfUnfinished();
    cancelledOutcome.reason = toString(Reason::Cancelled);
    this->finish(std::move(cancelledOutcome), now);
}

void JobRunner::stopTasks(Instant now)
{
    this->commands.emplace_back(WithdrawGrants {});
    for (auto& task : this->tasks) {
        if (task.state == TaskState::Granted)
            this->releaseTask(task, WorkResult::Unused, now);
        if (task.state == TaskState::Sent || task.state == TaskState::Resolving) {
            this->commands.emplace_back(StopTask { task.intent });
            this->releaseTask(task, WorkResult::Unused, now);
        }
    }
}

void JobRunner::finish(JobOutcome result, Instant now)
{
    this->stopTasks(now);
    this->phase = Phase::Recording;
    this->outcome = std::move(result);
    this->commands.emplace_back(ProposeOutcome { *this->outcome });
}

void JobRunner::onOutcomeRecorded(const ErrorOr<JobUpdateResult>& result, Instant now)
{
    if (this->phase != Phase::Recording)
        return;
    if (!result) {
        this->retryAt = now + proposalRetry;
        return;
    }
    this->phase = Phase::Done;
    if (result->status == JobStatus::Done)
        this->commands.emplace_back(AnswerJob { *this->outcome });
    else
        this->commands.emplace_back(FollowOwner { result->ownerHost });
}

void JobRunner::tick(Instant now)
{
    if (this->phase == Phase::Recording && this->retryAt != Instant {} && now >= this->retryAt) {
        this->retryAt = {};
        this->commands.emplace_back(ProposeOutcome { *this->outcome });
        return;
    }
    if (this->phase != Phase::Running) {
        this->flush(now);
        return;
    }
    for (auto& task : this->tasks) {
        if (task.state != TaskState::Sent && task.state != TaskState::Resolving)
            continue;
        if (now >= task.sentAt + Milliseconds(this->job.runLimit)) {
            this->fail(Error::mayHaveRun(Reason::DeadlineExceeded, "a task gave no answer within its run limit"), now);
            return;
        }
        if (now < task.askAt)
            continue;
        task.askAt = now + questionInterval;
        this->commands.emplace_back(ResolveAttempt { task.intent });
    }
    this->flush(now);
}

}
