#pragma once

#include <LibBase/Clock.h>
#include <LibDurableState/Commands.h>
#include <LibLedger/StateMachine.h>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace Sassafrasshift::DurableState {

/// How long a refused key is remembered. It is also the maximum time that a submission may take from its entry host to the
/// ledger, so that a refusal outlasts every submission that was in transit when it was recorded.
inline constexpr Milliseconds refusalRetention { 10'000 };

/// How many failure domains may be evacuated at the same time.
inline constexpr size_t maximumEvacuatedDomains = 1000;

struct PublishedConfiguration {
    /// Zero if no configuration has been published.
    uint64_t version { 0 };
    std::string author;
    std::string changeId;
    /// Milliseconds since the Unix epoch.
    int64_t publishedAt { 0 };
    std::vector<Catalog::SourceFile> files;

    CODEC_FIELDS(version, author, changeId, publishedAt, files);
    friend auto operator<=>(const PublishedConfiguration&, const PublishedConfiguration&) = default;
};

/// An accepted configuration change, without its objects.
struct HistoryEntry {
    uint64_t version { 0 };
    std::string author;
    std::string changeId;
    /// Milliseconds since the Unix epoch.
    int64_t publishedAt { 0 };

    CODEC_FIELDS(version, author, changeId, publishedAt);
    friend auto operator<=>(const HistoryEntry&, const HistoryEntry&) = default;
};

struct JobRecord {
    std::string key;
    uint64_t contentHash { 0 };
    /// Milliseconds since the Unix epoch, like acceptedAt.
    int64_t createdAt { 0 };
    int64_t acceptedAt { 0 };
    std::string content;
    std::string ownerHost;
    std::string ownerIncarnation;
    std::string submission;
    uint64_t epoch { 1 };
    /// The intent for the latest attempt of each task, by task number.
    std::map<uint32_t, Intent> intents;
    bool cancelRequested { false };
    bool finished { false };
    JobOutcome outcome;

    CODEC_FIELDS(key, contentHash, createdAt, acceptedAt, content, ownerHost, ownerIncarnation, submission, epoch, intents, cancelRequested, finished, outcome);
    friend auto operator<=>(const JobRecord&, const JobRecord&) = default;
};

/// A document that is published as a whole, under a version number chosen by the publisher.
struct PublishedDocument {
    /// Zero if no document has been published.
    uint64_t version { 0 };
    std::string text;

    CODEC_FIELDS(version, text);
    friend auto operator<=>(const PublishedDocument&, const PublishedDocument&) = default;
};

/// The replicated state machine: the current configuration and the history of its changes, the published document, the evacuated
/// failure domains, and the jobs. It survives the loss of a minority of its replicas.
class DurableState final : public Ledger::StateMachine {
public:
    /// Called when a command changes the state, and for the whole state when a snapshot is restored.
    struct Observer {
        std::function<void(const PublishedConfiguration&)> configurationPublished;
        std::function<void(const JobRecord&)> jobChanged;
        std::function<void(const PublishedDocument&)> documentPublished;
    };

    /// The record of a finished job is kept until keyRetention has passed since the client created its key.
    DurableState(Milliseconds keyRetention, Observer);

    std::string apply(Ledger::Index, const std::string& command) override;
    [[nodiscard]] std::string save() const override;
    [[nodiscard]] bool canRestore(const std::string& state) const override;
    void restore(const std::string& state) override;

    [[nodiscard]] const PublishedConfiguration& configuration() const { return this->content.configuration; }
    [[nodiscard]] const PublishedDocument& document() const { return this->content.document; }
    [[nodiscard]] const EvacuatedDomains& evacuated() const { return this->content.evacuated; }
    [[nodiscard]] const std::deque<HistoryEntry>& history() const { return this->content.history; }
    [[nodiscard]] const JobRecord* findJob(std::string_view key) const;
    /// The keys of the jobs that have no outcome yet.
    [[nodiscard]] const std::set<std::string, std::less<>>& openJobs() const { return this->content.openJobs; }
    [[nodiscard]] size_t jobCount() const { return this->content.jobs.size(); }

private:
    struct Content {
        PublishedConfiguration configuration;
        std::deque<HistoryEntry> history;
        /// The first result of each change by change identifier, and the identifiers from oldest to newest.
        std::map<std::string, PublishResult, std::less<>> publishResults;
        std::deque<std::string> publishOrder;
        std::map<std::string, JobRecord, std::less<>> jobs;
        std::set<std::string, std::less<>> openJobs;
        /// Finished jobs by the creation time of their keys.
        std::set<std::pair<int64_t, std::string>> finishedJobsByCreation;
        /// The time of each recent refusal by key, in milliseconds since the Unix epoch, and the same entries in order of time.
        std::map<std::string, int64_t, std::less<>> refusals;
        std::set<std::pair<int64_t, std::string>> refusalsByTime;
        /// The latest proposal time of a command that accepts or refuses a job, in milliseconds since the Unix epoch.
        int64_t latestProposalTime { 0 };
        PublishedDocument document;
        EvacuatedDomains evacuated;

        CODEC_FIELDS(configuration, history, publishResults, publishOrder, jobs, openJobs, finishedJobsByCreation, refusals, refusalsByTime, latestProposalTime, document, evacuated);
    };

    [[nodiscard]] std::string handle(const PublishCommand&);
    [[nodiscard]] std::string handle(const AcceptJobCommand&);
    [[nodiscard]] std::string handle(const RecordIntentsCommand&);
    [[nodiscard]] std::string handle(const RecordOutcomeCommand&);
    [[nodiscard]] std::string handle(const TakeOverCommand&);
    [[nodiscard]] std::string handle(const CancelJobCommand&);
    [[nodiscard]] std::string handle(const RefuseJobCommand&);
    [[nodiscard]] std::string handle(const PublishDocumentCommand&);
    [[nodiscard]] std::string handle(const ReadDocumentCommand&) const;
    [[nodiscard]] std::string handle(const EvacuateCommand&);
    /// The result for a submission whose key is known or expired; nothing if the key is new.
    [[nodiscard]] std::optional<JobUpdateResult> resultForKnownKey(std::string_view key, uint64_t contentHash, int64_t createdAt) const;
    [[nodiscard]] JobUpdateResult accept(const AcceptJobCommand&);
    /// Finds the job that a command from its owner refers to. Otherwise returns the result to answer: Unknown if there is no
    /// such job, Fenced if the epoch differs.
    [[nodiscard]] tl::expected<JobRecord*, JobUpdateResult> findJobForOwner(std::string_view key, uint64_t epoch);
    void advanceTime(int64_t time);
    void notifyJobChanged(const JobRecord&);

    Milliseconds keyRetention;
    Observer observer;
    Content content;
};

}
