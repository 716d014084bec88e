#pragma once

#include "ConfigurationStore.h"
#include "Context.h"
#include "GrantClient.h"
#include "JobApi.h"
#include "LedgerService.h"
#include <LibDispatch/JobRunner.h>
#include <LibTransport/HttpServer.h>
#include <map>
#include <memory>
#include <set>

namespace Sassafrasshift::Daemon {

/// Accepts jobs, runs those that this host owns, and responds to their callers.
class JobService {
public:
    JobService(Context&, ConfigurationStore&, GrantClient&, LedgerService&);

    /// Handles a request for /v1/jobs/KEY.
    void handle(const std::shared_ptr<Transport::HttpExchange>&);

    void onMessage(const std::string& from, const AdoptJob&);
    void onMessage(const std::string& from, const CancelNotice&);
    void tick();

    [[nodiscard]] size_t ownedJobs() const { return this->jobs.size(); }

private:
    /// An HTTP exchange that gets its response when the job reaches a certain state.
    struct Waiter {
        std::shared_ptr<Transport::HttpExchange> exchange;
        /// Whether the response is sent as soon as the job is accepted, instead of when it has finished.
        bool acceptanceOnly { false };
    };

    /// The open HTTP calls to the worker of a task's current attempt.
    struct AttemptCalls {
        std::unique_ptr<Transport::HttpCall> execution;
        std::unique_ptr<Transport::HttpCall> statusQuery;
    };

    struct Job {
        std::string key;
        uint64_t contentHash { 0 };
        /// When the caller created the key, in milliseconds since the Unix epoch.
        int64_t createdAt { 0 };
        /// When this host received the submission, in milliseconds since the Unix epoch; for an adopted job, when it was accepted.
        int64_t arrivedAt { 0 };
        std::unique_ptr<Dispatch::JobRunner> runner;
        std::vector<Waiter> waiters;
        std::vector<uint64_t> grantRequests;
        /// By task.
        std::map<uint32_t, AttemptCalls> calls;
        bool flushScheduled { false };
        std::unique_ptr<Transport::Timer> flushTimer;
        /// When this process received or adopted the job, on the monotonic clock.
        Instant arrivalInstant {};
    };

    using JobPointer = std::shared_ptr<Job>;

    void submit(const std::string& key, const std::shared_ptr<Transport::HttpExchange>&);
    void read(const std::string& key, const std::shared_ptr<Transport::HttpExchange>&);
    void cancel(const std::string& key, const std::shared_ptr<Transport::HttpExchange>&);
    void startJob(const std::string& key, const JobSubmission&, Waiter);

    /// Executes the runner's commands until none are left, and removes the job if its runner is done.
    void executeCommands(const JobPointer&);
    /// Flushes the runner once in the next iteration of the event loop.
    void scheduleFlush(const JobPointer&);
    void execute(const JobPointer&, const Dispatch::RequestGrants&);
    void execute(const JobPointer&, const Dispatch::WithdrawGrantRequests&);
    void execute(const JobPointer&, const Dispatch::ReleaseGrant&);
    void execute(const JobPointer&, const Dispatch::ProposeAcceptance&);
    void execute(const JobPointer&, const Dispatch::ProposeRefusal&);
    void execute(const JobPointer&, const Dispatch::ProposeIntents&);
    void execute(const JobPointer&, const Dispatch::ProposeOutcome&);
    void execute(const JobPointer&, const Dispatch::SendTask&);
    void execute(const JobPointer&, const Dispatch::ResolveAttempt&);
    void execute(const JobPointer&, const Dispatch::StopTask&);
    void execute(const JobPointer&, const Dispatch::AnswerJob&);
    void execute(const JobPointer&, const Dispatch::RefuseSubmission&);
    void execute(const JobPointer&, const Dispatch::FollowOwner&);

    using UpdateHandler = std::function<void(const ErrorOr<DurableState::JobUpdateResult>&)>;
    void proposeUpdate(const JobPointer&, const DurableState::Command&, UpdateHandler);
    void onTaskResponse(const JobPointer&, const DurableState::Intent&, const ErrorOr<Transport::HttpResponse>&);
    /// Responds to waiters from the ledger's record of a job that this host does not run.
    void awaitLedgerResponse(const std::string& key, std::vector<Waiter>);
    void onQueryResponse(const std::string& key, const JobQueryResponse&);
    void respondToWaiters(std::vector<Waiter>&, const Transport::HttpResponse&);
    /// Responds to the waiters that wait only for the acceptance of the job.
    void respondOnAcceptance(Job&);
    void removeJob(const JobPointer&);
    /// Reports the accepted jobs that this host runs to the leader of the ledger.
    void reportHeldJobs();

    Context& context;
    ConfigurationStore& configuration;
    GrantClient& grants;
    LedgerService& ledger;
    std::map<std::string, JobPointer> jobs;
    /// Waiters for jobs that this host does not run, by job key.
    std::map<std::string, std::vector<Waiter>> ledgerWaiters;
    Instant nextReport {};
};

}
