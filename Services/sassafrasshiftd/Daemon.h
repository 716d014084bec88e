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

/// One entry host: it wires the parts together, passes messages on to them and drives them by time.
class Daemon {
public:
    /// Opens everything that the settings name. Fails where an address or the data folder cannot be used.
    [[nodiscard]] static ErrorOr<std::unique_ptr<Daemon>> create(const Settings::DaemonSettings&);

    /// Runs until a shutdown has ended.
    void run();

    /// Sets what each tick asks whether a signal for the shutdown has come.
    void whenSignalled(std::function<bool()> poll) { this->pollSignal = std::move(poll); }

    /// Takes on nothing new, lets everything in progress end, and then stops. A second call stops at once.
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
    bool accepting { true };
    Instant leavingSince {};
    std::map<std::string, Instant> configurationRequestedAt;
};

}
