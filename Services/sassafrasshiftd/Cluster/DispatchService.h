#pragma once

#include "Cluster/ClusterContext.h"
#include "Cluster/DispatchAdmission.h"
#include "Cluster/OrderSender.h"
#include <LibScheduler/Dispatcher/EntryInbox.h>
#include <LibScheduler/Dispatcher/HostSurvey.h>
#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <LibTelemetry/LogBudget.h>

namespace Sassafrasshift::Daemon {

/// Runs the scheduler while this member is the dispatcher of a shard.
class DispatchService {
public:
    DispatchService(ClusterContext&, Transport::HttpClient&);

    void onMessage(const std::string& from, const Scheduler::Submission&);
    void onMessage(const std::string& from, const RelayedRequest&);
    void onMessage(const std::string& from, const CancelSubmission&);
    void onMessage(const std::string& from, const Scheduler::RenewSubmissions&);
    void onMessage(const std::string& from, const ReportNotice&);
    void onMessage(const std::string& from, const TargetGone&);
    void onMessage(const std::string& from, const TargetListResponse&);
    void onMessage(const std::string& from, const Scheduler::PlacedJobsRequest&);
    void onMessage(const std::string& from, const Scheduler::PlacedJobsResponse&);
    void onMessage(const std::string& from, const Scheduler::RelayedAnswers&);
    /// Records the transit time of a message that every member sends, so that the first submission of an entry host can be compared
    /// with earlier messages.
    void observeTransitTime(const std::string& from, const Gossip&);
    /// Null if they are not known yet.
    void setEvacuatedDomains(const std::set<std::string>* domains) { this->scheduler.setEvacuatedDomains(domains); }
    void tick(Instant now);
    /// Records a timer of the event loop that was due at a time.
    void observeTick(Instant dueAt, Instant now) { this->admission.onTick(dueAt, this->scheduler.isActive(), now); }
    /// To be called after a pause of this process.
    void onPause(Instant now);

    [[nodiscard]] const Scheduler::TaskScheduler& taskScheduler() const { return this->scheduler; }

private:
    /// Activates or deactivates the scheduler when this member's claim or shard has changed.
    void applyClaim(Instant now);
    /// Records the excess transit time of the last message of an entry host, and counts a message that was ignored.
    void observeTransit(std::string_view metric, const std::string& from, bool isOnTime);
    /// Returns whether another line may be written now, and counts the line if not.
    [[nodiscard]] bool mayLog();
    /// Passes the request of an entry host that does not reach the home of its jobs on to it.
    void relay(const std::string& from, const Scheduler::Submission&);
    /// Raises this member's epoch if targets reject its fencing token.
    void raiseEpochIfFenced(Instant now);
    void continueSurvey(Instant now);
    [[nodiscard]] OrderSender::AnswerHandlers makeAnswerHandlers();
    /// Sends the orders and messages that the scheduler has produced, and logs its decisions.
    void executeEffects();
    void countShares();
    void countInterference(Instant now);
    void logStateIfDue(Instant now);
    void logDecision(const Scheduler::Decision&);
    void logHomeEvent(const Scheduler::HomeEvent&);
    /// Executes the effects once, in the next iteration of the event loop, or some time after the last execution where orders are relayed.
    void scheduleEffects();
    void updateContacts(const std::vector<const Membership::MemberRecord*>& dispatchers, Instant now);
    void updateHome(Instant now);
    [[nodiscard]] bool isOutranked() const;

    ClusterContext& context;
    OrderSender orders;
    Scheduler::TaskScheduler scheduler;
    Scheduler::EntryInbox inbox;
    Scheduler::JobHome home;
    DispatchAdmission admission;
    Scheduler::HostSurvey survey;
    /// The epoch in which the scheduler is active; zero while it is not.
    uint64_t activeEpoch { 0 };
    std::string activeShard;
    /// Since when the scheduler has been active without a break.
    Instant activeSince {};
    Instant nextEpochRaise {};
    Instant nextStateLog {};
    /// The labels of the pairs in the gauges for interference.
    std::vector<std::string> interferenceLabels;
    Telemetry::LogBudget logBudget;
    /// How far the epoch is raised next. It doubles with each raise while targets stay fenced.
    uint64_t epochRaiseStep { 1 };
    bool effectsScheduled { false };
    std::unique_ptr<Transport::Timer> passTimer;
    Instant nextPass {};
};

}
