#pragma once

#include <LibMembership/TargetReport.h>
#include <LibScheduler/JobLease.h>
#include <LibScheduler/Target/OrderAnswer.h>
#include <LibScheduler/Target/RunEvidence.h>
#include <LibScheduler/Target/RunTable.h>
#include <LibScheduler/Types.h>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Durations that govern the leases of runs on targets.
struct LeaseOptions {
    /// The longest lease requested from a target.
    Milliseconds maximumLease { 600 };
    /// The longest lease that dispatchers with other settings request.
    Milliseconds maximumLeaseOfOthers { 600 };
    /// How long a run may continue after the entry lease of its job was last extended. No lease on a target ends later, so that
    /// the run ends in time even if it cannot be stopped.
    Milliseconds maximumRunTimeAfterExtension { 1000 };
    /// The longest lease that a target grants. A process that has replaced the one that an order was meant for reads the end of
    /// the lease on another clock, and may grant this much.
    Milliseconds maximumGrantedLease { 1000 };
    /// How long a target may delay its answer to a hold order while no run ends.
    Milliseconds holdWait { 250 };
    /// How long the answer to a hold order may take in addition to `holdWait`.
    Milliseconds answerTimeout { 200 };
    /// The interval between attempts to claim a target that does not answer.
    Milliseconds claimRetryInterval { 400 };
    /// How long a discovered run may continue before the entry host of its job submits that job again; then the run is stopped.
    Milliseconds adoptionTimeout { 400 };
    /// How much slower the clock of a target may run than that of this host, in percent.
    int64_t clockDriftPercent { 2 };
};

/// Manages one incarnation of a target for one dispatcher: claims the target with a fencing token, renews the leases of its
/// runs, and reports a run as ended only when it can no longer be running. It performs no I/O.
///
/// A target has one lease for all of its runs. It is renewed only as long as every run on the target may continue: not beyond
/// `maximumRunTimeAfterExtension` of any of their jobs, and not while a run is there whose job is unknown.
///
/// No run is started before the target has answered a hold order under the current fencing token, because that answer lists
/// the runs that earlier dispatchers started.
class TargetSession {
public:
    using RunState = Scheduler::RunState;
    using Run = TargetRun;

    /// A change in the state of the target or of one of its runs.
    struct Event {
        enum class Kind {
            /// A run has ended, or will never start.
            Ended,
            /// The target reported a run that this session did not start.
            Discovered,
            /// The target gets no more runs, since it is said to have ended or moved; its runs are waited for.
            Retired,
            /// The target was retired, and all of its runs have ended.
            Gone,
            /// The target has stopped answering.
            Silent,
            /// The target answers under the current claim for the first time, or again after being silent.
            Answering,
            /// Another dispatcher has claimed the target with a higher fencing token.
            Fenced,
            /// A start order was not answered.
            StartUnanswered,
            /// The target lists a run as done that is not known here, or was taken as ended when its leases expired.
            FoundDone,
            /// A run whose start was never confirmed is running after the leases that were asked for have expired.
            FoundLate,
        };
        Kind kind { Kind::Ended };
        RunId run;
        /// How the run ended, if the target reported it.
        std::optional<RunEnd> end;
        /// Whether the target refused the run because its number was too low.
        bool staleNumber { false };
        /// The run time; zero if it is unknown.
        Milliseconds duration { 0 };
        /// For `Ended`.
        std::optional<RunEvidence> evidence;
        /// For `Retired`: how many runs are known, and the time until the latest lease ends.
        size_t openRuns { 0 };
        Milliseconds untilLeaseEnd { 0 };
        /// For `FoundLate`.
        Milliseconds sinceLeaseEnd { 0 };
    };

    /// The orders to send to the target.
    struct Orders {
        std::vector<HoldOrder> holds;
        std::vector<StartOrder> starts;
        std::vector<StopOrder> stops;
    };

    TargetSession(Membership::TargetReport, uint64_t fence, LeaseOptions, Instant now);

    /// Stores a report from the target's address, unless it is older than the current one. A target that was retired is used
    /// again. After a report of a later incarnation no run is started before a list has named the incarnation.
    void updateReport(const Membership::TargetReport&, Instant now);
    /// Claims the target again, with a higher fencing token or because the state recorded here may be outdated.
    void reclaim(uint64_t fence, Instant now);

    /// Whether runs may be started now: the target is claimed, serving and not ejected, its clock and the needs of all its runs
    /// are known, and it has answered a hold order since the last unanswered start order.
    [[nodiscard]] bool canStartRuns(Instant now) const;
    /// Whether a run of the job would get a lease of a sufficient length that ends before the run has to end. A lease that the
    /// target already has cannot be shortened.
    [[nodiscard]] bool canLease(const JobLease&, Instant now) const;
    [[nodiscard]] Catalog::Resources freeCapacity() const { return this->report.capacity.minus(this->used); }
    /// The number of runs of the job on this target.
    [[nodiscard]] uint32_t countRuns(const std::string& job) const { return this->countRuns(RunId { TaskId { job, 0, 0, 0 }, 0 }); }
    /// The same, given the lowest identifier that a run of the job may have.
    [[nodiscard]] uint32_t countRuns(const RunId& lowest) const;

    void start(const RunId&, const Catalog::Resources&, const std::string& payload, std::shared_ptr<const JobLease>, Instant now);
    void stop(const RunId&, Instant now);
    /// Assigns a discovered run to its task, with the needs of that task and the lease of its job.
    void adopt(const RunId&, const Catalog::Resources&, std::shared_ptr<const JobLease>, Instant now);

    void onHoldAnswer(uint64_t number, const HoldAnswer&, Instant now);
    void onStartAnswer(const RunId&, const OrderAnswer&, Instant now);
    void onStopAnswer(const RunId&, const OrderAnswer&, Instant now);
    /// Handles timeouts and expired leases, and sends the orders that are due.
    void tick(Instant now);

    /// Called when the target is said to have ended, or to be at another address. No run is started there any more and no lease is
    /// extended. The runs are kept until a list or the end of their leases proves that they have ended; then the session is gone.
    void retire(Instant now);

    [[nodiscard]] bool hasEvents() const { return !this->events.empty(); }
    [[nodiscard]] std::vector<Event> takeEvents();
    [[nodiscard]] bool hasOrders() const { return !this->orders.holds.empty() || !this->orders.starts.empty() || !this->orders.stops.empty(); }
    /// Takes the orders to send, with that many stop orders at most. The others stay for the next call.
    [[nodiscard]] Orders takeOrders(size_t maximumStops = std::numeric_limits<size_t>::max());

    [[nodiscard]] const Membership::TargetReport& target() const { return this->report; }
    [[nodiscard]] const std::map<RunId, Run>& runs() const { return this->knownRuns.all(); }
    [[nodiscard]] bool isClaimed() const { return this->phase == Phase::Claimed; }
    /// Whether the target has not answered consecutive hold orders.
    [[nodiscard]] bool isSilent() const;
    [[nodiscard]] bool isFenced() const { return this->phase == Phase::Fenced; }
    /// Whether all runs on the target are known, also those that other dispatchers have started.
    [[nodiscard]] bool knowsAllRuns() const { return this->phase == Phase::Claimed || (this->phase == Phase::Retired && this->hasRunList); }
    [[nodiscard]] bool isRetired() const { return this->phase == Phase::Retired; }
    [[nodiscard]] bool isGone() const { return this->phase == Phase::Gone; }

private:
    enum class Phase {
        /// The first answer under the current fencing token is pending.
        Claiming,
        Claimed,
        /// Another dispatcher has claimed the target.
        Fenced,
        /// The target gets no more runs; see retire().
        Retired,
        Gone,
    };

    /// A hold order that is not answered yet.
    struct OpenHold {
        uint64_t number { 0 };
        Instant sentAt {};
    };

    [[nodiscard]] TargetInstance instance() const;
    [[nodiscard]] Instant latestRunEnd(const JobLease&) const;
    [[nodiscard]] Instant permittedLeaseEnd(Instant now) const;
    [[nodiscard]] Instant leasesExpireAt() const;
    [[nodiscard]] Instant askedLeasesExpireAt() const;
    [[nodiscard]] int64_t grantLease(Instant now);
    void assumeUnknownLeases(Instant now);
    [[nodiscard]] Milliseconds allowingForDrift(Milliseconds duration) const { return duration * (100 + this->options.clockDriftPercent) / 100; }
    [[nodiscard]] bool needsHold() const;
    [[nodiscard]] bool haveLeasesExpired(Instant now) const;
    void sendHold(Instant now);
    void sendProbe(Instant now);
    void extendLeaseIfDue(Instant now);
    void stopUnsettledRuns(Instant now);
    [[nodiscard]] OpenHold makeHold(Milliseconds wait, Instant now);
    [[nodiscard]] bool mayApply(const RunList&) const;
    void applyHoldAnswer(const OpenHold&, const RunList&, Instant now);
    void onUnansweredHold(Instant now);
    void setNeeds(Run&, const Catalog::Resources&);
    void sendStop(const RunId&, Instant now);
    void addEvent(Event::Kind, const RunId& = {});
    [[nodiscard]] bool isFromEarlierProcess(const RunList&) const;
    void onRestart(const std::string& incarnation, Instant now);
    void onUnknownProcess(Instant now);
    void applyRunList(const RunList&, Instant sentAt, Instant now);
    void addDiscoveredRun(const RunId&, Instant now);
    void applyRunningRuns(const RunList&, Instant sentAt, Instant now);
    void reportIfFoundLate(const RunId&, Instant now);
    void finish(const RunId&, std::optional<RunEnd>, RunEndProof, Instant now, bool staleNumber = false);
    void tickRetired(Instant now);
    [[nodiscard]] Milliseconds untilLeaseEnd(Instant now) const;
    void finishAll(std::optional<RunEnd>, RunEndProof, Instant now);
    [[nodiscard]] RunEvidence evidence(const Run&, RunEndProof, Instant now) const;
    void onRefusal(OrderRefusal, Instant now);
    void observeClock(int64_t clock, Instant now);
    void eject(Milliseconds, Instant now);
    void countFailure(Instant now);

    Membership::TargetReport report;
    /// The report of a later incarnation that no list has named yet.
    std::optional<Membership::TargetReport> unconfirmedReport;
    LeaseOptions options;
    Phase phase { Phase::Claiming };
    uint64_t fence { 0 };
    RunTable knownRuns;
    Catalog::Resources used { 0, 0, 0 };
    /// The number of runs whose needs are unknown. No run is started while there are any, as it could overcommit the target.
    size_t runsWithUnknownNeeds { 0 };

    std::optional<OpenHold> openHold;
    /// A second hold order that the target is to answer immediately, sent while `openHold` may be waiting for a run to end.
    std::optional<OpenHold> openProbe;
    uint64_t nextHoldNumber { 1 };
    int unansweredHolds { 0 };
    Instant nextHold {};
    /// The highest sequence number of an ended run that the target reported, and the highest that a hold order acknowledged.
    uint64_t lastEndSeen { 0 };
    uint64_t lastEndAcknowledged { 0 };

    /// The last reading of the target's clock, in milliseconds, and when it was received.
    std::optional<int64_t> clock;
    Instant clockReadAt {};
    /// The latest end of any lease that the target may have granted to this session, on the target's clock in milliseconds.
    int64_t latestLeaseEnd { 0 };
    /// Whether the last order could not carry a lease of `maximumLease`.
    bool isLeaseLimited { false };
    /// When the leases that the target may have granted to other dispatchers have expired at the latest.
    Instant unknownLeasesEndAt {};
    /// The same, if the target read the ends of these leases on another clock.
    Instant unknownGrantsEndAt {};
    /// When the last order was sent that asked for a lease.
    Instant lastLeaseOrderAt {};
    /// Whether a list was received since the target was last claimed or retired.
    bool hasRunList { false };
    /// Whether a list of the target has named its incarnation, and how often the target has restarted since.
    bool isIncarnationConfirmed { false };
    uint32_t restarts { 0 };

    /// Whether a start order was not answered, and the target has not answered a hold order since.
    bool hasUnansweredStart { false };
    Instant ejectedUntil {};
    int consecutiveFailures { 0 };

    std::vector<Event> events;
    Orders orders;
    /// Whether stop orders were left by takeOrders().
    bool hasDeferredStops { false };
};

}
