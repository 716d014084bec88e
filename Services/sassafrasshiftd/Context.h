#pragma once

#include "PeerNetwork.h"
#include <LibBase/Random.h>
#include <LibMembership/PeerTable.h>
#include <LibSettings/DaemonSettings.h>
#include <LibTelemetry/Metrics.h>
#include <LibTelemetry/TimeLine.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpClient.h>
#include <functional>
#include <string>

namespace Sassafrasshift::Daemon {

/// The objects shared by the components of the daemon. The context outlives all components.
struct Context {
    const Settings::DaemonSettings& settings;
    Transport::EventLoop& loop;
    Telemetry::Metrics& metrics;
    Telemetry::TimeLine& timeLine;
    Membership::PeerTable& peers;
    Transport::HttpClient& client;
    Random& random;
    /// Distinguishes this process from earlier ones on the same host.
    std::string incarnation;
    /// Sends a message to an entry host, which may be this one.
    std::function<void(const std::string& host, const PeerMessage&)> send;

    [[nodiscard]] Instant now() const { return this->loop.now(); }
    [[nodiscard]] int64_t wallMilliseconds() const { return toUnixMilliseconds(this->loop.wallNow()); }
};

}
