#pragma once

#include <LibDispatch/Types.h>
#include <LibMembership/TargetReport.h>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sassafrasshift::Dispatch {

/// The targets of one pool in one failure domain, with their leases, free capacity, estimated speed and health.
///
/// All of this is soft state: it is rebuilt from the announcements of the targets, and no guarantee given to a caller
/// depends on it.
class TargetPool {
public:
    struct Limits {
        /// A target that has not announced itself for this long is removed.
        Milliseconds lease { 2000 };
        /// Number of consecutive failures after which a target is ejected, that is, gets no work for some time (outlier
        /// ejection).
        uint32_t ejectionThreshold { 3 };
        /// The duration of the first ejection. It doubles with each further ejection until the target succeeds.
        Milliseconds baseEjectionTime { 5000 };
        Milliseconds maximumEjectionTime { 300'000 };
        /// The share of the targets that may be ejected at the same time; one target always may be.
        double maximumEjectedShare { 0.3 };
    };

    struct Target {
        Membership::TargetReport report;
        Instant leaseUntil {};
        Catalog::Resources inUse { 0, 0, 0 };
        uint32_t grants { 0 };
        /// Run time relative to that of a reference target; larger is slower.
        double slowness { 1 };
        uint32_t samples { 0 };
        /// The bucket of the estimated slowness; the estimate is lowered while the target has few samples.
        int bucket { 0 };
        bool isCandidate { false };
        /// The value of useCounter at the last grant. The least recently used candidate of a bucket comes first.
        uint64_t lastUseSequence { 0 };
        uint32_t consecutiveFailures { 0 };
        /// Successes since the target was added to the pool. A target without any gets only a few grants at a time.
        uint64_t successes { 0 };
        bool ejected { false };
        /// Set when an ejection ends. The target then gets one grant at a time until it succeeds, and is ejected again if it
        /// fails.
        bool onProbation { false };
        Instant ejectedUntil {};
        /// Ejections since the last success.
        uint32_t ejections { 0 };
    };

    explicit TargetPool(Limits);

    /// Adds or updates a target and renews its lease. A report with a new incarnation replaces the target.
    void updateTarget(const Membership::TargetReport&, Instant now);

    /// Removes targets whose lease has expired and puts targets whose ejection has ended on probation.
    void tick(Instant now);

    /// Returns the fastest target that has enough free capacity and is not excluded, or null if there is none. Also returns
    /// null if the request is expected to finish sooner by waiting for a faster target, given that `waiting` other grants
    /// are queued.
    [[nodiscard]] Target* choose(const Catalog::Resources&, const std::vector<std::string>& excluded, size_t waiting);

    /// Reserves resources on a target for one grant.
    void reserve(Target&, const Catalog::Resources&);
    /// Ends a reservation and updates the health and speed of the target. Ignored if the target has gone or restarted.
    void release(const std::string& identity, const std::string& incarnation, const Catalog::Resources&, const std::string& kind, const Release&, Instant now);

    [[nodiscard]] Target* find(const std::string& identity);

    /// Returns whether the whole capacity of any live target meets these needs, regardless of its current load.
    [[nodiscard]] bool canAnyTargetRun(const Catalog::Resources&) const;
    [[nodiscard]] bool hasTargets() const { return !this->targets.empty(); }
    /// Returns the number of free one-core slots that are worth using while no request waits, up to a fixed maximum.
    [[nodiscard]] uint32_t usefulFreeSlots() const;
    [[nodiscard]] size_t targetCount() const { return this->targets.size(); }
    [[nodiscard]] size_t ejectedCount() const { return this->ejectedTargets; }

    /// Returns the expected wait of a request that has `ahead` grants queued before it. The result is zero while the run
    /// times of this kind are unknown or no target accepts work.
    [[nodiscard]] Milliseconds expectedWait(size_t ahead, const std::string& kind) const;

    [[nodiscard]] const std::map<std::string, std::unique_ptr<Target>>& allTargets() const { return this->targets; }

private:
    /// Covers the range of slowness from 1/40 to 40 with buckets of 4 %.
    static constexpr int bucketCount = 192;

    struct CandidateKey {
        int bucket;
        uint64_t lastUseSequence;
        Target* target;

        friend auto operator<=>(const CandidateKey&, const CandidateKey&) = default;
    };

    struct KindStatistics {
        /// Mean run time in microseconds on a reference target.
        double mean { 0 };
        uint64_t samples { 0 };
    };

    /// Adds a target to the candidates if it may get another grant. The target must not be a candidate already.
    void addCandidateIfEligible(Target&);
    void removeCandidate(Target&);
    /// Adds the capacity of a target to the sums, or subtracts it if `sign` is -1.
    void addCapacity(const Target&, double sign);
    [[nodiscard]] bool acceptsWork(const Target&) const;
    /// Returns whether the whole capacity of every target meets these needs.
    [[nodiscard]] bool fitsEveryTarget(const Catalog::Resources&) const;
    /// Returns whether a request should use a target of this bucket now, instead of waiting for a faster one.
    [[nodiscard]] bool isWorthUsing(int bucket, size_t waiting) const;
    void updateSpeedEstimate(Target&, const std::string& kind, double microseconds);
    void recordFailure(Target&, Instant now);
    void recordSuccess(Target&);
    void eject(Target&, Instant now);
    void remove(std::map<std::string, std::unique_ptr<Target>>::iterator);

    Limits limits;
    std::map<std::string, std::unique_ptr<Target>> targets;
    // The targets that may get a grant, from the fastest to the slowest.
    std::set<CandidateKey> candidates;
    std::unordered_map<std::string, KindStatistics> statisticsByKind;
    // Sums by slowness bucket over the targets that accept work: their cores, and their cores divided by their slowness.
    std::array<double, bucketCount> coresByBucket {};
    std::array<double, bucketCount> rateByBucket {};
    // The number of targets with each capacity.
    std::map<Catalog::Resources, uint32_t> targetsByCapacity;
    size_t ejectedTargets { 0 };
    uint64_t useCounter { 0 };
    double totalRate { 0 };
};

}
