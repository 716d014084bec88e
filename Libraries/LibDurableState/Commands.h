#pragma once

#include <LibBase/Verdict.h>
#include <LibCatalog/Catalog.h>
#include <LibTransport/CodecFields.h>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Sassafrasshift::DurableState {

/// Publishes a whole set of objects in place of an earlier version.
struct PublishCommand {
    /// Chosen by the operator's tool; a change that is sent again carries the same one.
    std::string changeId;
    /// The version that the operator started from.
    uint64_t baseVersion { 0 };
    std::string author;
    std::vector<Catalog::SourceFile> files;
    /// Milliseconds since the epoch.
    int64_t proposedAt { 0 };

    CODEC_FIELDS(changeId, baseVersion, author, files, proposedAt);
    friend auto operator<=>(const PublishCommand&, const PublishCommand&) = default;
};

/// The intention to send one attempt of a task to a worker. It is durable before the first byte is sent.
struct Intent {
    uint32_t task { 0 };
    /// Counted from one; a further attempt is recorded only where the one before was proved not to have started.
    uint32_t attempt { 1 };
    std::string target;
    /// Tells a worker process from its successor, which knows nothing of the attempts of the former.
    std::string targetIncarnation;
    /// "address:port"
    std::string targetAddress;

    CODEC_FIELDS(task, attempt, target, targetIncarnation, targetAddress);
    friend auto operator<=>(const Intent&, const Intent&) = default;
};

/// Takes a job into the ledger, with the attempts of its first wave.
struct AcceptJobCommand {
    std::string key;
    /// Tells a resubmission from another job under the same key.
    uint64_t contentHash { 0 };
    /// When the client made the key, in milliseconds since the epoch.
    int64_t createdAt { 0 };
    /// The encoded job.
    std::string content;
    std::string ownerHost;
    std::string ownerIncarnation;
    /// Names this submission, so that its owner can tell it from another one of the same key at the same host.
    std::string submission;
    std::vector<Intent> intents;
    /// When the submission reached its entry host, in milliseconds since the epoch.
    int64_t arrivedAt { 0 };
    int64_t proposedAt { 0 };

    CODEC_FIELDS(key, contentHash, createdAt, content, ownerHost, ownerIncarnation, submission, intents, arrivedAt, proposedAt);
    friend auto operator<=>(const AcceptJobCommand&, const AcceptJobCommand&) = default;
};

/// Refuses a job that was not accepted, so that "not run" can be said of its key: submissions of the same key that are
/// still under way elsewhere are refused as well.
struct RefuseJobCommand {
    std::string key;
    uint64_t contentHash { 0 };
    int64_t createdAt { 0 };
    int64_t proposedAt { 0 };

    CODEC_FIELDS(key, contentHash, createdAt, proposedAt);
    friend auto operator<=>(const RefuseJobCommand&, const RefuseJobCommand&) = default;
};

/// Records the attempts of a later wave.
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
    /// What is known of the tasks of a job that is not complete.
    Verdict verdict { Verdict::MayHaveRun };
    std::string reason;
    std::string detail;
    /// The answers of all tasks in order; empty unless complete.
    std::vector<std::string> answers;

    CODEC_FIELDS(result, verdict, reason, detail, answers);
    friend auto operator<=>(const JobOutcome&, const JobOutcome&) = default;
};

struct RecordOutcomeCommand {
    std::string key;
    uint64_t epoch { 0 };
    JobOutcome outcome;

    CODEC_FIELDS(key, epoch, outcome);
    friend auto operator<=>(const RecordOutcomeCommand&, const RecordOutcomeCommand&) = default;
};

/// Gives a job whose owner is lost to another one.
struct TakeOverCommand {
    std::string key;
    uint64_t expectedEpoch { 0 };
    std::string ownerHost;
    std::string ownerIncarnation;

    CODEC_FIELDS(key, expectedEpoch, ownerHost, ownerIncarnation);
    friend auto operator<=>(const TakeOverCommand&, const TakeOverCommand&) = default;
};

struct CancelJobCommand {
    std::string key;

    CODEC_FIELDS(key);
    friend auto operator<=>(const CancelJobCommand&, const CancelJobCommand&) = default;
};

/// Publishes a document of which the highest version is in force. One that is not higher changes nothing.
struct PublishDocumentCommand {
    uint64_t version { 0 };
    std::string text;

    CODEC_FIELDS(version, text);
    friend auto operator<=>(const PublishDocumentCommand&, const PublishDocumentCommand&) = default;
};

/// Changes nothing. Its result shows which document was the latest at some moment after it was proposed.
struct ReadDocumentCommand {
    uint64_t reserved { 0 };

    CODEC_FIELDS(reserved);
    friend auto operator<=>(const ReadDocumentCommand&, const ReadDocumentCommand&) = default;
};

using Command = std::variant<PublishCommand, AcceptJobCommand, RecordIntentsCommand, RecordOutcomeCommand, TakeOverCommand, CancelJobCommand, RefuseJobCommand, PublishDocumentCommand, ReadDocumentCommand>;

struct DocumentResult {
    /// The version in force after the command; zero for none.
    uint64_t version { 0 };

    CODEC_FIELDS(version);
    friend auto operator<=>(const DocumentResult&, const DocumentResult&) = default;
};

enum class PublishStatus {
    Accepted,
    /// Another change was accepted on the same base version.
    Conflict,
};

struct PublishResult {
    PublishStatus status { PublishStatus::Conflict };
    /// The version in the ledger after the change.
    uint64_t version { 0 };
    /// Who published that version, and under which change id.
    std::string author;
    std::string changeId;

    CODEC_FIELDS(status, version, author, changeId);
    friend auto operator<=>(const PublishResult&, const PublishResult&) = default;
};

enum class JobStatus {
    Accepted,
    /// A job with the same key and content is known already.
    Joined,
    /// The key was used for other content.
    KeyReused,
    /// The key was refused a moment ago, or the submission took too long to reach the ledger: it did not run.
    Refused,
    /// The key is older than the time for which keys are remembered.
    KeyExpired,
    Done,
    /// The command's epoch is not the job's.
    Fenced,
    Unknown,
    /// The command contradicts what is recorded.
    Conflict,
};

struct JobUpdateResult {
    JobStatus status { JobStatus::Unknown };
    uint64_t epoch { 0 };
    std::string ownerHost;
    /// The submission that was accepted for the key.
    std::string submission;

    CODEC_FIELDS(status, epoch, ownerHost, submission);
    friend auto operator<=>(const JobUpdateResult&, const JobUpdateResult&) = default;
};

}
