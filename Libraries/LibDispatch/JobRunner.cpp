#include <LibBase/Try.h>
#include <LibDispatch/JobRunner.h>
#include <algorithm>

namespace Sassafrasshift::Dispatch {

using DurableState::Intent;
using DurableState::JobOutcome;
using DurableState::JobResult;
using DurableState::JobStatus;
using DurableState::JobUpdateResult;

// How long a new job waits for its first grant before it is recorded without any attempt.
static constexpr Milliseconds initialGrantWait { 5 };
// The time after which the worker of an unanswered attempt is first queried, and the time between further queries.
static constexpr Milliseconds firstQueryDelay { 3000 };
static constexpr Milliseconds queryInterval { 1000 };
static constexpr Milliseconds proposalRetryDelay { 100 };

JobRunner::JobRunner(JobContent content, std::string submission, Instant now)
    : jobContent(std::move(content))
    , submissionId(std::move(submission))
    , tasks(this->jobContent.tasks.size())
    , initialGrantDeadline(now + initialGrantWait)
{
    for (uint32_t i = 0; i < this->tasks.size(); ++i)
        this->tasks[i].intent.task = i;
    this->requestMissingGrants();
}

JobRunner::JobRunner(JobContent content, const DurableState::JobRecord& record, Instant now)
    : jobContent(std::move(content))
    , submissionId(record.submission)
    , phase(Phase::Running)
    , currentEpoch(record.epoch)
    , tasks(this->jobContent.tasks.size())
    , initialGrantDeadline(now)
{
    for (uint32_t i = 0; i < this->tasks.size(); ++i) {
        auto& task = this->tasks[i];
        task.intent.task = i;
        auto known = record.intents.find(i);
        if (known == record.intents.end())
            continue;
        // The former owner may have sent this attempt; only the worker knows whether it started.
        task.intent = known->second;
        task.state = TaskState::Resolving;
        task.mayHaveStarted = true;
        task.sentAt = now;
        task.nextQueryAt = now + queryInterval;
        this->commands.emplace_back(ResolveAttempt { task.intent });
    }
    if (record.cancelRequested)
        this->cancel(now);
    else
        this->requestMissingGrants();
}

std::vector<JobCommand> JobRunner::takeCommands()
{
    return std::exchange(this->commands, {});
}

uint32_t JobRunner::countTasks(TaskState state) const
{
    return static_cast<uint32_t>(std::count_if(this->tasks.begin(), this->tasks.end(), [&](const auto& task) { return task.state == state; }));
}

void JobRunner::requestMissingGrants()
{
    auto missing = this->countTasks(TaskState::Unstarted);
    if (missing <= this->outstandingGrants)
        return;
    this->commands.emplace_back(RequestGrants { missing - this->outstandingGrants, this->excludedTargets });
    this->outstandingGrants = missing;
}

void JobRunner::onGrant(const Grant& grant, Instant)
{
    if (this->outstandingGrants > 0)
        --this->outstandingGrants;
    auto unstarted = std::find_if(this->tasks.begin(), this->tasks.end(), [](const auto& task) { return task.state == TaskState::Unstarted; });
    bool canUseGrant = this->isOpen() && this->phase != Phase::Refusing && !this->cancelled;
    if (!canUseGrant || unstarted == this->tasks.end()) {
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
    this->outstandingGrants = 0;
    auto error = Error::notRun(refusal.reason, refusal.detail);
    if (refusal.retryAfter > 0)
        error = error.withRetryAfter(Milliseconds(refusal.retryAfter));
    if (this->phase == Phase::AwaitingGrants) {
        this->refusal = error;
        this->beginRefusal(now);
        return;
    }
    if (this->phase == Phase::Accepting) {
        // Whether this owner may fail the job is known only when the ledger has answered the proposal.
        this->refusal = error;
        return;
    }
    this->fail(std::move(error), now);
}

// Proposes the refusal to the ledger instead of answering the callers directly: "not run" is true only if the ledger has not
// accepted another submission of the key.
void JobRunner::beginRefusal(Instant now)
{
    this->phase = Phase::Refusing;
    for (auto& task : this->tasks) {
        if (task.state == TaskState::Granted)
            this->releaseTask(task, WorkResult::Unused, now);
    }
    this->commands.emplace_back(WithdrawGrantRequests {});
    this->commands.emplace_back(ProposeRefusal {});
}

std::vector<Intent> JobRunner::takeGrantedIntents()
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
    bool hasGrants = this->countTasks(TaskState::Granted) > 0;
    if (this->phase == Phase::AwaitingGrants && (hasGrants || now >= this->initialGrantDeadline)) {
        this->phase = Phase::Accepting;
        this->commands.emplace_back(ProposeAcceptance { this->takeGrantedIntents() });
        return;
    }
    if (this->phase == Phase::Running && hasGrants && !this->proposalPending && now >= this->proposalRetryAt) {
        this->proposalPending = true;
        this->commands.emplace_back(ProposeIntents { this->takeGrantedIntents() });
    }
}

void JobRunner::onAcceptance(const ErrorOr<JobUpdateResult>& result, Instant now)
{
    if (this->phase != Phase::Accepting && this->phase != Phase::Refusing)
        return;
    // If a proposal was sent twice, the second copy joins the job that the first one created.
    bool repeatedProposal = this->phase == Phase::Accepting && result && result->status == JobStatus::Joined && result->submission == this->submissionId && result->epoch == 1;
    if (repeatedProposal || (result && result->status == JobStatus::Accepted)) {
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
        this->sendRecordedTasks(now);
        return;
    }
    bool refusing = this->phase == Phase::Refusing;
    this->phase = Phase::Done;
    for (auto& task : this->tasks)
        this->releaseTask(task, WorkResult::Unused, now);
    this->commands.emplace_back(WithdrawGrantRequests {});
    if (!result) {
        // The ledger may still contain this proposal or an earlier submission of the key, so the verdict is MayHaveRun.
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
        this->commands.emplace_back(RefuseSubmission { Error::mayHaveRun(Reason::KeyExpired, "the key is older than the retention time of keys") });
        return;
    default: {
        auto error = refusing && this->refusal ? *this->refusal : Error::notRun(Reason::Conflict, "another submission of the key was refused recently");
        auto retryAfter = std::max(error.retryAfter.value_or(Milliseconds(0)), DurableState::refusalRetention);
        this->commands.emplace_back(RefuseSubmission { error.retryAfter || !refusing ? error.withRetryAfter(retryAfter) : error });
        return;
    }
    }
}

void JobRunner::sendRecordedTasks(Instant now)
{
    for (auto& task : this->tasks) {
        if (task.state == TaskState::Recording)
            this->send(task, now);
    }
}

void JobRunner::send(Task& task, Instant now)
{
    task.state = TaskState::Sent;
    task.mayHaveStarted = true;
    task.sentAt = now;
    task.nextQueryAt = now + firstQueryDelay;
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
        // None of these attempts was sent, so the same attempts can be proposed again.
        for (auto& task : this->tasks) {
            if (task.state == TaskState::Recording)
                task.state = TaskState::Granted;
        }
        this->proposalRetryAt = now + proposalRetryDelay;
        return;
    }
    if (result->status == JobStatus::Done) {
        this->sendRecordedTasks(now);
        return;
    }
    // The job has another owner, whose records are authoritative.
    this->phase = Phase::Done;
    for (auto& task : this->tasks)
        this->releaseTask(task, WorkResult::Unused, now);
    this->commands.emplace_back(WithdrawGrantRequests {});
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
        this->handleAnswer(index, *answer, now);
        return;
    }
    if (answer.error().verdict == Verdict::NotRun) {
        this->handleNotStarted(index, now);
        return;
    }
    if (answer.error().verdict == Verdict::Ran) {
        this->releaseTask(task, WorkResult::Failed, now);
        task.state = TaskState::Answered;
        this->fail(answer.error(), now);
        return;
    }
    // It is unknown whether the attempt started, for instance after a lost connection, so the worker is queried.
    task.state = TaskState::Resolving;
    task.nextQueryAt = now + queryInterval;
    this->commands.emplace_back(ResolveAttempt { task.intent });
}

void JobRunner::handleAnswer(uint32_t index, std::string answer, Instant now)
{
    auto& task = this->tasks[index];
    this->releaseTask(task, WorkResult::Succeeded, now);
    task.state = TaskState::Answered;
    task.answer = std::move(answer);
    if (!this->isOpen() || this->countTasks(TaskState::Answered) < this->tasks.size())
        return;
    JobOutcome complete;
    complete.result = JobResult::Complete;
    complete.verdict = Verdict::Ran;
    for (const auto& finished : this->tasks)
        complete.answers.push_back(finished.answer);
    this->finish(std::move(complete), now);
}

void JobRunner::handleNotStarted(uint32_t index, Instant now)
{
    auto& task = this->tasks[index];
    this->releaseTask(task, WorkResult::NotStarted, now);
    if (!this->isOpen()) {
        task.state = TaskState::Answered;
        return;
    }
    task.state = TaskState::Unstarted;
    task.mayHaveStarted = false;
    if (std::find(this->excludedTargets.begin(), this->excludedTargets.end(), task.intent.target) == this->excludedTargets.end())
        this->excludedTargets.push_back(task.intent.target);
    this->requestMissingGrants();
}

void JobRunner::onAttemptReport(uint32_t index, uint32_t attempt, const ErrorOr<AttemptReport>& report, Instant now)
{
    VERIFY(index < this->tasks.size());
    auto& task = this->tasks[index];
    if (attempt != task.intent.attempt || (task.state != TaskState::Sent && task.state != TaskState::Resolving))
        return;
    if (!report) {
        // tick() queries the worker again until the run limit has passed.
        return;
    }
    switch (report->state) {
    case AttemptState::Running:
        return;
    case AttemptState::Finished:
        if (report->succeeded) {
            this->handleAnswer(index, report->answer, now);
            return;
        }
        this->releaseTask(task, WorkResult::Failed, now);
        task.state = TaskState::Answered;
        this->fail(Error::ran(Reason::TargetFailed, "a task failed: " + report->answer), now);
        return;
    case AttemptState::NeverStarted:
        this->handleNotStarted(index, now);
        return;
    case AttemptState::Lost:
        this->releaseTask(task, WorkResult::Failed, now);
        this->fail(Error::mayHaveRun(Reason::ConnectionLost, "the worker process that was running a task was replaced"), now);
        return;
    }
}

Verdict JobRunner::verdictOfUnfinishedJob() const
{
    bool anyStarted = std::any_of(this->tasks.begin(), this->tasks.end(), [](const auto& task) { return task.mayHaveStarted; });
    return anyStarted ? Verdict::MayHaveRun : Verdict::NotRun;
}

void JobRunner::fail(Error error, Instant now)
{
    if (!this->isOpen())
        return;
    JobOutcome failed;
    failed.result = JobResult::Failed;
    failed.verdict = error.verdict == Verdict::Ran ? Verdict::Ran : this->verdictOfUnfinishedJob();
    failed.reason = toString(error.reason);
    failed.detail = std::move(error.detail);
    this->finish(std::move(failed), now);
}

void JobRunner::cancel(Instant now)
{
    if (!this->isOpen() || this->cancelled)
        return;
    this->cancelled = true;
    if (this->phase == Phase::AwaitingGrants) {
        this->refusal = Error::notRun(Reason::Cancelled, "the job was cancelled before it was accepted");
        this->beginRefusal(now);
        return;
    }
    if (this->phase != Phase::Running)
        return;
    JobOutcome cancelledOutcome;
    cancelledOutcome.result = JobResult::Cancelled;
    cancelledOutcome.verdict = this->verdictOfUnfinishedJob();
    cancelledOutcome.reason = toString(Reason::Cancelled);
    this->finish(std::move(cancelledOutcome), now);
}

void JobRunner::stopTasks(Instant now)
{
    this->commands.emplace_back(WithdrawGrantRequests {});
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
        this->proposalRetryAt = now + proposalRetryDelay;
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
    if (this->phase == Phase::Recording && this->proposalRetryAt != Instant {} && now >= this->proposalRetryAt) {
        this->proposalRetryAt = {};
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
        if (now >= task.sentAt + Milliseconds(this->jobContent.runLimit)) {
            this->fail(Error::mayHaveRun(Reason::DeadlineExceeded, "a task did not answer within its run limit"), now);
            return;
        }
        if (now < task.nextQueryAt)
            continue;
        task.nextQueryAt = now + queryInterval;
        this->commands.emplace_back(ResolveAttempt { task.intent });
    }
    this->flush(now);
}

}
