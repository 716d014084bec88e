#pragma once

#include <LibBase/Verdict.h>
#include <LibCatalog/Catalog.h>
#include <LibTransport/CodecFields.h>
#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Sassafrasshift::DurableState {

/// Publishes a complete set of configuration objects, which replaces the current version.
struct PublishCommand {
    /// Chosen by the operator's command-line tool. A change that is sent again has the same identifier.
    std::string changeId;
    /// The version that the change is based on. The change is accepted only if this is still the current version.
    uint64_t baseVersion { 0 };
    std::string author;
    std::vector<Catalog::SourceFile> files;
    /// Milliseconds since the Unix epoch.
    int64_t proposedAt { 0 };

    CODEC_FIELDS(changeId, baseVersion, author, files, proposedAt);
    friend auto operator<=>(const PublishCommand&, const PublishCommand&) = default;
};

/// The intent to send one attempt of a task to a worker. It is made durable before the first byte is sent.
struct Intent {
    uint32_t task { 0 };
    /// The attempt number, starting at one. A further attempt is recorded only after the previous one is proven not to have
    /// started.
    uint32_t attempt { 1 };
    std::string target;
    /// Distinguishes a worker process from its successor, which has no record of the attempts of the previous process.
    std::string targetIncarnation;
    /// The address of the worker as "address:port".
    std::string targetAddress;

    CODEC_FIELDS(task, attempt, target, targetIncarnation, targetAddress);
    friend auto operator<=>(const Intent&, const Intent&) = default;
};

/// Accepts a job into the ledger, together with the intents for the tasks that are sent first.
struct AcceptJobCommand {
    std::string key;
    /// Distinguishes a resubmission from a different job with the same key.
    uint64_t contentHash { 0 };
    /// When the client created the key, in milliseconds since the Unix epoch.
    int64_t createdAt { 0 };
    /// The encoded Dispatch::JobContent.
    std::string content;
    std::string ownerHost;
    std::string ownerIncarnation;
    /// Identifies this submission, so that its owner can distinguish it from another submission of the same key at the same
    /// host.
    std::string submission;
    std::vector<Intent> intents;
    /// When the submission reached its entry host, in milliseconds since the Unix epoch.
    int64_t arrivedAt { 0 };
    /// Milliseconds since the Unix epoch.
    int64_t proposedAt { 0 };

    CODEC_FIELDS(key, contentHash, createdAt, content, ownerHost, ownerIncarnation, submission, intents, arrivedAt, proposedAt);
    friend auto operator<=>(const AcceptJobCommand&, const AcceptJobCommand&) = default;
};

/// Refuses a job that has not been accepted, so that the client can be told that the job did not run. Submissions of the same
/// key that are still in transit on other hosts are refused as well.
struct RefuseJobCommand {
    std::string key;
    uint64_t contentHash { 0 };
    /// Milliseconds since the Unix epoch, like proposedAt.
    int64_t createdAt { 0 };
    int64_t proposedAt { 0 };

    CODEC_FIELDS(key, contentHash, createdAt, proposedAt);
    friend auto operator<=>(const RefuseJobCommand&, const RefuseJobCommand&) = default;
};

/// Records the intents for further attempts of a job that has been accepted.
struct RecordIntentsCommand {
    std::string key;
    uint64_t epoch { 0 };
    std::vector<Intent> intents;

    CODEC_FIELDS(key, epoch, intents);
    friend auto operator<=>(const RecordIntentsCommand&, const RecordIntentsCommand&) = default;
};

enum class JobResult {
    Complete,
    Failed,
    Cancelled,
};

struct JobOutcome {
    JobResult result { JobResult::Failed };
    /// What is known about the tasks of a job that is not complete.
    Verdict verdict { Verdict::MayHaveRun };
    std::string reason;
    std::string detail;
    /// The answers of all tasks in task order; empty unless the result is Complete.
    std::vector<std::string> answers;

    CODEC_FIELDS(result, verdict, reason, detail, answers);
    friend auto operator<=>(const JobOutcome&, const JobOutcome&) = default;
};

/// Records the outcome of a job and thereby finishes it.
struct RecordOutcomeCommand {
    std::string key;
    uint64_t epoch { 0 };
    JobOutcome outcome;

    CODEC_FIELDS(key, epoch, outcome);
    friend auto operator<=>(const RecordOutcomeCommand&, const RecordOutcomeCommand&) = default;
};

/// Transfers a job whose owner is lost to another owner, and increments the epoch of the job.
struct TakeOverCommand {
    std::string key;
    uint64_t expectedEpoch { 0 };
    std::string ownerHost;
    std::string ownerIncarnation;

    CODEC_FIELDS(key, expectedEpoch, ownerHost, ownerIncarnation);
    friend auto operator<=>(const TakeOverCommand&, const TakeOverCommand&) = default;
};

/// Records that a client requested the cancellation of a job. The owner of the job carries the cancellation out.
struct CancelJobCommand {
    std::string key;

    CODEC_FIELDS(key);
    friend auto operator<=>(const CancelJobCommand&, const CancelJobCommand&) = default;
};

/// Publishes a document if its version is higher than the current one; otherwise the command changes nothing.
struct PublishDocumentCommand {
    uint64_t version { 0 };
    std::string text;

    CODEC_FIELDS(version, text);
    friend auto operator<=>(const PublishDocumentCommand&, const PublishDocumentCommand&) = default;
};

/// Reads the current document version through the log, so that the result is at least as recent as the proposal
/// (a linearizable read). It changes nothing.
struct ReadDocumentCommand {
    uint64_t reserved { 0 };

    CODEC_FIELDS(reserved);
    friend auto operator<=>(const ReadDocumentCommand&, const ReadDocumentCommand&) = default;
};

/// Starts or ends the evacuation of a failure domain. A copy of the command that arrives after a later change must not undo that change,
/// so the command changes the set only if its proposer knew the current revision.
struct EvacuateCommand {
    std::string failureDomain;
    /// Whether the evacuation ends.
    bool isWithdrawn { false };
    /// The revision of the set that the proposer knows; zero if it knows none.
    uint64_t knownRevision { 0 };

    CODEC_FIELDS(failureDomain, isWithdrawn, knownRevision);
    friend auto operator<=>(const EvacuateCommand&, const EvacuateCommand&) = default;
};

using Command = std::variant<PublishCommand, AcceptJobCommand, RecordIntentsCommand, RecordOutcomeCommand, TakeOverCommand, CancelJobCommand, RefuseJobCommand, PublishDocumentCommand, ReadDocumentCommand, EvacuateCommand>;

/// The result of a PublishDocumentCommand or a ReadDocumentCommand.
struct DocumentResult {
    /// The current version after the command; zero if no document has been published.
    uint64_t version { 0 };

    CODEC_FIELDS(version);
    friend auto operator<=>(const DocumentResult&, const DocumentResult&) = default;
};

/// The failure domains on whose targets no tasks are started.
struct EvacuatedDomains {
    /// Increases with each change. The empty set before the first change has revision 1, so that zero means that no set is known.
    uint64_t revision { 1 };
    std::set<std::string> domains;

    CODEC_FIELDS(revision, domains);
    friend auto operator<=>(const EvacuatedDomains&, const EvacuatedDomains&) = default;
};

enum class EvacuationStatus {
    /// The set is as the command requests, whether this command or an earlier one changed it.
    Accepted,
    /// The set has changed since the revision that the proposer knew; the command has changed nothing.
    Outdated,
    /// The set has as many domains as it may have; the command has changed nothing.
    TooMany,
};

struct EvacuationResult {
    /// The set after the command. It is the first field, so that the result of a replica of an earlier version, which does not know the
    /// command, cannot be decoded as this one.
    EvacuatedDomains evacuated;
    EvacuationStatus status { EvacuationStatus::Outdated };

    CODEC_FIELDS(evacuated, status);
    friend auto operator<=>(const EvacuationResult&, const EvacuationResult&) = default;
};

enum class PublishStatus {
    Accepted,
    /// The base version is not the current version; another change was accepted first.
    Conflict,
};

struct PublishResult {
    PublishStatus status { PublishStatus::Conflict };
    /// The current version in the ledger after the command.
    uint64_t version { 0 };
    /// The author and change identifier of that version.
    std::string author;
    std::string changeId;

    CODEC_FIELDS(status, version, author, changeId);
    friend auto operator<=>(const PublishResult&, const PublishResult&) = default;
};

enum class JobStatus {
    Accepted,
    /// A job with the same key and content already exists; the submission joins it.
    Joined,
    /// The key was used for a job with different content.
    KeyReused,
    /// The key was refused recently, or the submission took too long to reach the ledger. The job did not run.
    Refused,
    /// The key is older than the retention time of job keys.
    KeyExpired,
    /// The command was applied, or an earlier copy of it was.
    Done,
    /// The epoch of the command differs from the current epoch of the job, so another owner has taken the job over.
    Fenced,
    /// The ledger has no job with this key.
    Unknown,
    /// The command contradicts the recorded state.
    Conflict,
};

struct JobUpdateResult {
    JobStatus status { JobStatus::Unknown };
    uint64_t epoch { 0 };
    std::string ownerHost;
    /// The identifier of the submission that was accepted for the key.
    std::string submission;

    CODEC_FIELDS(status, epoch, ownerHost, submission);
    friend auto operator<=>(const JobUpdateResult&, const JobUpdateResult&) = default;
};

}
