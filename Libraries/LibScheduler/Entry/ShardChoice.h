#pragma once

#include <LibBase/Clock.h>
#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace Sassafrasshift::Scheduler {

/// Why an entry host chose a shard for a job, and what it knew of that shard and of its own one.
struct ShardChoice {
    enum class Reason {
        /// The backlog of the own shard is within the allowance.
        OwnShard,
        /// The own shard has more backlog than the allowance, so the name of the job decided among all shards.
        JobName,
        /// The name of the job decided among the other shards, because the dispatcher of the own shard has not answered recently.
        OwnShardNotFresh,
        /// The same, because the own shard has refused the job.
        OwnShardRefused,
        /// The same, because no dispatcher of the own shard is known.
        OwnShardUnknown,
        /// The same, because the dispatcher of the own shard has reported no targets of the pool.
        OwnShardWithoutTargets,
        /// No fresh dispatcher has reported targets of the pool, so the job goes to the one that answered last.
        LastToAnswer,
        /// No shard was chosen: the job stays in the shard that it was handed over to before.
        FormerShard,
        /// The home of the job has chosen the shard.
        Home,
    };

    struct KnownShard {
        std::string shard;
        /// Whether a dispatcher is known that is fresh.
        bool isFresh { false };
        /// The time since the last answer of the dispatcher. It also starts when the dispatcher is first listed, and after a pause of
        /// this process. Not set if no dispatcher is known.
        std::optional<Milliseconds> sinceAnswer;
        /// The time since the answer that carried the known loads, and the backlog of the pool among them.
        std::optional<Milliseconds> sinceLoads;
        std::optional<Milliseconds> backlog;

        friend auto operator<=>(const KnownShard&, const KnownShard&) = default;
    };

    Reason reason { Reason::FormerShard };
    KnownShard own;
    KnownShard chosen;
    /// The smallest backlog of the shards that the choice was among.
    std::optional<Milliseconds> smallestBacklog;

    [[nodiscard]] bool leavesOwnShard() const { return this->chosen.shard != this->own.shard; }

    friend auto operator<=>(const ShardChoice&, const ShardChoice&) = default;
};

/// The spelling for logs and metrics, which is stable.
[[nodiscard]] std::string_view toText(ShardChoice::Reason);

}
