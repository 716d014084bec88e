#pragma once

#include "Cluster/ClusterContext.h"
#include "Cluster/ControlApi.h"
#include "Cluster/DispatchService.h"
#include "Cluster/DocumentLedger.h"
#include "Cluster/DocumentStore.h"
#include "Cluster/EvacuationStore.h"
#include "Cluster/JobEntry.h"
#include "Cluster/OrderRelay.h"
#include <LibTelemetry/LogBudget.h>
#include <LibTransport/HttpClient.h>
#include <LibTransport/HttpServer.h>
#include <LibTransport/PeerHub.h>
#include <functional>
#include <memory>

namespace Sassafrasshift::Daemon {

/// One member of a cluster whose members discover each other from seeds. It owns the event loop, the servers and all
/// components.
class ClusterDaemon {
public:
    /// The process reloads `settingsFile` when it changes, and when a signal requests it. Fails if an address or the data folder
    /// cannot be used.
    [[nodiscard]] static ErrorOr<std::unique_ptr<ClusterDaemon>> create(const Settings::ClusterSettings&, std::string settingsFile);

    void run();
    /// The signals that have arrived since the last poll.
    struct Signals {
        bool stop { false };
        bool reload { false };
    };
    /// Sets the function that is polled for signals in each tick.
    void setSignalPoll(std::function<Signals()> poll) { this->pollSignals = std::move(poll); }

private:
    ClusterDaemon(const Settings::ClusterSettings&, std::string settingsFile);

    [[nodiscard]] ErrorOr<void> start();
    [[nodiscard]] ErrorOr<void> openServers();
    void openClient();
    void onLimit(std::string_view port, std::string_view cause);
    void updateConnectionGauges();
    /// Delivers a batch of messages from a peer. Returns false if the batch cannot be decoded.
    [[nodiscard]] bool receive(const std::string& from, const std::string& bytes);
    void logUnknownMessages(const std::string& from, size_t count);
    void deliver(const std::string& from, const ClusterMessage&);
    void send(const std::string& address, const ClusterMessage&);
    void handle(const std::string& from, const Gossip&);
    void handle(const std::string& from, const ReportNotice&);
    void handle(const std::string& from, const TargetGone&);
    void handle(const std::string& from, const Scheduler::Placement&);
    template <typename Message>
    void handle(const std::string& from, const Message&);
    void tick();
    void tickEntry();
    /// The lowest epoch that a new claim may use.
    [[nodiscard]] uint64_t epochFloor() const;
    void gossip(Instant now);
    /// Applies the timeouts of the published document in force to callers' connections.
    void applyConnectionTimeouts();
    /// Sends a gossip message to all other live members.
    [[nodiscard]] Gossip makeGossip(std::vector<Membership::MemberRecord>) const;
    void broadcast(const Gossip&, Instant now);
    void detectPause(Instant now);
    void reloadSettings(bool isForced);
    void startShutdown(Instant now);
    void continueShutdown(Instant now);
    [[nodiscard]] bool hasOpenExchanges() const;

    Settings::ClusterSettings settings;
    std::string settingsFile;
    std::string settingsText;
    std::unique_ptr<Transport::EventLoop> loop;
    Random random;
    Telemetry::Metrics metrics;
    Telemetry::LogBudget limitLogBudget;
    std::unique_ptr<Membership::Cluster> cluster;
    std::unique_ptr<ClusterContext> context;
    std::unique_ptr<Transport::PeerHub> hub;
    std::unique_ptr<Transport::HttpClient> client;
    std::unique_ptr<DocumentStore> documents;
    std::unique_ptr<EvacuationStore> evacuations;
    std::unique_ptr<DocumentLedger> ledger;
    std::unique_ptr<DispatchService> dispatch;
    std::unique_ptr<OrderRelay> relay;
    std::unique_ptr<JobEntry> entry;
    std::unique_ptr<ControlApi> control;
    std::unique_ptr<Transport::HttpServer> jobsServer;
    std::unique_ptr<Transport::HttpServer> readinessServer;
    std::unique_ptr<Transport::HttpServer> controlServer;
    std::unique_ptr<Transport::HttpServer> metricsServer;
    std::unique_ptr<Transport::Timer> tickTimer;
    std::function<Signals()> pollSignals;
    Instant lastActiveAt {};
    Instant nextUnknownMessageLog {};
    Instant nextGossip {};
    Instant nextSettingsCheck {};
    /// The epoch, the configuration version and the evacuation revision in the last gossip message; a change is gossiped immediately.
    uint64_t gossipedEpoch { 0 };
    uint64_t gossipedVersion { 0 };
    uint64_t gossipedEvacuation { 0 };
    bool leaving { false };
    bool acceptingConnections { true };
    Instant leavingSince {};
    Instant lastExchangeOpenAt {};
};

}
