#pragma once

#include <LibBase/Clock.h>
#include <LibTransport/CodecFields.h>
#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Sassafrasshift::Membership {

enum class HostState {
    Serving,
    /// Shuts down: it finishes what it has and takes on nothing.
    Leaving,
};

/// What an entry host tells the others of itself at regular intervals, and at once when it changes.
struct Heartbeat {
    std::string host;
    std::string incarnation;
    HostState state { HostState::Serving };
    /// The version of the configuration that it has in force; zero for none.
    uint64_t configurationVersion { 0 };
    /// The host that it holds for the leader of the ledger, and the term in which that was elected.
    std::string ledgerLeader;
    uint64_t ledgerTerm { 0 };
    /// The identity of its replica; empty where it keeps none.
    std::string replicaIdentity;
    /// Whether its replica holds the beginning of a log.
    bool replicaInitialized { false };
    /// A hybrid time reading: microseconds, and the logical part.
    int64_t wall { 0 };
    uint32_t logical { 0 };

    CODEC_FIELDS(host, incarnation, state, configurationVersion, ledgerLeader, ledgerTerm, replicaIdentity, replicaInitialized, wall, logical);
    friend auto operator<=>(const Heartbeat&, const Heartbeat&) = default;
};

/// Which entry hosts are alive, judged by the time since their last heartbeat.
class PeerTable {
public:
    struct Host {
        std::string name;
        std::string failureDomain;
    };

    /// `self` is always alive.
    PeerTable(std::string self, std::vector<Host>, Milliseconds failureTimeout, Instant now);

    void observe(const Heartbeat&, Instant now);
    void setOwnState(HostState);

    [[nodiscard]] bool isAlive(const std::string& host, Instant now) const;
    /// Alive and not leaving.
    [[nodiscard]] bool isServing(const std::string& host, Instant now) const;
    /// Whether a host has been silent for the failure timeout, or has come back under another incarnation.
    [[nodiscard]] bool isLost(const std::string& host, const std::string& incarnation, Instant now) const;
    [[nodiscard]] const Heartbeat* latestHeartbeat(const std::string& host) const;

    /// The host that dispatches for a failure domain: the first by name of those that serve; empty for none.
    [[nodiscard]] std::string dispatcherOf(const std::string& failureDomain, Instant now) const;
    /// The names of all serving hosts.
    [[nodiscard]] std::vector<std::string> serving(Instant now) const;
    [[nodiscard]] const std::map<std::string, std::string>& failureDomains() const { return this->failureDomainByHost; }

private:
    struct Peer {
        Instant lastHeard;
        std::optional<Heartbeat> heartbeat;
    };

    std::string self;
    HostState ownState { HostState::Serving };
    Milliseconds failureTimeout;
    std::map<std::string, std::string> failureDomainByHost;
    std::map<std::string, Peer> peers;
};

}
