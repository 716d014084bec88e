#pragma once

#include <LibDispatch/FairQueue.h>
#include <LibDispatch/TargetPool.h>
#include <LibDispatch/Types.h>
#include <LibMembership/TargetReport.h>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sassafrasshift::Dispatch {

/// Assigns the grant requests of one failure domain to the targets of that domain.
///
/// Event handlers append commands, which the caller collects with takeCommands(). The class performs no I/O and reads no
/// clock: the current time is a parameter, so that the same sequence of events always yields the same commands.
class Dispatcher {
public:
    struct Options {
        std::string host;
        TargetPool::Limits targets;
        /// A grant that the entry host that holds it has not renewed for this long is reclaimed.
        Milliseconds holderTimeout { 5000 };
        /// A hand-over that has had no answer for this long counts as lost.
        Milliseconds handOverTimeout { 500 };
        /// During this time after the start, requests wait for targets to announce themselves instead of being refused.
        Milliseconds warmUp { 3000 };
        /// Whether waiting requests are handed over to other dispatchers that have announced free slots.
        bool handOverEnabled { true };
    };

    /// Grants are numbered from `firstGrantNumber` on. The caller chooses it so that the numbers differ from those that
    /// earlier processes used.
    Dispatcher(Options, uint64_t firstGrantNumber, Instant now);

    /// Adds or updates a target and renews its lease, then serves the requests that wait in its pool.
    void updateTarget(const Membership::TargetReport&, Instant now);
    /// Grants or queues a request, or refuses it. A request that is already waiting here is ignored.
    void request(const GrantRequest&, Instant now);
    /// Withdraws the part of a request that has not been granted yet. Grants that were already issued for it have to be
    /// released by their holder.
    void cancel(const RequestId&);
    /// Ends a grant, and uses its slot for the next waiting request.
    void release(const Release&, Instant now);
    /// Renews the grants that an entry host reports as held, and adopts those that another dispatcher issued.
    void renewGrants(const std::vector<Grant>&, const Catalog::Resources&, const std::string& pool, Instant now);
    /// Records the number of free slots that another dispatcher announces for a pool, and may hand requests over to it.
    void updateAvailability(const PoolAvailability&, Instant now);
    /// Serves a request from another dispatcher with the slots that are free, and returns the rest of the request.
    void receiveHandOver(const HandOver&, Instant now);
    /// Queues the part of a request that another dispatcher returned, and records the free slots of that dispatcher.
    void receiveHandOverResult(const std::string& from, const HandOverResult&, Instant now);
    /// Announces the availability of every pool to the other dispatchers again.
    void announceAvailability();
    /// Discards the free slots that were announced by a dispatcher that is gone.
    void forgetDispatcher(const std::string& host);
    /// Handles the leases, deadlines, grants and hand-overs that have expired, and serves waiting requests.
    void tick(Instant now);

    [[nodiscard]] std::vector<DispatcherCommand> takeCommands();

    /// Returns the number of grants that all queued requests together are waiting for.
    [[nodiscard]] size_t waitingGrantCount() const;
    [[nodiscard]] size_t grantsHeld() const { return this->grants.size(); }
    [[nodiscard]] const TargetPool* findPool(const std::string& name) const;
    [[nodiscard]] std::vector<std::string> poolNames() const;

private:
    struct Pool {
        explicit Pool(TargetPool::Limits limits)
            : targets(limits)
        {
        }

        TargetPool targets;
        FairQueue queue;
        /// Free slots that other dispatchers have announced, by host, minus what was handed over to them since.
        std::map<std::string, uint32_t> remoteFreeSlots;
        bool announcedAsFree { false };
    };

    struct HeldGrant {
        std::string pool;
        std::string target;
        std::string targetIncarnation;
        std::string kind;
        std::string team;
        Catalog::Resources needs;
        Instant lastRenewed;
    };

    struct PendingHandOver {
        GrantRequest request;
        Instant sentAt;
        Instant deadline;
        std::string to;
        bool cancelled { false };
    };

    Pool& findOrCreatePool(const std::string& name);
    /// Returns whether a request may be queued. Otherwise, refuses it.
    [[nodiscard]] bool admit(Pool&, const GrantRequest&, Instant now);
    void refuse(const GrantRequest&, Reason, std::string detail, Milliseconds retryAfter);
    /// Issues grants to the waiting requests of a pool, hands over others, and announces a change of availability.
    void grantFromQueue(const std::string& name, Pool&, Instant now);
    void grant(const std::string& poolName, Pool&, TargetPool::Target&, const GrantRequest&, Instant now);
    void handOverWaiting(Pool&, Instant now);
    void announceAvailabilityChange(const std::string& name, Pool&);
    void releaseGrant(std::unordered_map<uint64_t, HeldGrant>::iterator, const Release&, Instant now);
    /// Changes the number of grants that a team holds. A limit of zero leaves the limit of the team unchanged.
    void adjustTeamUsage(const std::string& team, int64_t change, int64_t limit);
    void grantFromAllQueues(Instant now);
    void reclaimGrants(Instant now);
    /// Queues `count` of the requested grants here again, unless the request was cancelled.
    void requeue(PendingHandOver&, uint32_t count, Instant now);

    struct TeamUsage {
        /// The number of grants that the team holds.
        int64_t inProgress { 0 };
        int64_t limit { 0 };
        bool throttled { false };
    };

    Options options;
    Instant startedAt;
    uint64_t nextGrantNumber;
    std::map<std::string, std::unique_ptr<Pool>> pools;
    std::unordered_map<uint64_t, HeldGrant> grants;
    std::map<std::string, TeamUsage> teams;
    std::map<RequestId, PendingHandOver> pendingHandOvers;
    std::vector<DispatcherCommand> commands;
};

}
