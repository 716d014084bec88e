#pragma once

#include <LibMembership/TargetReport.h>
#include <LibScheduler/OrderAnswer.h>
#include <LibScheduler/Types.h>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// The times of the leases on targets.
struct LeaseOptions {
    /// The longest lease that is asked of a target.
    Milliseconds maximumLease { 600 };
    /// How long a target may wait with the answer to a hold.
    Milliseconds holdWait { 250 };
    /// How long an answer may take beyond that.
    Milliseconds answerTimeout { 200 };
    /// Between two attempts to reach a target that does not answer.
    Milliseconds claimRetryInterval { 400 };
    /// How long a run of unknown origin is left for its entry to name its job again.
    Milliseconds adoptionTimeout { 400 };
    /// How much slower the clock of a target may run, in hundredths.
    int64_t clockDriftPercent { 2 };
};

/// What one dispatcher knows and does of one incarnation of a target: it claims the target by a fencing token, renews
/// the leases of the runs there, and proves their ends. It does no input or output.
///
/// Nothing is started before the target has answered a hold under the token in force, so that whatever an earlier
/// dispatcher started is known by then.
class TargetSession {
public:
    enum class RunState {
        /// The order to start was sent.
        Starting,
        Running,
        /// The order to start got no answer: it may be running, or may still start.
        Uncertain,
        Stopping,
        /// Found there, and of no job that is known here.
        Unadopted,
    };

    struct Run {
        RunState state { RunState::Starting };
        Catalog::Needs needs;
        /// Whether `needs` says what the run occupies; it does not for a run of unknown origin.
        bool needsKnown { true };
        Instant discoveredAt {};
        Instant startedAt {};
        /// When the target last said that it was going on.
        Instant lastReportedRunningAt {};
        /// When the target confirmed that the run cannot start any more, or is being stopped.
        std::optional<Instant> stopConfirmedAt;
        std::optional<Instant> stopSentAt;
    };

    /// What happened on the target.
    struct Event {
        enum class Kind {
            /// The run has ended, or will never start.
            Ended,
            /// A run that this session did not start is going on.
            Discovered,
            /// The incarnation is gone with everything that ran there.
            Gone,
            /// The target has stopped answering.
            Silent,
            /// The target answers, for the first time or again.
            Answering,
            /// Another dispatcher holds the target under a higher token.
            Fenced,
            /// An order to start got no answer.
            StartUnanswered,
        };
        Kind kind { Kind::Ended };
        RunId run;
        /// How the run ended, where the target said so.
        std::optional<RunEnd> end;
        /// Whether the run's number was too low for the target.
        bool staleNumber { false };
        /// Zero where it is not known how long the run went on.
        Milliseconds duration { 0 };
    };

    struct Orders {
        std::vector<HoldOrder> holds;
        std::vector<StartOrder> starts;
        std::vector<StopOrder> stops;
    };

    TargetSession(Membership::TargetReport, uint64_t fence, LeaseOptions, Instant now);

    /// Takes in a report of the same incarnation.
    void updateReport(const Membership::TargetReport&);
    /// Claims the target anew, under a higher token or after this process stood still.
    void reclaim(uint64_t fence, Instant now);

    /// Whether the target is claimed, serves, is sound, and what runs there is all known.
    [[nodiscard]] bool canStartRuns(Instant now) const;
    [[nodiscard]] Catalog::Needs freeCapacity() const { return this->report.capacity.minus(this->used); }
    /// Runs whose task belongs to a job.
    [[nodiscard]] uint32_t countRuns(const std::string& job) const;

    void start(const RunId&, const Catalog::Needs&, const std::string& payload, Instant now);
    void stop(const RunId&, Instant now);
    /// Takes over a run that was found.
    void adopt(const RunId&, const Catalog::Needs&);

    void onHoldAnswer(uint64_t number, const HoldAnswer&, Instant now);
    void onStartAnswer(const RunId&, const OrderAnswer&, Instant now);
    void onStopAnswer(const RunId&, const OrderAnswer&, Instant now);
    void tick(Instant now);

    /// The target ended, or another incarnation took its place.
    void end();

    [[nodiscard]] std::vector<Event> takeEvents();
    [[nodiscard]] bool hasOrders() const { return !this->orders.holds.empty() || !this->orders.starts.empty() || !this->orders.stops.empty(); }
    [[nodiscard]] Orders takeOrders();

    [[nodiscard]] const Membership::TargetReport& target() const { return this->report; }
    [[nodiscard]] const std::map<RunId, Run>& runs() const { return this->knownRuns; }
    [[nodiscard]] bool isClaimed() const { return this->phase == Phase::Claimed; }
    [[nodiscard]] bool isFenced() const { return this->phase == Phase::Fenced; }
    [[nodiscard]] bool isGone() const { return this->phase == Phase::Gone; }

private:
    enum class Phase {
        /// The first answer under the token in force is waited for.
        Claiming,
        Claimed,
        /// Another dispatcher holds the target.
        Fenced,
        Gone,
    };

    /// A hold that is not answered yet.
    struct OpenHold {
        uint64_t number { 0 };
        Instant sentAt {};
    };

    [[nodiscard]] TargetInstance instance() const;
    [[nodiscard]] int64_t leaseEnd(Instant now);
    void assumeUnknownLeases(Instant now);
    [[nodiscard]] bool needsHold() const;
    [[nodiscard]] bool leasesLapsed(Instant now) const;
    void sendHold(Instant now);
    void sendProbe(Instant now);
    [[nodiscard]] OpenHold makeHold(Milliseconds wait, Instant now);
    void applyHoldAnswer(const OpenHold&, const RunList&, Instant now);
    void onUnansweredHold(Instant now);
    void setNeeds(Run&, const Catalog::Needs&);
    void sendStop(const RunId&, Run&, Instant now);
    void addEvent(Event::Kind, const RunId& = {});
    void onRestart(const std::string& incarnation);
    void applyRunList(const RunList&, Instant sentAt, Instant now);
    void applyRunning(const RunList&, Instant sentAt, Instant now);
    void finish(std::map<RunId, Run>::iterator, std::optional<RunEnd>, Instant now, bool staleNumber = false);
    void finishAll(std::optional<RunEnd>, Instant now);
    void onRefusal(OrderRefusal, Instant now);
    void observeClock(int64_t clock, Instant now);
    void eject(Milliseconds, Instant now);
    void countFailure(Instant now);

    Membership::TargetReport report;
    LeaseOptions options;
    Phase phase { Phase::Claiming };
    uint64_t fence { 0 };
    std::map<RunId, Run> knownRuns;
    Catalog::Needs used { 0, 0, 0 };
    /// Runs that occupy nobody knows how much: nothing is started beside them.
    size_t runsWithUnknownNeeds { 0 };

    std::optional<OpenHold> openHold;
    /// One that was sent beside it, to be answered at once.
    std::optional<OpenHold> openProbe;
    uint64_t nextHoldNumber { 1 };
    int unansweredHolds { 0 };
    Instant nextHold {};
    uint64_t lastEndSeen { 0 };
    uint64_t lastEndAcknowledged { 0 };

    /// The target's clock and when it was read here.
    std::optional<int64_t> clock;
    Instant clockReadAt {};
    /// The latest end of a lease that the target may have granted, on its clock.
    int64_t latestLeaseEnd { 0 };
    /// Where the clock was not known, leases may have been granted up to here.
    Instant unknownLeasesEndAt {};

    /// Whether an order to start got no answer, and nothing has been heard since.
    bool hasUnansweredStart { false };
    Instant ejectedUntil {};
    int consecutiveFailures { 0 };

    std::vector<Event> events;
    Orders orders;
};

}
