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
    /// Shutting down: the host finishes the work it has and accepts no more.
    Leaving,
};

/// The state of an entry host, which it sends to the others at regular intervals and immediately after a change.
struct Heartbeat {
    std::string host;
    std::string incarnation;
    HostState state { HostState::Serving };
    /// The version of the configuration in force on the host; zero for none.
    uint64_t configurationVersion { 0 };
    /// The ledger leader that the host knows of, and the term in which that leader was elected.
    std::string ledgerLeader;
    uint64_t ledgerTerm { 0 };
    /// The identity of the host's ledger replica; empty if it runs none.
    std::string replicaIdentity;
    /// Whether that replica holds an initialized log.
    bool replicaInitialized { false };
    /// A reading of the host's hybrid logical clock: the physical part in microseconds, and the logical counter.
    int64_t wall { 0 };
    uint32_t logical { 0 };

    CODEC_FIELDS(host, incarnation, state, configurationVersion, ledgerLeader, ledgerTerm, replicaIdentity, replicaInitialized, wall, logical);
    friend auto operator<=>(const Heartbeat&, const Heartbeat&) = default;
};

/// Failure detector for a fixed set of entry hosts, based on the time since the last heartbeat of each.
class PeerTable {
public:
    struct Host {
        std::string name;
        std::string failureDomain;
    };

    /// `self` is the name of this host, which always counts as alive.
    PeerTable(std::string self, std::vector<Host>, Milliseconds failureTimeout, Instant now);

    /// Records a heartbeat that has arrived now. Heartbeats of this host and of unknown hosts are ignored.
    void observe(const Heartbeat&, Instant now);
    void setOwnState(HostState);

    [[nodiscard]] bool isAlive(const std::string& host, Instant now) const;
    /// Whether the host is alive and not leaving.
    [[nodiscard]] bool isServing(const std::string& host, Instant now) const;
    /// Whether that incarnation of the host has failed: no heartbeat arrived within the failure timeout, or the host now runs
    /// under another incarnation. Unknown hosts count as lost; this host never does.
    [[nodiscard]] bool isLost(const std::string& host, const std::string& incarnation, Instant now) const;
    /// The host's latest heartbeat; null if none has arrived.
    [[nodiscard]] const Heartbeat* latestHeartbeat(const std::string& host) const;

    /// The dispatcher of a failure domain: the first serving host by name; empty if there is none.
    [[nodiscard]] std::string dispatcherOf(const std::string& failureDomain, Instant now) const;
    /// The names of all serving hosts.
    [[nodiscard]] std::vector<std::string> servingHosts(Instant now) const;
    /// The failure domain of each host, by host name.
    [[nodiscard]] const std::map<std::string, std::string>& failureDomains() const { return this->failureDomainByHost; }

private:
    struct Peer {
        /// When the last heartbeat arrived; until one has arrived, when the table was created.
        Instant lastHeartbeatAt;
        std::optional<Heartbeat> heartbeat;
    };

    std::string self;
    HostState ownState { HostState::Serving };
    Milliseconds failureTimeout;
    std::map<std::string, std::string> failureDomainByHost;
    std::map<std::string, Peer> peers;
};

}
