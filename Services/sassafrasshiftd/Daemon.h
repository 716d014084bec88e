#pragma once

#include "ConfigurationStore.h"
#include "Context.h"
#include "DispatcherService.h"
#include "GrantClient.h"
#include "HttpApi.h"
#include "JobService.h"
#include "LedgerService.h"
#include "PeerNetwork.h"
#include "RequestForwarder.h"
#include <memory>

namespace Sassafrasshift::Daemon {

/// The process of one entry host. It creates the components, dispatches peer messages to them and drives their timers.
class Daemon {
public:
    /// Opens the addresses and files that the settings name. Fails if an address, the time-line file or the data folder cannot be
    /// used.
    [[nodiscard]] static ErrorOr<std::unique_ptr<Daemon>> create(const Settings::DaemonSettings&);

    /// Runs the event loop until the shutdown is complete.
    void run();

    /// Sets the function that each tick polls for a shutdown signal.
    void setSignalPoll(std::function<bool()> poll) { this->pollSignal = std::move(poll); }

    /// Starts a graceful shutdown: the host accepts no new work, finishes the work in progress and then stops. A second call
    /// stops it immediately.
    void requestShutdown();

private:
    explicit Daemon(const Settings::DaemonSettings&);

    [[nodiscard]] ErrorOr<void> start();
    void onPeerMessage(const std::string& from, const PeerMessage&);
    void handle(const std::string& from, const Membership::Heartbeat&);
    void handle(const std::string& from, const Membership::TargetReport&);
    void handle(const std::string& from, const Dispatch::Grant&);
    void handle(const std::string& from, const Dispatch::Refusal&);
    void handle(const std::string& from, const ConfigurationRequest&);
    void handle(const std::string& from, const ConfigurationTransfer&);
    void handle(const std::string& from, const AdoptJob&);
    void handle(const std::string& from, const CancelNotice&);
    template <typename Message>
    void handle(const std::string& from, const Message&);
    void tick();
    void sendHeartbeats();
    [[nodiscard]] Membership::Heartbeat makeHeartbeat();
    void continueShutdown();
    [[nodiscard]] bool isIdle() const;

    Settings::DaemonSettings settings;
    std::unique_ptr<Transport::EventLoop> loop;
    Random random;
    Telemetry::Metrics metrics;
    std::unique_ptr<Telemetry::TimeLine> timeLine;
    std::unique_ptr<Membership::PeerTable> peers;
    std::unique_ptr<Transport::HttpClient> client;
    std::unique_ptr<Context> context;
    std::unique_ptr<PeerNetwork> network;
    std::unique_ptr<ConfigurationStore> configuration;
    std::unique_ptr<DispatcherService> dispatcher;
    std::unique_ptr<GrantClient> grants;
    std::unique_ptr<LedgerService> ledger;
    std::unique_ptr<RequestForwarder> requests;
    std::unique_ptr<JobService> jobs;
    std::unique_ptr<HttpApi> api;
    std::unique_ptr<Transport::HttpServer> server;
    std::unique_ptr<Transport::Timer> tickTimer;
    std::function<bool()> pollSignal;
    Instant nextHeartbeat {};
    bool leaving { false };
    bool acceptingConnections { true };
    Instant leavingSince {};
    /// When the configuration was last requested from a host, by host.
    std::map<std::string, Instant> configurationRequestedAt;
};

}
