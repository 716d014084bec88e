#pragma once

#include <LibBase/Clock.h>
#include <LibSettings/Diagnostic.h>
#include <compare>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Sassafrasshift::Settings {

/// Shares of processors are counted in thousandths of a core.
inline constexpr int64_t milliCoresPerCore = 1000;

/// What the clients of one listening port may use. 0 means no limit, except for the timeouts.
struct PortLimits {
    /// The memory in bytes that unfinished requests, requests that are being handled, and unread answers may hold.
    int64_t memory { 0 };
    int64_t connections { 0 };
    int64_t connectionsPerAddress { 0 };
    /// The number of requests that a connection may send in a row without waiting for an answer.
    int64_t pipelinedRequests { 0 };
    /// The header fields of one request, and their bytes.
    int64_t headerFields { 0 };
    int64_t headerBytes { 0 };
    /// The time for a request to arrive.
    Milliseconds requestTimeout { 0 };
    /// The time for an answer to be read.
    Milliseconds answerTimeout { 0 };

    friend auto operator<=>(const PortLimits&, const PortLimits&) = default;
};

/// The settings of one sassafrasshiftd process in a cluster that discovers its members through seeds.
/// Base/examples/cluster.yaml documents every key. Addresses have the form "address:port".
struct ClusterSettings {
    std::string host;
    std::string failureDomain;
    /// Where the other members reach this process.
    std::string peerAddress;
    /// Where callers submit jobs; empty for a process that accepts none.
    std::string jobsAddress;
    /// Where the load balancer checks whether this process accepts jobs; empty for a process that accepts none.
    std::string readinessAddress;
    /// Where targets and operators reach this process; empty for a process that does not serve them.
    std::string controlAddress;
    /// Where metrics are served; empty for none.
    std::string metricsAddress;
    /// Peer addresses of some members, through which this process joins the cluster.
    std::vector<std::string> seeds;
    /// The folder of the ledger's replica; empty for a host without a disk.
    std::string dataFolder;
    /// Whether the whole cluster starts for the first time, in which case the seeds bootstrap the ledger.
    bool firstStart { false };
    /// The number of disks whose loss at the same time the ledger has to survive. It takes 2n + 1 hosts with a disk to survive
    /// the loss of n disks.
    size_t toleratedDiskLosses { 1 };
    /// The failure domains that may be evacuated, besides those of known members and targets.
    std::vector<std::string> failureDomains;
    std::string logLevel;
    /// The weight of this process when the dispatcher is chosen, in thousandths of a core. A process with zero never
    /// becomes the dispatcher.
    int64_t dispatchWeight { 0 };
    /// A dispatcher with less weight than this, in thousandths of a core, sends its orders through relays; zero for never.
    int64_t orderRelayWeight { 0 };
    /// Whether this process, as a dispatcher, sends its orders through other entry hosts if it has many targets.
    [[nodiscard]] bool usesOrderRelays() const { return this->dispatchWeight < this->orderRelayWeight; }
    /// The longest lease that targets grant for their runs. The dispatcher never requests a longer one.
    Milliseconds maximumLease { 0 };
    /// Whether this process, as a dispatcher, limits which jobs it admits while its event loop is late.
    bool limitAdmission { false };
    /// Whether a dispatcher shares capacity between failure domains and queues while it is short.
    bool shareCapacity { false };
    /// Whether a dispatcher keeps tasks apart that slow each other down on the same target.
    bool separateInterfering { false };
    /// The weights for sharing capacity; a failure domain or queue that is not listed has the weight 1.
    std::map<std::string, double> domainWeights {};
    std::map<std::string, double> queueWeights {};
    /// How long a graceful shutdown of this process may take.
    Milliseconds shutdownTimeout { 0 };
    /// The memory of the host in bytes that this process may use; 0 if it is not known.
    int64_t memoryLimit { 0 };
    /// The number of descriptors that this process may open; 0 for the limit that the operating system sets.
    int64_t descriptorLimit { 0 };
    /// The limits of each port. Their defaults derive from the limits of the host.
    PortLimits jobsLimits;
    PortLimits controlLimits;
    PortLimits readinessLimits;
    PortLimits metricsLimits;
    PortLimits peerLimits;
    /// The memory in bytes that unfinished answers of targets may hold; 0 means no limit.
    int64_t targetAnswerMemory { 0 };

    /// Parses and validates the settings. Fails with a diagnostic for every error in the text.
    [[nodiscard]] static tl::expected<ClusterSettings, Diagnostics> parse(const std::string& text, const std::string& file);

    friend auto operator<=>(const ClusterSettings&, const ClusterSettings&) = default;
};

}
