#pragma once

#include <LibDispatch/JobTypes.h>
#include <LibDurableState/DurableState.h>
#include <map>
#include <optional>

namespace Sassafrasshift::Dispatch {

/// State machine that runs one job on its owner host and ensures that none of its tasks starts twice.
///
/// An attempt is recorded in the ledger before its first byte is sent. A task gets another attempt only if the previous one
/// is proven not to have started. The outcome is recorded before any caller receives it. The class performs no I/O: event
/// handlers append commands, which the caller collects with takeCommands().
class JobRunner {
public:
    /// Starts a job that was submitted to this host and is not in the ledger yet.
    JobRunner(JobContent, std::string submission, Instant now);

    /// Resumes a job that the ledger assigned to this owner after the former owner was lost.
    JobRunner(JobContent, const DurableState::JobRecord&, Instant now);

    void onGrant(const Grant&, Instant now);
    void onRefusal(const Refusal&, Instant now);
    /// Proposes all attempts that the events so far allow in one batch. Call it after the events of one iteration of the
    /// event loop.
    void flush(Instant now);
    /// Handles the result of proposing the acceptance or the refusal of the job.
    void onAcceptance(const ErrorOr<DurableState::JobUpdateResult>&, Instant now);
    void onIntentsRecorded(const ErrorOr<DurableState::JobUpdateResult>&, Instant now);
    /// Handles the answer of a task, or the error and verdict if there is no answer.
    void onTaskAnswer(uint32_t task, uint32_t attempt, const ErrorOr<std::string>&, Instant now);
    /// Handles the worker's report about an attempt, or the error if the worker could not be queried.
    void onAttemptReport(uint32_t task, uint32_t attempt, const ErrorOr<AttemptReport>&, Instant now);
    void onOutcomeRecorded(const ErrorOr<DurableState::JobUpdateResult>&, Instant now);
    void cancel(Instant now);
    void tick(Instant now);

    [[nodiscard]] std::vector<JobCommand> takeCommands();
    /// The identifier of the submission that this runner proposes, or that the ledger has recorded for a resumed job.
    [[nodiscard]] const std::string& submission() const { return this->submissionId; }
    [[nodiscard]] uint64_t epoch() const { return this->currentEpoch; }
    [[nodiscard]] const JobContent& content() const { return this->jobContent; }
    /// Whether nothing is left to do, so that the runner can be destroyed.
    [[nodiscard]] bool isDone() const { return this->phase == Phase::Done; }
    /// Whether the acceptance of the job was proposed to the ledger and has not been answered yet.
    [[nodiscard]] bool isAccepting() const { return this->phase == Phase::Accepting; }
    /// Whether the ledger has recorded this host as the owner of the job.
    [[nodiscard]] bool isAccepted() const { return this->phase == Phase::Running || this->phase == Phase::Recording; }

private:
    enum class Phase {
        /// Waiting until the first grant arrives or `initialGrantDeadline` passes.
        AwaitingGrants,
        /// The acceptance of the job has been proposed to the ledger.
        Accepting,
        /// The refusal of the job has been proposed to the ledger.
        Refusing,
        Running,
        /// The outcome of the job has been proposed to the ledger.
        Recording,
        Done,
    };

    enum class TaskState {
        Unstarted,
        /// The task has a grant; its attempt has not been proposed yet.
        Granted,
        /// The attempt has been proposed to the ledger.
        Recording,
        Sent,
        /// It is unknown whether the attempt started, because its connection or former owner was lost: the worker is queried.
        Resolving,
        Answered,
    };

    struct Task {
        TaskState state { TaskState::Unstarted };
        DurableState::Intent intent;
        std::optional<Grant> grant;
        Instant sentAt {};
        Instant nextQueryAt {};
        /// Whether this or a former owner may have sent an attempt that is not proven to have never started.
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
    [[nodiscard]] Verdict verdictOfUnfinishedJob() const;
    [[nodiscard]] bool isOpen() const { return this->phase != Phase::Recording && this->phase != Phase::Done; }
    [[nodiscard]] uint32_t countTasks(TaskState) const;

    JobContent jobContent;
    std::string submissionId;
    Phase phase { Phase::AwaitingGrants };
    /// Zero until the ledger has accepted the job, so that this runner cannot record anything under another owner's epoch.
    uint64_t currentEpoch { 0 };
    std::vector<Task> tasks;
    /// Grants that were requested and have not arrived yet.
    uint32_t outstandingGrants { 0 };
    /// Whether attempts have been proposed to the ledger and it has not answered yet.
    bool proposalPending { false };
    bool cancelled { false };
    /// The reason for which the job is refused, or fails once the ledger has accepted it.
    std::optional<Error> refusal;
    std::optional<DurableState::JobOutcome> outcome;
    Instant initialGrantDeadline;
    Instant proposalRetryAt {};
    std::vector<std::string> excludedTargets;
    std::vector<JobCommand> commands;
};

}
