#pragma once

#include <LibBase/Verify.h>
#include <LibCatalog/Objects.h>
#include <LibScheduler/JobLease.h>
#include <LibScheduler/Target/StallDetector.h>
#include <LibScheduler/Types.h>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace Sassafrasshift::Scheduler {

enum class RunState {
    /// The start order was sent.
    Starting,
    Running,
    /// The start order was not answered: the run may be running, or may still start.
    Uncertain,
    Stopping,
    /// The target reported the run, but it is not assigned to a task of a known job.
    Unadopted,
};

/// The state of one run on a target.
struct TargetRun {
    RunState state { RunState::Starting };
    Catalog::Resources needs;
    /// The lease of the job; null until a discovered run is adopted.
    std::shared_ptr<const JobLease> jobLease;
    /// Whether `needs` is known; it is unknown until a discovered run is adopted.
    bool needsKnown { true };
    /// When the start order was sent, or when the target first reported a run that this session did not start.
    Instant discoveredAt {};
    /// When the target confirmed the start order; unset if it has not.
    Instant startedAt {};
    /// When it was first known that the run had started, from the answer to the start order or from a list.
    std::optional<Instant> knownStartedAt;
    /// When the target last reported that the run was running.
    Instant lastReportedRunningAt {};
    StallDetector progress;
    /// When the target confirmed the stop order: the run cannot start any more, or is being stopped.
    std::optional<Instant> stopConfirmedAt;
    std::optional<Instant> stopSentAt;
    /// When the first stop order for the run was sent, and how many have been sent.
    std::optional<Instant> firstStopSentAt;
    uint32_t stopOrders { 0 };
    /// How many restarts of the target were known when the start order was sent.
    uint32_t restartsBeforeStart { 0 };

    /// Whether the lease on the target may be extended for this run, as far as its job permits.
    [[nodiscard]] bool mayBeExtended() const { return this->jobLease && this->state != RunState::Stopping; }
    /// Whether a stop order that was sent for the run has not been confirmed.
    [[nodiscard]] bool awaitsStop() const { return (this->state == RunState::Stopping || this->state == RunState::Uncertain) && !this->stopConfirmedAt; }
};

/// The runs on one target, with what is asked of them as a whole at each start and answer, so that none of these walks over all runs.
class RunTable {
public:
    using Runs = std::map<RunId, TargetRun>;

    [[nodiscard]] const Runs& all() const { return this->runs; }
    [[nodiscard]] bool isEmpty() const { return this->runs.empty(); }
    [[nodiscard]] size_t size() const { return this->runs.size(); }
    /// Null if there is no such run.
    [[nodiscard]] const TargetRun* find(const RunId&) const;

    /// Adds a run that is not in the table.
    void add(const RunId&, TargetRun);
    void remove(const RunId&);
    /// Calls a function with a run that is in the table, to change it.
    template <typename Change>
    void change(const RunId& id, const Change& change)
    {
        auto position = this->runs.find(id);
        VERIFY(position != this->runs.end());
        auto& run = position->second;
        auto before = IndexedState::of(run);
        change(run);
        auto after = IndexedState::of(run);
        if (after == before)
            return;
        this->removeFromIndexes(id, before);
        this->addToIndexes(id, after);
    }

    /// Whether there is a run for which the lease may not be extended.
    [[nodiscard]] bool forbidsExtension() const { return this->unextendableRuns > 0; }
    /// The leases of the jobs of the other runs, each once, with the number of its runs.
    [[nodiscard]] const std::map<std::shared_ptr<const JobLease>, size_t>& jobLeases() const { return this->runsByLease; }
    /// Whether there is a run that is not known to have started.
    [[nodiscard]] bool hasUnconfirmedStart() const { return this->unconfirmedStarts > 0; }
    /// The runs that are not adopted, and those whose stop is not confirmed.
    [[nodiscard]] const std::set<RunId>& unsettled() const { return this->unsettledRuns; }

private:
    // What the indexes know of a run.
    struct IndexedState {
        /// The lease that the run may extend; null if it may extend none.
        std::shared_ptr<const JobLease> lease;
        bool isStartUnconfirmed { false };
        bool isUnsettled { false };

        static IndexedState of(const TargetRun&);
        friend bool operator==(const IndexedState&, const IndexedState&) = default;
    };

    void addToIndexes(const RunId&, const IndexedState&);
    void removeFromIndexes(const RunId&, const IndexedState&);

    Runs runs;
    std::map<std::shared_ptr<const JobLease>, size_t> runsByLease;
    size_t unextendableRuns { 0 };
    size_t unconfirmedStarts { 0 };
    std::set<RunId> unsettledRuns;
};

}
