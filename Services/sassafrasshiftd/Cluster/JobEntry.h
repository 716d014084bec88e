#pragma once

#include "Cluster/ClusterContext.h"
#include "Cluster/RouteKeeper.h"
#include <LibScheduler/Types.h>
#include <LibTransport/HttpServer.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sassafrasshift::Daemon {

/// Takes jobs from callers, has the dispatcher run them, and answers the callers.
class JobEntry {
public:
    JobEntry(ClusterContext&, RouteKeeper&);

    void handle(const std::shared_ptr<Transport::HttpExchange>&);
    void onMessage(const std::string& from, const Scheduler::JobOutcome&);
    void onMessage(const std::string& from, const RenewAnswer&);
    void tick(Instant now);

    /// Whether new callers may be sent here.
    [[nodiscard]] bool isReady() const;
    void startLeaving() { this->leaving = true; }
    [[nodiscard]] size_t openJobs() const { return this->jobs.size(); }

private:
    struct Job {
        Scheduler::Submission submission;
        std::vector<std::shared_ptr<Transport::HttpExchange>> callers;
        Instant arrivedAt {};
        Instant deadline {};
        Instant objective {};
        uint64_t routesVersion { 0 };
        /// The dispatcher that the job was handed to last; empty for none.
        std::string dispatcher;
        /// How often it was handed to a dispatcher.
        uint32_t submissions { 0 };
    };

    struct ParsedRequest {
        const Catalog::Route* route { nullptr };
        std::string job;
    };

    void submit(const std::shared_ptr<Transport::HttpExchange>&, const ParsedRequest&);
    void describe(const std::shared_ptr<Transport::HttpExchange>&, const ParsedRequest&);
    void cancel(const std::shared_ptr<Transport::HttpExchange>&, const ParsedRequest&);
    void join(Job&, const std::shared_ptr<Transport::HttpExchange>&);
    void onAbandoned(const std::string& job);
    void handOver(Job&, Instant now);
    void followDispatcher(Instant now);
    void renew(Instant now);
    void expire(Instant now);
    void answerAll(Job&, int status, const std::string& body, Milliseconds retryAfter, std::string_view outcome, std::string_view reason);
    void withdraw(const Job&);

    ClusterContext& context;
    RouteKeeper& routes;
    std::unordered_map<std::string, Job> jobs;
    std::string dispatcher;
    /// When the present and the former dispatcher were last heard.
    Instant dispatcherHeard {};
    Instant formerHeard {};
    Instant nextRenewal {};
    bool leaving { false };
};

}
