#pragma once

#include <LibBase/Clock.h>
#include <LibSettings/Diagnostic.h>
#include <compare>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Sassafrasshift::Settings {

/// The settings of one entry host. The settings of every process list all entry hosts.
struct HostSettings {
    std::string name;
    std::string failureDomain;
    /// Where the other hosts reach this host, as "address:port".
    std::string peerAddress;
    /// Where callers reach this host, as "address:port".
    std::string callerAddress;
    /// Whether this host stores a replica of the ledger.
    bool replica { false };

    friend auto operator<=>(const HostSettings&, const HostSettings&) = default;
};

/// The settings of one sassafrasshiftd process in a cluster with a fixed list of hosts.
/// Base/examples/sassafrasshiftd.yaml documents every key.
struct DaemonSettings {
    /// The name of the host that this process runs on; one of `hosts`.
    std::string host;
    /// The folder of this host's durable state; empty for a host without a disk.
    std::string dataFolder;
    /// The file to which the time line is appended; empty if it is kept in memory only.
    std::string timeLineFile;
    std::string logLevel;
    /// The largest accepted body of a request or a response, in bytes.
    int64_t maximumBody { 0 };
    /// How often this host sends heartbeats to the other hosts.
    Milliseconds heartbeatInterval { 0 };
    /// The time without a heartbeat after which a host counts as failed; at least twice `heartbeatInterval`.
    Milliseconds failureTimeout { 0 };
    /// How long the announcement of a target remains valid.
    Milliseconds targetLease { 0 };
    /// The minimum time without contact from the ledger's leader after which a replica starts an election.
    Milliseconds electionTimeout { 0 };
    /// How long a graceful shutdown waits for work in progress.
    Milliseconds shutdownTimeout { 0 };
    /// How long the keys of finished jobs are retained; must be the same on all hosts.
    Milliseconds jobKeyRetention { 0 };
    /// All entry hosts; must be the same list on all hosts.
    std::vector<HostSettings> hosts;

    /// Parses and validates the settings. Fails with a diagnostic for every error in the text.
    [[nodiscard]] static tl::expected<DaemonSettings, Diagnostics> parse(const std::string& text, const std::string& file);

    /// Returns the entry of `hosts` for the host of this process.
    [[nodiscard]] const HostSettings& self() const;

    friend auto operator<=>(const DaemonSettings&, const DaemonSettings&) = default;
};

}
