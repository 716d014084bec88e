#pragma once

#include "PeerMessages.h"
#include <LibSettings/DaemonSettings.h>
#include <LibTelemetry/Metrics.h>
#include <LibTransport/PeerHub.h>
#include <functional>
#include <map>
#include <memory>

namespace Sassafrasshift::Daemon {

/// Sends and receives messages between the daemons of the entry hosts.
class PeerNetwork {
public:
    using Handler = std::function<void(const std::string& from, const PeerMessage&)>;

    [[nodiscard]] static ErrorOr<std::unique_ptr<PeerNetwork>> create(Transport::EventLoop&, const Settings::DaemonSettings&, Telemetry::Metrics&, Handler);

    /// Sends a message to a host. A message to this host itself is handled in the next iteration of the event loop; a message to an unknown
    /// host is counted and dropped.
    void send(const std::string& host, const PeerMessage&);

    /// Returns whether no message is waiting to be sent.
    [[nodiscard]] bool isDrained() const;
    /// Copies the byte, batch, message and loss counters of each open link to the metrics.
    void exportCounters() const;

private:
    PeerNetwork(Transport::EventLoop&, const Settings::DaemonSettings&, Telemetry::Metrics&, Handler);

    [[nodiscard]] bool receive(const std::string& sender, const std::string& bytes);

    Transport::EventLoop& loop;
    const Settings::DaemonSettings& settings;
    Telemetry::Metrics& metrics;
    Handler handler;
    std::unique_ptr<Transport::PeerHub> hub;
    std::map<std::string, Transport::Endpoint> peers;
};

/// Returns whether a message belongs to a request or a job, rather than to the upkeep of the system.
[[nodiscard]] bool isWorkMessage(const PeerMessage&);

}
