#pragma once

#include <LibBase/Clock.h>
#include <LibSettings/Diagnostic.h>
#include <compare>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Sassafrasshift::Settings {

/// The settings of one process of a cluster that finds its members itself. Base/examples/cluster.yaml documents every
/// key. Addresses are written "address:port".
struct ClusterSettings {
    std::string host;
    std::string failureDomain;
    std::string peerAddress;
    /// Where callers hand in jobs; empty for a process that takes none.
    std::string jobsAddress;
    /// Where the balancer asks whether this process takes jobs; empty for one that takes none.
    std::string readinessAddress;
    /// Where targets and operators reach this process; empty for one that does not serve them.
    std::string controlAddress;
    std::string metricsAddress;
    /// Peer addresses of some members.
    std::vector<std::string> seeds;
    /// Empty where the host has no disk.
    std::string dataFolder;
    /// Whether the whole cluster starts for the first time, so that the seeds form the ledger.
    bool firstStart { false };
    std::string logLevel;
    /// The preference with which this process becomes the dispatcher, in thousandths of a core; zero for never.
    int64_t dispatchWeight { 0 };
    /// The longest lease that targets grant on what they run.
    Milliseconds maximumLease { 0 };
    /// How long a process that was told to stop may take.
    Milliseconds shutdownTimeout { 0 };

    /// Checks the whole text. Fails with every fault that it has.
    [[nodiscard]] static tl::expected<ClusterSettings, Diagnostics> parse(const std::string& text, const std::string& file);

    friend auto operator<=>(const ClusterSettings&, const ClusterSettings&) = default;
};

}
