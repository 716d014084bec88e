#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>
#include <LibScheduler/Types.h>
#include <compare>
#include <map>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// The dispatcher of one shard of the targets.
struct ShardDispatcher {
    std::string shard;
    std::string address;

    friend auto operator<=>(const ShardDispatcher&, const ShardDispatcher&) = default;
};

/// What an entry knows of the dispatchers: which of them it has heard, what they have to do, and which gets the next job.
class DispatcherDirectory {
public:
    struct Options {
        /// A dispatcher that has been silent for longer gets no new jobs while another one is heard, and its leases on this
        /// entry's jobs are not extended.
        Milliseconds freshnessTimeout { 350 };
        /// A dispatcher that has been silent for longer is taken for lost.
        Milliseconds silenceTimeout { 700 };
        /// How much longer the own shard may need than the quickest one before jobs are sent to others.
        Milliseconds ownShardAllowance { 40 };
        /// The difference in backlog at which a shard gets a job e times less often.
        Milliseconds backlogScale { 50 };
    };

    struct KnownDispatcher {
        std::string shard;
        std::string address;
        /// When it last answered, or was first seen.
        Instant lastHeardAt {};
        bool hasAnswered { false };
        std::vector<PoolLoad> loads;
    };

    DispatcherDirectory(Options, Random);

    /// Takes in which dispatchers there are. Returns the shards whose dispatcher has changed or gone.
    std::vector<std::string> updateDispatchers(const std::vector<ShardDispatcher>&, std::string ownShard, Instant now);
    void onAnswer(const std::string& address, Instant now);
    void updateLoads(const std::string& address, const std::vector<PoolLoad>&);
    /// This process stood still: silence meanwhile says nothing.
    void restartSilenceTimeouts(Instant now);

    [[nodiscard]] const std::map<std::string, KnownDispatcher>& dispatchers() const { return this->dispatchersByShard; }
    [[nodiscard]] const KnownDispatcher* find(const std::string& shard) const;
    [[nodiscard]] bool isFresh(const KnownDispatcher& dispatcher, Instant now) const { return now - dispatcher.lastHeardAt <= this->options.freshnessTimeout; }
    [[nodiscard]] bool isSilent(const KnownDispatcher& dispatcher, Instant now) const { return now - dispatcher.lastHeardAt > this->options.silenceTimeout; }

    /// The dispatcher for a job of a pool, without those of some shards; null where there is none. The own shard is preferred
    /// as long as it needs hardly longer than others, since what it does survives a partition. Beyond that the choice is
    /// random, the likelier the less a shard has to do, so that entries with the same knowledge choose different ones.
    [[nodiscard]] const KnownDispatcher* choose(const std::string& pool, const std::vector<std::string>& excludedShards, Instant now);

private:
    struct Candidate {
        const KnownDispatcher* dispatcher { nullptr };
        double capacity { 0 };
        double backlogMilliseconds { 0 };
    };

    [[nodiscard]] std::vector<Candidate> candidates(const std::string& pool, const std::vector<std::string>& excludedShards, Instant now) const;

    [[nodiscard]] const KnownDispatcher* mostRecentlyHeard() const;

    Options options;
    Random random;
    std::string ownShard;
    std::map<std::string, KnownDispatcher> dispatchersByShard;
};

}
