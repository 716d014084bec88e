#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Random.h>
#include <LibMembership/PeerTable.h>
#include <LibTransport/CodecFields.h>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Sassafrasshift::Membership {

/// How the targets are divided among dispatchers.
enum class DispatchLayout {
    /// One dispatcher has all targets.
    WholeCluster,
    /// Each failure domain has a dispatcher for its targets.
    FailureDomains,
};

/// What the members of a cluster know of one of them.
struct MemberRecord {
    /// Where its peers reach it, as "address:port"; it identifies the host.
    std::string address;
    std::string name;
    std::string failureDomain;
    /// Rises with each process at the address.
    uint64_t incarnation { 0 };
    /// Rises with each heartbeat of the process.
    uint64_t heartbeat { 0 };
    HostState state { HostState::Serving };
    /// Whether it takes jobs from callers.
    bool isEntry { false };
    /// The preference with which it becomes the dispatcher, in thousandths of a core; zero for never.
    uint32_t dispatchWeight { 0 };
    /// The epoch in which it claims to be the dispatcher; zero for no claim.
    uint64_t dispatchEpoch { 0 };
    /// The version of the configuration that it has in force; zero for none.
    uint64_t configurationVersion { 0 };
    /// The identity of its replica of the ledger; empty where it keeps none.
    std::string replicaIdentity;
    bool replicaInitialized { false };
    /// The host that it holds for the leader of the ledger, and the term in which that was elected.
    std::string ledgerLeader;
    uint64_t ledgerTerm { 0 };
    /// The layout that it knows to be in force.
    DispatchLayout layout { DispatchLayout::WholeCluster };
    /// The shard that it dispatches, or would dispatch.
    std::string dispatchShard;

    CODEC_FIELDS(address, name, failureDomain, incarnation, heartbeat, state, isEntry, dispatchWeight, dispatchEpoch, configurationVersion, replicaIdentity, replicaInitialized, ledgerLeader, ledgerTerm, layout, dispatchShard);
    friend auto operator<=>(const MemberRecord&, const MemberRecord&) = default;
};

/// The members of a cluster that finds itself from a few seeds, by gossip of heartbeat counters (van Renesse, Minsky and
/// Hayden, "A Gossip-Style Failure Detection Service", 1998). It does no input or output.
///
/// The targets are divided into shards, each with one dispatcher: a single shard with an empty name in a small cluster, and
/// one for each failure domain in a large one. A cluster that has once been large keeps its shards.
class Cluster {
public:
    struct Options {
        /// Between two gossip messages of one member of a small cluster, and of a large one.
        Milliseconds smallClusterInterval { 100 };
        Milliseconds largeClusterInterval { 250 };
        /// Members from which on a cluster is large.
        size_t largeClusterSize { 20 };
        /// Members from which on each failure domain has a dispatcher of its own.
        size_t shardedClusterSize { 20 };
        /// A member whose heartbeat has not risen for this many intervals counts as lost.
        int failureIntervals { 7 };
        /// A lost member is forgotten after this long.
        Milliseconds recordRetention { 120'000 };
        /// How long a host waits for other claims before it makes the first one that it knows of.
        Milliseconds claimDelay { 300 };
        /// The same for a host that has heard of nobody: the others may still be starting.
        Milliseconds isolatedClaimDelay { 1500 };
        /// A member takes the place of a dispatcher that has less than its own weight divided by this.
        uint32_t takeoverWeightRatio { 3 };
        /// How long a member has to run before it takes such a place.
        Milliseconds takeoverMinimumUptime { 3000 };
        /// Members to which each gossip message goes.
        size_t fanout { 3 };
    };

    Cluster(MemberRecord self, std::vector<std::string> seeds, Options, Random, Instant now);

    /// How long after one gossip message the next is due. It grows with the cluster, whose records each message carries.
    [[nodiscard]] Milliseconds gossipInterval() const { return this->interval(); }
    /// Raises the own heartbeat, so that others take in the own record as it is now.
    void incrementHeartbeat() { ++this->ownRecord.heartbeat; }
    /// The addresses to which the next gossip message goes. Raises the own heartbeat.
    [[nodiscard]] std::vector<std::string> nextGossipRecipients(Instant now);
    /// Own record and those of all members that are not lost.
    [[nodiscard]] std::vector<MemberRecord> liveRecords(Instant now) const;
    void mergeRecords(const std::vector<MemberRecord>&, Instant now);

    /// Takes up, keeps or gives up the claim to be the dispatcher. A new claim's epoch is at least the floor, which lies
    /// above the epochs of claims that nobody remembers where it is drawn from a clock.
    void updateClaim(Instant now, uint64_t epochFloor);
    /// Raises the epoch of the own claim above one that was found in force at a target.
    void raiseEpoch(uint64_t above);

    void setSeeds(std::vector<std::string>);
    /// Treats all members as just heard, after this process stood still for some time.
    void resetFailureTimeouts(Instant now);
    [[nodiscard]] MemberRecord& self() { return this->ownRecord; }
    [[nodiscard]] const MemberRecord& self() const { return this->ownRecord; }

    [[nodiscard]] const MemberRecord* find(const std::string& address) const;
    [[nodiscard]] bool isAlive(const std::string& address, Instant now) const;
    /// All live members, and the own record first.
    [[nodiscard]] std::vector<const MemberRecord*> liveMembers(Instant now) const;
    /// Whether all members that take no jobs have been alive for some time, as far as is known here. While that holds, none
    /// of what they tell every member has been missed.
    [[nodiscard]] bool isStableFor(Milliseconds, Instant now) const;
    /// A member that others have reason to take for lost, since it leaves their messages unanswered. It counts as lost until
    /// it is heard from, or for as long as its loss would take to be noticed.
    void suspect(const std::string& address, Instant now);
    /// A message has come from the member itself.
    void clearSuspicion(const std::string& address);

    [[nodiscard]] DispatchLayout layout() const { return this->ownRecord.layout; }
    /// The shard to which the targets of a failure domain belong. A domain without any member that dispatches shares the
    /// shard of another one.
    [[nodiscard]] std::string shardFor(const std::string& failureDomain) const;
    [[nodiscard]] std::string ownShard() const { return this->shardFor(this->ownRecord.failureDomain); }
    /// The live, serving member with the claim of the highest epoch to a shard; null for none.
    [[nodiscard]] const MemberRecord* dispatcher(const std::string& shard, Instant now) const;
    /// The dispatchers of all shards that have one.
    [[nodiscard]] std::vector<const MemberRecord*> dispatchers(Instant now) const;

private:
    struct Peer {
        MemberRecord record;
        Instant lastHeartbeatAt;
        /// Since when it has been alive without a break.
        Instant aliveSince;
        Instant suspectedUntil {};
    };

    [[nodiscard]] Milliseconds interval() const;
    [[nodiscard]] Milliseconds failureTimeout() const { return this->interval() * this->options.failureIntervals; }
    [[nodiscard]] bool isBestCandidate(Instant now) const;
    [[nodiscard]] bool shouldReplace(const MemberRecord& dispatcher, Instant now) const;
    void adoptLayout(DispatchLayout);
    void mergePeerRecord(const MemberRecord&, Instant now);
    void mergeOwnRecord(const MemberRecord&);

    MemberRecord ownRecord;
    std::vector<std::string> seeds;
    Options options;
    Random random;
    std::map<std::string, Peer> peers;
    uint64_t highestEpoch { 0 };
    /// The shards that have had a dispatcher, as far as is known here.
    std::set<std::string> claimedShards;
    std::optional<Instant> candidateSince;
    Instant startedAt;
};

}
