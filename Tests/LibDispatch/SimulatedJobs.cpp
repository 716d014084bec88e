#include "SimulatedJobs.h"
#include <LibTransport/Codec.h>

namespace Sassafrasshift::Dispatch {

using namespace DurableState;

static constexpr uint32_t taskCount = 4;
static const std::string key = "job";

SimulatedJobs::SimulatedJobs(uint64_t seed, InjectedBug bug)
    : random(seed)
    , bug(bug)
    , owners(3)
    , workers(3)
{
    for (size_t i = 0; i < this->owners.size(); ++i) {
        this->owners[i].host = "host-" + std::to_string(i);
        this->owners[i].incarnation = std::to_string(this->nextIncarnation++);
    }
    for (auto& worker : this->workers)
        worker.incarnation = std::to_string(this->nextIncarnation++);
}

void SimulatedJobs::fail(std::string violation)
{
    if (!this->firstViolation)
        this->firstViolation = std::move(violation);
}

JobContent SimulatedJobs::makeContent() const
{
    JobContent content;
    content.taskKind = "kind";
    content.runLimit = 20'000;
    content.waitLimit = 20'000;
    content.tasks.assign(taskCount, "task");
    return content;
}

void SimulatedJobs::schedule(std::function<void()> function, bool mayBeLost)
{
    if (mayBeLost && !this->faultsDisabled && this->randomBelow(12) == 0)
        return;
    this->pending.push_back(std::move(function));
}

void SimulatedJobs::deliverToOwner(Owner& owner, std::function<void(JobRunner&)> function, bool mayBeLost)
{
    // A message to a crashed process or to a runner that has been replaced is dropped.
    this->schedule([this, &owner, generation = owner.generation, function = std::move(function)] {
        if (!owner.runner || owner.generation != generation)
            return;
        function(*owner.runner);
        this->executeCommands(owner);
    },
        mayBeLost);
}

JobUpdateResult SimulatedJobs::apply(const Command& command)
{
    return *Transport::decodeValue<JobUpdateResult>(this->ledger.apply(1, Transport::encodeValue(command)));
}

void SimulatedJobs::setRunner(Owner& owner, std::unique_ptr<JobRunner> runner)
{
    owner.runner = std::move(runner);
    ++owner.generation;
}

void SimulatedJobs::submit(Owner& owner)
{
    if (owner.runner)
        return;
    this->setRunner(owner, std::make_unique<JobRunner>(this->makeContent(), std::to_string(this->nextIncarnation++), this->clock.now()));
    this->executeCommands(owner);
}

void SimulatedJobs::executeCommands(Owner& owner)
{
    while (owner.runner) {
        auto commands = owner.runner->takeCommands();
        if (commands.empty())
            break;
        for (const auto& command : commands)
            this->execute(owner, command);
    }
    if (owner.runner && owner.runner->isDone())
        owner.runner.reset();
}

void SimulatedJobs::execute(Owner& owner, const JobCommand& command)
{
    auto propose = [&](Command proposal, void (JobRunner::*handler)(const ErrorOr<JobUpdateResult>&, Instant)) {
        // The ledger applies a proposal once, in a later step. The proposer sees a lost answer as a failure.
        this->schedule([this, &owner, generation = owner.generation, proposal, handler] {
            auto result = this->apply(proposal);
            bool lost = !this->faultsDisabled && this->randomBelow(12) == 0;
            if (!owner.runner || owner.generation != generation)
                return;
            this->deliverToOwner(
                owner, [this, result, handler, lost](JobRunner& target) {
                    if (lost)
                        (target.*handler)(tl::unexpected(Error::mayHaveRun(Reason::NoQuorum, "lost")), this->clock.now());
                    else
                        (target.*handler)(result, this->clock.now());
                },
                false);
        },
            false);
    };
    if (const auto* requestGrants = std::get_if<RequestGrants>(&command)) {
        for (uint32_t i = 0; i < requestGrants->count; ++i) {
            auto index = this->randomBelow(this->workers.size());
            auto& worker = this->workers[index];
            Grant grant { {}, "dispatcher", this->nextGrant++, std::to_string(index), worker.incarnation, "" };
            this->deliverToOwner(
                owner, [this, grant](JobRunner& runner) {
                    runner.onGrant(grant, this->clock.now());
                    if (this->randomBelow(3) == 0)
                        runner.flush(this->clock.now());
                },
                false);
        }
        if (!this->faultsDisabled && this->randomBelow(10) == 0)
            this->deliverToOwner(owner, [this](JobRunner& runner) { runner.onRefusal({ {}, Reason::Overloaded, "full", 100 }, this->clock.now()); });
    } else if (const auto* accept = std::get_if<ProposeAcceptance>(&command)) {
        AcceptJobCommand proposal;
        proposal.key = key;
        proposal.content = Transport::encodeValue(this->makeContent());
        proposal.ownerHost = owner.host;
        proposal.ownerIncarnation = owner.incarnation;
        proposal.submission = owner.runner->submission();
        proposal.intents = accept->intents;
        proposal.arrivedAt = this->milliseconds();
        proposal.proposedAt = this->milliseconds();
        if (this->bug == InjectedBug::SendBeforeRecording) {
            for (const auto& intent : accept->intents)
                this->startTask(owner, intent);
        }
        propose(proposal, &JobRunner::onAcceptance);
    } else if (std::holds_alternative<ProposeRefusal>(command)) {
        if (this->bug == InjectedBug::RefuseWithoutLedger)
            this->deliverToOwner(owner, [this](JobRunner& runner) { runner.onAcceptance(JobUpdateResult { JobStatus::Refused }, this->clock.now()); });
        else
            propose(RefuseJobCommand { key, 0, 0, this->milliseconds() }, &JobRunner::onAcceptance);
    } else if (const auto* intents = std::get_if<ProposeIntents>(&command)) {
        if (this->bug == InjectedBug::SendBeforeRecording) {
            for (const auto& intent : intents->intents)
                this->startTask(owner, intent);
        }
        propose(RecordIntentsCommand { key, owner.runner->epoch(), intents->intents }, &JobRunner::onIntentsRecorded);
    } else if (const auto* outcome = std::get_if<ProposeOutcome>(&command)) {
        propose(RecordOutcomeCommand { key, owner.runner->epoch(), outcome->outcome }, &JobRunner::onOutcomeRecorded);
    } else if (const auto* send = std::get_if<SendTask>(&command)) {
        if (this->bug != InjectedBug::SendBeforeRecording)
            this->startTask(owner, send->intent);
    } else if (const auto* query = std::get_if<ResolveAttempt>(&command)) {
        this->resolve(owner, query->intent);
    } else if (const auto* answer = std::get_if<AnswerJob>(&command)) {
        const auto* record = this->ledger.findJob(key);
        if (!record || !record->finished || record->outcome != answer->outcome)
            this->fail("a caller received an outcome that is not recorded");
        if (answer->outcome.result == JobResult::Complete) {
            this->sawComplete = true;
            if (answer->outcome.answers.size() != taskCount || this->startsByTask.size() != taskCount)
                this->fail("a job was reported complete without all of its tasks");
        }
        if (answer->outcome.verdict == Verdict::NotRun && !this->startsByTask.empty())
            this->fail("a job was reported as not run after one of its tasks had started");
    } else if (const auto* refusal = std::get_if<RefuseSubmission>(&command)) {
        if (refusal->error.verdict == Verdict::NotRun) {
            if (!this->startsByTask.empty())
                this->fail("a submission was refused as not run after a task of its key had started");
            // The caller does not retry, so that no task may start from now on.
            this->reportedAsNotRun = true;
        }
    }
}

void SimulatedJobs::startTask(Owner& owner, const Intent& intent)
{
    auto epoch = owner.runner->epoch();
    this->schedule([this, &owner, intent, epoch] {
        auto& worker = this->workers[std::stoul(intent.target)];
        auto attempt = std::pair { intent.task, intent.attempt };
        auto refuse = [&] {
            this->deliverToOwner(owner, [this, intent](JobRunner& runner) { runner.onTaskAnswer(intent.task, intent.attempt, tl::unexpected(Error::notRun(Reason::TargetFailed, "refused")), this->clock.now()); });
        };
        if (worker.incarnation != intent.targetIncarnation || epoch < worker.highestEpoch || worker.refused.contains(attempt))
            return refuse();
        if (!this->faultsDisabled && this->randomBelow(10) == 0) {
            worker.refused.insert(attempt);
            return refuse();
        }
        if (worker.attempts.contains(attempt))
            return;
        worker.highestEpoch = epoch;
        worker.attempts[attempt] = "done";
        if (++this->startsByTask[intent.task] > 1)
            this->fail("task " + std::to_string(intent.task) + " was started twice");
        if (this->reportedAsNotRun)
            this->fail("a task was started after the job had been reported as not run");
        this->deliverToOwner(owner, [this, intent](JobRunner& runner) { runner.onTaskAnswer(intent.task, intent.attempt, std::string("done"), this->clock.now()); });
    });
}

void SimulatedJobs::resolve(Owner& owner, const Intent& intent)
{
    auto epoch = owner.runner->epoch();
    this->schedule([this, &owner, intent, epoch] {
        auto& worker = this->workers[std::stoul(intent.target)];
        AttemptReport report;
        auto attempt = std::pair { intent.task, intent.attempt };
        if (worker.incarnation == intent.targetIncarnation) {
            worker.highestEpoch = std::max(worker.highestEpoch, epoch);
            bool known = worker.attempts.contains(attempt);
            report.state = known ? AttemptState::Finished : AttemptState::NeverStarted;
            report.succeeded = known;
            report.answer = "done";
            if (!known && this->bug != InjectedBug::ForgetRefusal)
                worker.refused.insert(attempt);
            if (this->bug == InjectedBug::ForgetRefusal)
                worker.highestEpoch = 0;
        }
        this->deliverToOwner(owner, [this, intent, report](JobRunner& runner) { runner.onAttemptReport(intent.task, intent.attempt, report, this->clock.now()); });
    });
}

void SimulatedJobs::crash(Owner& owner)
{
    owner.runner.reset();
    owner.incarnation = std::to_string(this->nextIncarnation++);
}

// Acts as the leader of the ledger: it assigns a job whose owner is lost to another host, and notifies an owner whose
// runner does not know yet that it owns the job.
void SimulatedJobs::superviseOwners()
{
    const auto* record = this->ledger.findJob(key);
    if (!record || record->finished)
        return;
    auto owner = std::find_if(this->owners.begin(), this->owners.end(), [&](const auto& candidate) { return candidate.host == record->ownerHost; });
    // A host that is only partitioned looks lost too.
    bool presumedLost = owner->incarnation != record->ownerIncarnation || (!this->faultsDisabled && this->randomBelow(8) == 0);
    if (presumedLost) {
        auto& successor = this->owners[this->randomBelow(this->owners.size())];
        this->apply(TakeOverCommand { key, record->epoch, successor.host, successor.incarnation });
        return;
    }
    if (owner->runner && owner->runner->isAccepted() && owner->runner->epoch() >= record->epoch)
        return;
    if (owner->runner && owner->runner->isAccepting() && owner->runner->submission() == record->submission && record->epoch == 1) {
        owner->runner->onAcceptance(JobUpdateResult { JobStatus::Accepted, 1, record->ownerHost, record->submission }, this->clock.now());
        this->executeCommands(*owner);
        return;
    }
    this->setRunner(*owner, std::make_unique<JobRunner>(this->makeContent(), *record, this->clock.now()));
    this->executeCommands(*owner);
}

void SimulatedJobs::step()
{
    auto& owner = this->owners[this->randomBelow(this->owners.size())];
    auto choice = this->randomBelow(100);
    if (choice < 55 && !this->pending.empty()) {
        auto position = this->randomBelow(this->pending.size());
        auto function = std::move(this->pending[position]);
        this->pending[position] = std::move(this->pending.back());
        this->pending.pop_back();
        function();
    } else if (choice < 70) {
        this->clock.advance(Milliseconds(1 + this->randomBelow(400)));
        for (auto& ticking : this->owners) {
            if (!ticking.runner)
                continue;
            ticking.runner->tick(this->clock.now());
            this->executeCommands(ticking);
        }
    } else if (choice < 78) {
        this->superviseOwners();
    } else if (choice < 84 && !this->faultsDisabled && !this->reportedAsNotRun) {
        this->submit(owner);
    } else if (choice < 86 && !this->faultsDisabled) {
        this->crash(owner);
    } else if (choice < 87 && !this->faultsDisabled) {
        auto& worker = this->workers[this->randomBelow(this->workers.size())];
        worker = Worker { std::to_string(this->nextIncarnation++), {}, {}, 0 };
    } else if (choice < 88 && !this->faultsDisabled && owner.runner) {
        owner.runner->cancel(this->clock.now());
        this->executeCommands(owner);
    }
}

void SimulatedJobs::runToCompletion()
{
    this->faultsDisabled = true;
    for (int round = 0; round < 6000 && !this->firstViolation; ++round)
        this->step();
    const auto* record = this->ledger.findJob(key);
    if (record && !record->finished)
        this->fail("an accepted job reached no outcome after the faults had ended");
}

}
