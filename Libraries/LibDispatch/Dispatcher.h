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

/// Matches the requests of one failure domain with its targets.
///
/// Each event may leave commands, which the owner takes with takeCommands(). There is no input or output here, and the
/// time is passed in; equal events give equal commands.
class Dispatcher {
public:
    struct Options {
        std::string host;
        TargetPool::Limits targets;
        /// Grants whose holder has not named them for this long are taken back.
        Milliseconds holderTimeout { 5000 };
        /// A hand-over that is not answered for this long counts as lost.
        Milliseconds handOverTimeout { 500 };
        /// How long requests wait for a first announcement after the start.
        Milliseconds warmUp { 3000 };
        /// Whether requests that wait are passed to other dispatchers that have shown free places.
        bool handsOver { true };
    };

    /// `firstGrant` makes the numbers of grants differ from those of earlier processes.
    Dispatcher(Options, uint64_t firstGrant, Instant now);

    void announce(const Membership::TargetReport&, Instant now);
    void request(const GrantRequest&, Instant now);
    /// Withdraws a request; grants that were given already have to be released.
    void cancel(const RequestId&);
    void release(const Release&, Instant now);
    /// Takes note of grants that an entry holds, and adopts those that another dispatcher gave.
    void reportHeld(const std::vector<Grant>&, const Catalog::Resources&, const std::string& pool, Instant now);
    void observe(const DomainView&, Instant now);
    void handOver(const HandOver&, Instant now);
    void handOverResult(const std::string& from, const HandOverResult&, Instant now);
    /// Tells the other dispatchers anew which pools are free here.
    void announceAll();
    /// Forgets the view of a dispatcher that is gone.
    void forgetDispatcher(const std::string& host);
    void tick(Instant now);

    [[nodiscard]] std::vector<DispatcherCommand> takeCommands();

    [[nodiscard]] size_t waiting() const;
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
        /// Places that other dispatchers have free, by host, less what was handed over since.
        std::map<std::string, uint32_t> remoteFree;
        bool announcedFree { false };
    };

    struct HeldGrant {
        std::string pool;
        std::string target;
        std::string targetIncarnation;
        std::string kind;
        std::string team;
        Catalog::Resources needs;
        Instant lastNamed;
    };

    struct HandedOver {
        GrantRequest request;
        Instant sentAt;
        Instant deadline;
        std::string to;
        bool cancelled { false };
    };

    Pool& poolOf(const std::string& name);
    [[nodiscard]] bool admit(Pool&, const GrantRequest&, Instant now);
    void refuse(const GrantRequest&, Reason, std::string detail, Milliseconds retryAfter);
    /// Gives out what can be given out in a pool.
    void serve(const std::string& name, Pool&, Instant now);
    void grant(const std::string& poolName, Pool&, TargetPool::Target&, const GrantRequest&, Instant now);
    void passOn(Pool&, Instant now);
    void announceTransition(const std::string& name, Pool&);
    void freeGrant(std::unordered_map<uint64_t, HeldGrant>::iterator, const Release&, Instant now);
    void changeTeamUse(const std::string& team, int64_t change, int64_t limit);
    void serveAll(Instant now);
    void reclaimGrants(Instant now);
    void requeue(HandedOver&, uint32_t count, Instant now);

    struct TeamUse {
        int64_t inProgress { 0 };
        int64_t limit { 0 };
        bool held { false };
    };

    Options options;
    Instant startedAt;
    uint64_t nextGrant;
    std::map<std::string, std::unique_ptr<Pool>> pools;
    std::unordered_map<uint64_t, HeldGrant> grants;
    std::map<std::string, TeamUse> teams;
    std::map<RequestId, HandedOver> handedOver;
    std::vector<DispatcherCommand> commands;
};

}
