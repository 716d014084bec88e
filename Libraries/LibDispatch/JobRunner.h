#pragma once

#include <LibDispatch/JobTypes.h>
#include <LibDurableState/DurableState.h>
#include <map>
#include <optional>

namespace Sassafrasshift::Dispatch {

/// Runs one job for its owner, so that none of its tasks starts twice.
///
/// An attempt is recorded in the ledger before its first byte is sent. A task gets a further attempt only where the
/// one before is proved not to have started. The outcome is recorded before any caller hears it. There is no input or
/// output here: each event may leave commands, which the owner takes with takeCommands().
class JobRunner {
public:
    /// A job that was submitted here and is not in the ledger yet.
    JobRunner(JobContent, std::string submission, Instant now);

    /// A job that the ledger gave to this owner after another one was lost.
    JobRunner(JobContent, const DurableState::JobRecord&, Instant now);

    void onGrant(const Grant&, Instant now);
    void onRefusal(const Refusal&, Instant now);
    /// To be called once the events of one turn have come in: what they allow is proposed together.
    void flush(Instant now);
    void onAcceptance(const ErrorOr<DurableState::JobUpdateResult>&, Instant now);
    void onIntentsRecorded(const ErrorOr<DurableState::JobUpdateResult>&, Instant now);
    /// The answer of a task, or the failure to get one, with its verdict.
    void onTaskAnswer(uint32_t task, uint32_t attempt, const ErrorOr<std::string>&, Instant now);
    /// What the worker said of an attempt, or that it could not be asked.
    void onAttemptReport(uint32_t task, uint32_t attempt, const ErrorOr<AttemptReport>&, Instant now);
    void onOutcomeRecorded(const ErrorOr<DurableState::JobUpdateResult>&, Instant now);
    void cancel(Instant now);
    void tick(Instant now);

    [[nodiscard]] std::vector<JobCommand> takeCommands();
    /// The name of the submission that this runner proposes, or was given.
    [[nodiscard]] const std::string& submission() const { return this->submissionId; }
    [[nodiscard]] uint64_t epoch() const { return this->currentEpoch; }
    [[nodiscard]] const JobContent& content() const { return this->job; }
    /// Whether nothing is left to do, so that the runner can be dropped.
    [[nodiscard]] bool isDone() const { return this->phase == Phase::Done; }
    /// Whether the ledger was asked to accept the job, and has not answered yet.
    [[nodiscard]] bool isAccepting() const { return this->phase == Phase::Accepting; }
    /// Whether the ledger holds the job under this owner.
    [[nodiscard]] bool isAccepted() const { return this->phase == Phase::Running || this->phase == Phase::Recording; }

private:
    enum class Phase {
        /// Waits for the first grants.
        AwaitingGrants,
        Accepting,
        Refusing,
        Running,
        Recording,
        Done,
    };

    enum class TaskState {
        Unstarted,
        /// Has a grant; the attempt is not proposed yet.
        Granted,
        /// The attempt is being recorded.
        Recording,
        Sent,
        /// Its answer is overdue, or its former owner is lost: the worker is asked.
        Resolving,
        Answered,
    };

    struct Task {
        TaskState state { TaskState::Unstarted };
        DurableState::Intent intent;
        std::optional<Grant> grant;
        Instant sentAt {};
        Instant nextQueryAt {};
        bool mayHaveStarted { false };
        std::string answer;
    };

    void propose(Instant now);
    [[nodiscard]] std::vector<DurableState::Intent> takeGrantedIntents();
    void sendRecordedTasks(Instant now);
    void send(Task&, Instant now);
    void requestMissingGrants();
    void handleNotStarted(uint32_t task, Instant now);
    void handleAnswer(uint32_t task, std::string answer, Instant now);
    void fail(Error, Instant now);
    void finish(DurableState::JobOutcome, Instant now);
    void releaseTask(Task&, WorkResult, Instant now);
    void stopTasks(Instant now);
    void beginRefusal(Instant now);
    [[nodiscard]] Verdict verdictOfUnfinished() const;
    [[nodiscard]] bool isOpen() const { return this->phase != Phase::Recording && this->phase != Phase::Done; }
    [[nodiscard]] uint32_t countTasks(TaskState) const;

    JobContent job;
    std::string submissionId;
    Phase phase { Phase::AwaitingGrants };
    /// Zero until the ledger has accepted the job, so that nothing is recorded in another owner's name.
    uint64_t currentEpoch { 0 };
    std::vector<Task> tasks;
    /// Grants that were asked for and have not come yet.
    uint32_t outstandingGrants { 0 };
    bool proposalPending { false };
    bool cancelled { false };
    std::optional<Error> refusal;
    std::optional<DurableState::JobOutcome> outcome;
    Instant initialGrantDeadline;
    Instant proposalRetryAt {};
    std::vector<std::string> excludedTargets;
    std::vector<JobCommand> commands;
};

}
