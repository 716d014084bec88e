#pragma once

#include "PeerMessages.h"
#include <LibSettings/DaemonSettings.h>
#include <LibTelemetry/Metrics.h>
#include <LibTransport/PeerHub.h>
#include <functional>
#include <map>
#include <memory>

namespace Sassafrasshift::Daemon {

/// Carries messages between the processes.
class PeerNetwork {
public:
    using Handler = std::function<void(const std::string& from, const PeerMessage&)>;

    [[nodiscard]] static ErrorOr<std::unique_ptr<PeerNetwork>> create(Transport::EventLoop&, const Settings::DaemonSettings&, Telemetry::Metrics&, Handler);

    /// Sends a message to a host. One that is meant for this host is handled in the next turn of the loop.
    void send(const std::string& host, const PeerMessage&);

    [[nodiscard]] bool isDrained() const;
    /// Bytes, messages and losses over all links.
    void exportCounters() const;

private:
    PeerNetwork(Transport::EventLoop&, const Settings::DaemonSettings&, Telemetry::Metrics&, Handler);

    [[nodiscard]] bool receive(const std::string& sender, const std::string& batch);

    Transport::EventLoop& loop;
    const Settings::DaemonSettings& settings;
    Telemetry::Metrics& metrics;
    Handler handler;
    std::unique_ptr<Transport::PeerHub> hub;
    std::map<std::string, Transport::Endpoint> peers;
};

/// Whether a message serves a request or a job, and not only the upkeep of the system.
[[nodiscard]] bool servesWork(const PeerMessage&);

}
