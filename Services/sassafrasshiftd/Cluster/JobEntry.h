#pragma once

#include "Cluster/ClusterContext.h"
#include "Cluster/DocumentStore.h"
#include <LibScheduler/Entry/ClockEchoes.h>
#include <LibScheduler/Entry/JobOwner.h>
#include <LibTelemetry/LogBudget.h>
#include <LibTransport/HttpServer.h>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sassafrasshift::Daemon {

/// Accepts jobs from callers, hands them over to dispatchers, and responds to the callers.
class JobEntry {
public:
    JobEntry(ClusterContext&, DocumentStore&);

    void handle(const std::shared_ptr<Transport::HttpExchange>&);
    void onMessage(const std::string& from, const Scheduler::JobOutcome&);
    void onMessage(const std::string& from, const RenewResponse&);
    void onMessage(const std::string& from, const RenewalRequest&);
    void onMessage(const std::string& from, const AdmissionNotice&);
    void onMessage(const std::string& from, const Scheduler::Placement&);
    /// Records the clock of a member, which messages to it echo. The message was received just now.
    void observeClock(const std::string& member, uint64_t incarnation, Milliseconds::rep reading);
    void tick(Instant now);
    /// To be called after a pause of this process.
    void onPause(Instant now);

    /// Whether the load balancer may send new callers to this host.
    [[nodiscard]] bool isReady() const;
    void startLeaving() { this->leaving = true; }
    [[nodiscard]] size_t openJobs() const { return this->owner.openJobs(); }

private:
    /// The callers that wait for the outcome of a job, and the fields of its log line.
    struct Callers {
        std::vector<std::shared_ptr<Transport::HttpExchange>> exchanges;
        std::string queue;
        Instant arrivedAt {};
        uint64_t routesVersion { 0 };
    };

    struct ParsedRequest {
        const Catalog::Route* route { nullptr };
        std::string job;
    };

    /// Whether the job that the request names is open here in the queue of the request.
    [[nodiscard]] bool isOpen(const ParsedRequest&) const;
    void submit(const std::shared_ptr<Transport::HttpExchange>&, const ParsedRequest&);
    void refuseLocally(const std::shared_ptr<Transport::HttpExchange>&, const ParsedRequest&, Instant now);
    void readStatus(const std::shared_ptr<Transport::HttpExchange>&, const ParsedRequest&);
    void cancel(const std::shared_ptr<Transport::HttpExchange>&, const ParsedRequest&);
    /// Adds a caller to those that wait for a job.
    void addCaller(const std::string& job, const std::shared_ptr<Transport::HttpExchange>&);
    /// To be called when one of the callers that wait for a job has closed its connection.
    void onAbandoned(const std::string& job);
    void updateDispatchers(Instant now);
    /// Sends the messages that the job owner has produced, and responds to the callers of finished jobs.
    void executeEffects();
    /// Counts the handover by the reason for its shard, and logs it unless it is the first one of its job and goes to the own shard.
    void observeHandover(const Scheduler::JobOwner::Handover&, Instant now);
    void logRepeatedHandover(const Scheduler::JobOwner::Handover&, Instant now);
    void logPlacement(const Scheduler::JobOwner::Handover&, Instant now);
    /// Records the time between the reading of the clock that a lease is counted from, and the stamp of the messages that extend it.
    void observeSendDelay(const Scheduler::JobOwner::Effects&, Instant now);
    /// Returns whether another line may be written now, and counts the line if not.
    [[nodiscard]] bool mayLog(Telemetry::LogBudget&, Instant now);
    /// Marks an unresponsive dispatcher as suspected to have failed.
    void suspect(const std::string& dispatcher);
    void respondToCallers(const Scheduler::JobOwner::Answer&);
    void respondToCallers(const Scheduler::JobOwner::Answer&, int status, const std::string& body, std::string_view outcome);

    ClusterContext& context;
    DocumentStore& documents;
    Scheduler::JobOwner owner;
    Scheduler::ClockEchoes clockEchoes;
    std::unordered_map<std::string, Callers> callers;
    std::vector<Scheduler::ShardDispatcher> dispatchers;
    bool leaving { false };
    Telemetry::LogBudget logBudget;
    Telemetry::LogBudget placementLogBudget;
    Telemetry::LogBudget refusalLogBudget;
};

}
