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

/// How long a refusal holds, and the longest way of a submission from its entry host to the ledger.
inline constexpr Milliseconds refusalRetention { 10'000 };

struct PublishedConfiguration {
    uint64_t version { 0 };
    std::string author;
    std::string changeId;
    int64_t publishedAt { 0 };
    std::vector<Catalog::SourceFile> files;

    CODEC_FIELDS(version, author, changeId, publishedAt, files);
    friend auto operator<=>(const PublishedConfiguration&, const PublishedConfiguration&) = default;
};

/// One accepted change, without its objects.
struct HistoryEntry {
    uint64_t version { 0 };
    std::string author;
    std::string changeId;
    int64_t publishedAt { 0 };

    CODEC_FIELDS(version, author, changeId, publishedAt);
    friend auto operator<=>(const HistoryEntry&, const HistoryEntry&) = default;
};

struct JobRecord {
    std::string key;
    uint64_t contentHash { 0 };
    int64_t createdAt { 0 };
    int64_t acceptedAt { 0 };
    std::string content;
    std::string ownerHost;
    std::string ownerIncarnation;
    std::string submission;
    uint64_t epoch { 1 };
    /// The latest attempt of each task that has one, by task.
    std::map<uint32_t, Intent> intents;
    bool cancelRequested { false };
    bool finished { false };
    JobOutcome outcome;

    CODEC_FIELDS(key, contentHash, createdAt, acceptedAt, content, ownerHost, ownerIncarnation, submission, epoch, intents, cancelRequested, finished, outcome);
    friend auto operator<=>(const JobRecord&, const JobRecord&) = default;
};

/// A document that is published as a whole under a version of the publisher's choice.
struct PublishedDocument {
    /// Zero for none.
    uint64_t version { 0 };
    std::string text;

    CODEC_FIELDS(version, text);
    friend auto operator<=>(const PublishedDocument&, const PublishedDocument&) = default;
};

/// What survives the loss of hosts: the published configurations and the jobs.
class DurableState final : public Ledger::StateMachine {
public:
    struct Observer {
        std::function<void(const PublishedConfiguration&)> configurationPublished;
        std::function<void(const JobRecord&)> jobChanged;
        std::function<void(const PublishedDocument&)> documentPublished;
    };

    /// Keys of finished jobs are remembered for the retention after they were made.
    DurableState(Milliseconds keyRetention, Observer);

    std::string apply(Ledger::Index, const std::string& command) override;
    [[nodiscard]] std::string save() const override;
    void restore(const std::string& state) override;

    [[nodiscard]] const PublishedConfiguration& configuration() const { return this->content.configuration; }
    [[nodiscard]] const PublishedDocument& document() const { return this->content.document; }
    [[nodiscard]] const std::deque<HistoryEntry>& history() const { return this->content.history; }
    [[nodiscard]] const JobRecord* findJob(std::string_view key) const;
    /// The keys of the jobs without an outcome.
    [[nodiscard]] const std::set<std::string, std::less<>>& openJobs() const { return this->content.openJobs; }
    [[nodiscard]] size_t jobCount() const { return this->content.jobs.size(); }

private:
    struct Content {
        PublishedConfiguration configuration;
        std::deque<HistoryEntry> history;
        /// The first answer to each change, by change id, and the ids in order of age.
        std::map<std::string, PublishResult, std::less<>> publishResults;
        std::deque<std::string> publishOrder;
        std::map<std::string, JobRecord, std::less<>> jobs;
        std::set<std::string, std::less<>> openJobs;
        /// Finished jobs by the time at which their keys were made.
        std::set<std::pair<int64_t, std::string>> finishedByAge;
        /// When keys were refused lately, in milliseconds since the epoch, and the same in order of time.
        std::map<std::string, int64_t, std::less<>> refusals;
        std::set<std::pair<int64_t, std::string>> refusalsByAge;
        /// The latest time that a command carried, in milliseconds since the epoch.
        int64_t latestTime { 0 };
        PublishedDocument document;

        CODEC_FIELDS(configuration, history, publishResults, publishOrder, jobs, openJobs, finishedByAge, refusals, refusalsByAge, latestTime, document);
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
    /// What is known of a key that a submission carries; nothing where the key is new.
    [[nodiscard]] std::optional<JobUpdateResult> resultForKnownKey(std::string_view key, uint64_t contentHash, int64_t createdAt) const;
    [[nodiscard]] JobUpdateResult accept(const AcceptJobCommand&);
    /// The open job that a command of its owner concerns, or what to answer instead.
    [[nodiscard]] tl::expected<JobRecord*, JobUpdateResult> findJobForOwner(std::string_view key, uint64_t epoch);
    void advanceTime(int64_t time);
    void notifyJobChanged(const JobRecord&);

    Milliseconds keyRetention;
    Observer observer;
    Content content;
};

}
