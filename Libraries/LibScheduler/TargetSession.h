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
    Milliseconds claimRetry { 400 };
    /// How long a run of unknown origin is left for its entry to name its job again.
    Milliseconds adoptionWait { 400 };
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
        Foreign,
    };

    struct Run {
        RunState state { RunState::Starting };
        Catalog::Resources needs;
        /// Whether `needs` says what the run occupies; it does not for a run of unknown origin.
        bool needsKnown { true };
        Instant since {};
        Instant startedAt {};
        /// When the target last said that it was going on.
        Instant seenAt {};
        /// When the target confirmed that the run cannot start any more, or is being stopped.
        std::optional<Instant> stopConfirmed;
        std::optional<Instant> stopSentAt;
    };

    /// What happened on the target.
    struct Event {
        enum class Kind {
            /// The run has ended, or will never start.
            Over,
            /// A run that this session did not start is going on.
            Found,
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
        Kind kind { Kind::Over };
        RunName run;
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
    [[nodiscard]] bool mayStart(Instant now) const;
    [[nodiscard]] Catalog::Resources freeRoom() const { return this->report.capacity.minus(this->used); }
    /// Runs whose task belongs to a job.
    [[nodiscard]] uint32_t runsOf(const std::string& job) const;

    void start(const RunName&, const Catalog::Resources&, const std::string& payload, Instant now);
    void stop(const RunName&, Instant now);
    /// Takes over a run that was found.
    void adopt(const RunName&, const Catalog::Resources&);

    void onHoldAnswer(uint64_t number, const HoldAnswer&, Instant now);
    void onStartAnswer(const RunName&, const OrderAnswer&, Instant now);
    void onStopAnswer(const RunName&, const OrderAnswer&, Instant now);
    void tick(Instant now);

    /// The target ended, or another incarnation took its place.
    void end();

    [[nodiscard]] std::vector<Event> takeEvents();
    [[nodiscard]] bool hasOrders() const { return !this->orders.holds.empty() || !this->orders.starts.empty() || !this->orders.stops.empty(); }
    [[nodiscard]] Orders takeOrders();

    [[nodiscard]] const Membership::TargetReport& target() const { return this->report; }
    [[nodiscard]] const std::map<RunName, Run>& runs() const { return this->knownRuns; }
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

    [[nodiscard]] TargetPlace place() const;
    [[nodiscard]] int64_t leaseEnd(Instant now);
    void expectUnknownLeases(Instant now);
    [[nodiscard]] bool needsHold() const;
    [[nodiscard]] bool leasesLapsed(Instant now) const;
    void sendHold(Instant now);
    void sendProbe(Instant now);
    [[nodiscard]] OpenHold makeHold(Milliseconds wait, Instant now);
    void takeInAnswer(const OpenHold&, const RunList&, Instant now);
    void onUnansweredHold(Instant now);
    void learnNeeds(Run&, const Catalog::Resources&);
    void sendStop(const RunName&, Run&, Instant now);
    void noteEvent(Event::Kind, const RunName& = {});
    void onRestart(const std::string& incarnation);
    void takeIn(const RunList&, Instant sentAt, Instant now);
    void takeInRunning(const RunList&, Instant sentAt, Instant now);
    void finish(std::map<RunName, Run>::iterator, std::optional<RunEnd>, Instant now, bool staleNumber = false);
    void finishAll(std::optional<RunEnd>, Instant now);
    void onRefusal(OrderRefusal, Instant now);
    void observeClock(int64_t clock, Instant now);
    void setAside(Milliseconds, Instant now);
    void countFailure(Instant now);

    Membership::TargetReport report;
    LeaseOptions options;
    Phase phase { Phase::Claiming };
    uint64_t fence { 0 };
    std::map<RunName, Run> knownRuns;
    Catalog::Resources used { 0, 0, 0 };
    /// Runs that occupy nobody knows how much: nothing is started beside them.
    size_t unknownNeeds { 0 };

    std::optional<OpenHold> openHold;
    /// One that was sent beside it, to be answered at once.
    std::optional<OpenHold> openProbe;
    uint64_t nextNumber { 1 };
    int unansweredHolds { 0 };
    Instant nextHold {};
    uint64_t lastEndSeen { 0 };
    uint64_t lastEndReported { 0 };

    /// The target's clock and when it was read here.
    std::optional<int64_t> clock;
    Instant clockReadAt {};
    /// The latest end of a lease that the target may have granted, on its clock.
    int64_t latestLeaseEnd { 0 };
    /// Where the clock was not known, leases may have been granted up to here.
    Instant leasesUnknownUntil {};

    /// Whether an order to start got no answer, and nothing has been heard since.
    bool isSuspect { false };
    Instant setAsideUntil {};
    int consecutiveFailures { 0 };

    std::vector<Event> events;
    Orders orders;
};

}
