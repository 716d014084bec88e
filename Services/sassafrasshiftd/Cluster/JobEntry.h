#pragma once

#include "Cluster/ClusterContext.h"
#include "Cluster/RouteKeeper.h"
#include <LibScheduler/JobOwner.h>
#include <LibTransport/HttpServer.h>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sassafrasshift::Daemon {

/// Takes jobs from callers, has dispatchers run them, and answers the callers.
class JobEntry {
public:
    JobEntry(ClusterContext&, RouteKeeper&);

    void handle(const std::shared_ptr<Transport::HttpExchange>&);
    void onMessage(const std::string& from, const Scheduler::JobOutcome&);
    void onMessage(const std::string& from, const RenewAnswer&);
    void tick(Instant now);
    /// This process stood still for some time.
    void onPause(Instant now);

    /// Whether new callers may be sent here.
    [[nodiscard]] bool isReady() const;
    void startLeaving() { this->leaving = true; }
    [[nodiscard]] size_t openJobs() const { return this->owner.openJobs(); }

private:
    /// Those who wait for a job's answer, and what the log says of it.
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

    void submit(const std::shared_ptr<Transport::HttpExchange>&, const ParsedRequest&);
    void answerStatus(const std::shared_ptr<Transport::HttpExchange>&, const ParsedRequest&);
    void cancel(const std::shared_ptr<Transport::HttpExchange>&, const ParsedRequest&);
    void addCaller(const std::string& job, const std::shared_ptr<Transport::HttpExchange>&);
    void onAbandoned(const std::string& job);
    void updateDispatchers(Instant now);
    void carryOut();
    void suspect(const std::string& dispatcher);
    void answerAll(const Scheduler::JobOwner::Answer&);
    void answerAll(const Scheduler::JobOwner::Answer&, int status, const std::string& body, std::string_view outcome);

    ClusterContext& context;
    RouteKeeper& routes;
    Scheduler::JobOwner owner;
    std::unordered_map<std::string, Callers> callers;
    std::vector<Scheduler::ShardDispatcher> dispatchers;
    bool leaving { false };
};

}
