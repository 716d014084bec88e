#pragma once

#include "ClusterMessages.h"
#include <LibBase/Random.h>
#include <LibCatalog/RouteTable.h>
#include <LibMembership/Cluster.h>
#include <LibSettings/ClusterSettings.h>
#include <LibTelemetry/Metrics.h>
#include <LibTransport/EventLoop.h>
#include <functional>
#include <string>

namespace Sassafrasshift::Daemon {

/// The objects shared by the components of one cluster member. The context outlives all components.
struct ClusterContext {
    const Settings::ClusterSettings& settings;
    Transport::EventLoop& loop;
    Telemetry::Metrics& metrics;
    Membership::Cluster& cluster;
    Random& random;
    /// Sends a message to the member at an address. A message to this member itself is handled in the next iteration of the
    /// event loop.
    std::function<void(const std::string& address, const ClusterMessage&)> send;

    [[nodiscard]] Instant now() const { return this->loop.now(); }
    [[nodiscard]] const std::string& ownAddress() const { return this->settings.peerAddress; }
    /// The address of the dispatcher that the targets of a failure domain belong to; empty while none is known.
    [[nodiscard]] std::string dispatcherFor(const std::string& failureDomain) const
    {
        const auto* dispatcher = this->cluster.dispatcher(this->cluster.shardFor(failureDomain), this->now());
        return dispatcher ? dispatcher->address : std::string();
    }
};

}
