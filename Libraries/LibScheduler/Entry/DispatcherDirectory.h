#pragma once

#include <LibBase/Clock.h>
#include <LibScheduler/Entry/LocalAdmission.h>
#include <LibScheduler/Entry/ShardChoice.h>
#include <LibScheduler/Types.h>
#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// The dispatcher of one shard; a shard is a disjoint subset of the targets.
struct ShardDispatcher {
    std::string shard;
    std::string address;

    friend auto operator<=>(const ShardDispatcher&, const ShardDispatcher&) = default;
};

/// The dispatchers that an entry host knows, with the time of the last answer and the load of each. Chooses the dispatcher for
/// each job.
class DispatcherDirectory {
public:
    struct Options {
        /// A dispatcher is fresh if its last answer is no older than this. A dispatcher that is not fresh gets no new jobs while
        /// another one is fresh, and the entry host does not extend its entry lease there.
        Milliseconds freshnessTimeout { 350 };
        /// A dispatcher is silent, and considered lost, if its last answer is older than this.
        Milliseconds silenceTimeout { 700 };
        /// Jobs stay in the shard of the entry host while its backlog exceeds the smallest one by no more than this.
        Milliseconds ownShardAllowance { 40 };
        /// A shard whose backlog is larger by this much is chosen e times less often.
        Milliseconds backlogScale { 50 };
    };

    /// A dispatcher with its last reported loads.
    struct KnownDispatcher {
        std::string shard;
        std::string address;
        /// When the dispatcher last answered, or when it was first listed.
        Instant lastHeardAt {};
        bool hasAnswered { false };
        std::vector<PoolLoad> loads;
        /// When the answer arrived that carried the loads.
        std::optional<Instant> loadsReportedAt;
    };

    /// A chosen dispatcher, null if there is none, and what decided.
    struct Choice {
        const KnownDispatcher* dispatcher { nullptr };
        ShardChoice::Reason reason { ShardChoice::Reason::LastToAnswer };
    };

    explicit DispatcherDirectory(Options);

    /// Replaces the list of dispatchers. Returns the shards whose dispatcher is new, has changed, or is gone.
    std::vector<std::string> updateDispatchers(const std::vector<ShardDispatcher>&, std::string ownShard, Instant now);
    /// Records that a message from the dispatcher at the address has arrived.
    void onAnswer(const std::string& address, Instant now);
    /// Stores the loads that the last answer carried.
    void updateLoads(const std::string& address, const std::vector<PoolLoad>&);
    /// Stores the admission level that an answer carried.
    void updateAdmission(const std::string& address, const AdmissionLevel& level, Instant now) { this->admission.update(address, level, now); }
    /// Whether any dispatcher that is fresh and has targets of the pool admits a job, but for those of the excluded shards. If none of them
    /// is, any other one counts.
    [[nodiscard]] bool anyAdmits(const std::string& pool, int64_t priority, std::string_view job, const std::vector<std::string>& excludedShards, Instant now) const;
    /// The excluded shards and those whose dispatcher does not admit a job; only the former if no other is left.
    [[nodiscard]] std::vector<std::string> excludeRefusing(const std::string& pool, int64_t priority, std::string_view job, const std::vector<std::string>& excludedShards, Instant now) const;
    /// Resets the silence timeouts of all dispatchers. To be called after a pause of this process, during which it could not
    /// receive their messages.
    void resetSilenceTimeouts(Instant now);

    [[nodiscard]] const std::map<std::string, KnownDispatcher>& dispatchers() const { return this->dispatchersByShard; }
    [[nodiscard]] const KnownDispatcher* find(const std::string& shard) const;
    /// The dispatcher that decides which shard gets the jobs of this entry host: that of its own shard. Null if none is known.
    [[nodiscard]] const KnownDispatcher* home() const { return this->find(this->ownShard); }
    [[nodiscard]] const std::string& homeShard() const { return this->ownShard; }
    [[nodiscard]] bool isFresh(const KnownDispatcher& dispatcher, Instant now) const { return now - dispatcher.lastHeardAt <= this->options.freshnessTimeout; }
    [[nodiscard]] bool isSilent(const KnownDispatcher& dispatcher, Instant now) const { return now - dispatcher.lastHeardAt > this->options.silenceTimeout; }

    /// Chooses the dispatcher for a job of a pool among the shards that are not excluded; null if there is none. The shard of the
    /// entry host is preferred while its backlog exceeds the smallest one by no more than `ownShardAllowance`, because the jobs
    /// there survive a network partition that cuts off the shard. Otherwise the shards get shares of the jobs by capacity and
    /// backlog, and the name of a job decides in whose share it is (weighted rendezvous hashing): a caller may submit it through
    /// several entry hosts at once, and these choose the same dispatcher if they know the same loads.
    [[nodiscard]] const KnownDispatcher* choose(const std::string& job, const std::string& pool, const std::vector<std::string>& excludedShards, Instant now) const { return this->chooseWithReason(job, pool, excludedShards, now).dispatcher; }
    /// The same, with the reason.
    [[nodiscard]] Choice chooseWithReason(const std::string& job, const std::string& pool, const std::vector<std::string>& excludedShards, Instant now) const;
    /// Describes a choice, and what is known of the chosen shard, of this entry host's own one and of those that are not excluded.
    [[nodiscard]] ShardChoice explain(const Choice&, const std::string& pool, const std::vector<std::string>& excludedShards, Instant now) const;

private:
    struct Candidate {
        const KnownDispatcher* dispatcher { nullptr };
        double capacity { 0 };
        double backlogMilliseconds { 0 };
    };

    [[nodiscard]] std::vector<Candidate> candidates(const std::string& pool, const std::vector<std::string>& excludedShards, Instant now) const;

    [[nodiscard]] const KnownDispatcher* lastToAnswer() const;
    /// Why the own shard was not preferred.
    [[nodiscard]] ShardChoice::Reason reasonAgainstOwnShard(const std::vector<Candidate>&, const std::vector<std::string>& excludedShards, Instant now) const;
    [[nodiscard]] ShardChoice::KnownShard describe(const std::string& shard, const std::string& pool, Instant now) const;

    Options options;
    std::string ownShard;
    std::map<std::string, KnownDispatcher> dispatchersByShard;
    LocalAdmission admission;
};

}
