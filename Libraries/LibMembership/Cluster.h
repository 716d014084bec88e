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

/// How the targets are partitioned into shards, each of which has one dispatcher.
enum class DispatchLayout {
    /// A single shard, with an empty name, contains all targets.
    WholeCluster,
    /// The targets of each failure domain form a shard.
    FailureDomains,
};

/// The state of one member of the cluster, as gossip messages carry it.
struct MemberRecord {
    /// The member's peer address, as "address:port". It identifies the host.
    std::string address;
    std::string name;
    std::string failureDomain;
    /// Higher for each new process at the same address.
    uint64_t incarnation { 0 };
    /// The heartbeat counter of the process; the member increments it in each gossip round.
    uint64_t heartbeat { 0 };
    HostState state { HostState::Serving };
    /// Whether the member accepts jobs from callers.
    bool isEntry { false };
    /// The preference for the member as a dispatcher, in thousandths of a core. Of several candidates the one with the highest
    /// weight is chosen; a member with weight zero is never chosen.
    uint32_t dispatchWeight { 0 };
    /// The epoch of the member's claim to be the dispatcher of its shard; zero for no claim.
    uint64_t dispatchEpoch { 0 };
    /// The version of the configuration in force on the member; zero for none.
    uint64_t configurationVersion { 0 };
    /// The identity of the member's ledger replica; empty if it runs none.
    std::string replicaIdentity;
    bool replicaInitialized { false };
    /// The ledger leader that the member knows of, and the term in which that leader was elected.
    std::string ledgerLeader;
    uint64_t ledgerTerm { 0 };
    /// The dispatch layout that the member knows to be in force.
    DispatchLayout layout { DispatchLayout::WholeCluster };
    /// The shard to which the member's failure domain belongs: the member is its dispatcher or a candidate for that role.
    std::string dispatchShard;
    /// Whether the member executes RelayedOrders; members of an earlier version ignore them.
    bool relaysOrders { false };
    /// The revision of the set of evacuated failure domains in force on the member; zero if it has none.
    uint64_t evacuationRevision { 0 };

    CODEC_FIELDS(address, name, failureDomain, incarnation, heartbeat, state, isEntry, dispatchWeight, dispatchEpoch, configurationVersion, replicaIdentity, replicaInitialized, ledgerLeader, ledgerTerm, layout, dispatchShard, relaysOrders, evacuationRevision);
    friend auto operator<=>(const MemberRecord&, const MemberRecord&) = default;
};

/// Cluster membership, failure detection and the choice of dispatchers, as seen by one member. Members discover each other
/// from a few seeds and gossip heartbeat counters (van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection
/// Service", 1998). The class does no I/O.
///
/// The targets are divided into shards, each with one dispatcher: a single shard with an empty name in a small cluster, and
/// one shard per failure domain in a large one. A cluster that has once been large keeps its shards when it shrinks.
class Cluster {
public:
    struct Options {
        /// The time between two gossip rounds of a member, in a small and in a large cluster.
        Milliseconds smallClusterInterval { 100 };
        Milliseconds largeClusterInterval { 250 };
        /// For how long after its start a member of a large cluster gossips at the interval of a small one.
        Milliseconds startupTime { 1000 };
        /// The smallest number of members for which the large-cluster interval applies.
        size_t largeClusterSize { 20 };
        /// The smallest number of members for which each failure domain has its own dispatcher.
        size_t shardedClusterSize { 20 };
        /// The failure timeout, in gossip intervals: a member whose heartbeat counter has not increased for longer counts as failed.
        int failureIntervals { 7 };
        /// The record of a member is removed when its heartbeat has not increased for this long.
        Milliseconds recordRetention { 120'000 };
        /// How long a candidate must have heard from other members before it claims a shard that it has seen no claim to.
        Milliseconds claimDelay { 200 };
        /// Replaces `claimDelay` while the member knows no other member: the others may still be starting.
        Milliseconds isolatedClaimDelay { 1500 };
        /// A member takes over from a dispatcher whose weight is at most its own weight divided by this.
        uint32_t takeoverWeightRatio { 3 };
        /// How long a member must have been running before it may take over.
        Milliseconds takeoverMinimumUptime { 3000 };
        /// The number of live members to which a member sends its gossip message in each round.
        size_t fanout { 3 };
    };

    Cluster(MemberRecord self, std::vector<std::string> seeds, Options, Random, Instant now);

    /// The time until the next gossip round. It is longer in a large cluster, since each message carries the records of all members,
    /// but not soon after the start of this process.
    [[nodiscard]] Milliseconds gossipInterval(Instant now) const;
    /// Increments this member's heartbeat counter, so that other members accept its current record as newer.
    void incrementHeartbeat() { ++this->ownRecord.heartbeat; }
    /// Selects the recipients of the next gossip message, and increments this member's heartbeat counter.
    [[nodiscard]] std::vector<std::string> nextGossipRecipients(Instant now);
    /// The content of a gossip message: the records of this member and of all other live members.
    [[nodiscard]] std::vector<MemberRecord> liveRecords(Instant now) const;
    /// Whether the sender of a gossip message, which knows that many live members, is to be sent the records of all members at once.
    /// That is so if it knows clearly fewer than this member, as after its start. Zero if the sender did not say how many it knows.
    [[nodiscard]] bool shouldSendAllRecords(size_t membersKnownToSender, Instant now) const;
    /// Merges records from a gossip message; for each member the newest one is kept. Records with counters far out of range, or
    /// with unknown enumerators, are ignored.
    void mergeRecords(const std::vector<MemberRecord>&, Instant now);

    /// Makes, keeps or withdraws this member's claim to be the dispatcher of its shard. The epoch of a new claim is higher than
    /// the floor. A floor that is derived from a clock is above the epochs of earlier claims that no live member remembers.
    void updateClaim(Instant now, uint64_t epochFloor);
    /// Raises the epoch of this member's claim above `above`, for example when a target holds a higher fencing token.
    void raiseEpoch(uint64_t above);

    /// Replaces the addresses through which this member discovers others.
    void setSeeds(std::vector<std::string>);
    /// Resets the failure timeouts of recently seen members. To be called after a pause of this process, during which it could
    /// not receive heartbeats.
    void resetFailureTimeouts(Instant now);
    [[nodiscard]] MemberRecord& self() { return this->ownRecord; }
    [[nodiscard]] const MemberRecord& self() const { return this->ownRecord; }
    /// Identifies this process among those at its address, for messages whose times are only comparable within one process. It stays
    /// while the incarnation in the member's record is raised above that of an earlier process.
    [[nodiscard]] uint64_t processIncarnation() const { return this->initialIncarnation; }

    [[nodiscard]] const MemberRecord* find(const std::string& address) const;
    [[nodiscard]] bool isAlive(const std::string& address, Instant now) const;
    /// The records of all live members; the record of this member is the first.
    [[nodiscard]] std::vector<const MemberRecord*> liveMembers(Instant now) const;
    /// Whether this process has been running, and all known members that accept no jobs have been alive without interruption,
    /// for at least the given time. Those members forward the target reports that they receive to every member: if each target
    /// repeats its report within the given time, this member has then received the reports of all targets.
    [[nodiscard]] bool isStableFor(Milliseconds, Instant now) const;
    /// Marks a member as failed because it does not answer messages. The mark is removed by clearSuspicion(), by a new
    /// incarnation, or after the failure timeout.
    void suspect(const std::string& address, Instant now);
    /// Removes the mark that suspect() set. To be called when a message has arrived from the member itself.
    void clearSuspicion(const std::string& address);

    [[nodiscard]] DispatchLayout layout() const { return this->ownRecord.layout; }
    /// The shard to which the targets of a failure domain belong. A domain in which no member has a dispatch weight belongs to
    /// the shard of another domain.
    [[nodiscard]] std::string shardFor(const std::string& failureDomain) const;
    /// The live members that may know targets which this member does not know as a new dispatcher of its shard: those that accept
    /// reports, and those that a dispatcher of the shard is chosen from.
    [[nodiscard]] std::vector<std::string> targetListHosts(Instant now) const;
    /// The addresses of the entry hosts of a shard whose heartbeat has increased within the given time, suspected ones included.
    [[nodiscard]] std::set<std::string> recentEntries(const std::string& shard, Milliseconds within, Instant now) const;
    /// The time since the heartbeat of a known member has increased; zero for this member itself.
    [[nodiscard]] Milliseconds sinceHeartbeat(const std::string& address, Instant now) const;
    [[nodiscard]] std::string ownShard() const { return this->shardFor(this->ownRecord.failureDomain); }
    /// The live, serving member whose claim to the shard has the highest epoch; null if there is none.
    [[nodiscard]] const MemberRecord* dispatcher(const std::string& shard, Instant now) const;
    /// The dispatchers of all shards of the current layout that have one, ordered by shard.
    [[nodiscard]] std::vector<const MemberRecord*> dispatchers(Instant now) const;

private:
    struct Peer {
        MemberRecord record;
        Instant lastHeartbeatAt;
        /// Since when the member has been alive without interruption.
        Instant aliveSince;
        Instant suspectedUntil {};
    };

    [[nodiscard]] Milliseconds interval() const;
    [[nodiscard]] Milliseconds failureTimeout() const { return this->interval() * this->options.failureIntervals; }
    [[nodiscard]] bool isBestCandidate(Instant now) const;
    [[nodiscard]] bool mayClaim(const std::string& shard, Instant now) const;
    [[nodiscard]] bool isCutOff(Instant now) const;
    [[nodiscard]] bool hasRecentContact(Instant now) const;
    [[nodiscard]] bool shouldReplace(const MemberRecord& dispatcher, Instant now) const;
    void adoptLayout(DispatchLayout);
    void updateDispatchingDomains();
    void mergePeerRecord(const MemberRecord&, Instant now);
    void mergeOwnRecord(const MemberRecord&);

    MemberRecord ownRecord;
    uint64_t initialIncarnation { 0 };
    std::vector<std::string> seeds;
    Options options;
    Random random;
    std::map<std::string, Peer> peers;
    /// The failure domains in which a member has a dispatch weight.
    std::set<std::string> dispatchingDomains;
    uint64_t highestEpoch { 0 };
    /// The shards for which this member has seen or made a claim.
    std::set<std::string> claimedShards;
    /// When this member first learned of another one.
    std::optional<Instant> firstContactAt;
    Instant startedAt;
};

}
