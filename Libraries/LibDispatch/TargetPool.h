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

/// The targets of one pool in one failure domain: their leases, their free capacity, their learnt speed and health.
///
/// All of it is soft state: it is rebuilt from announcements, and no promise to a caller rests on it.
class TargetPool {
public:
    struct Limits {
        Milliseconds lease { 2000 };
        /// Consecutive failures after which a target is set aside.
        uint32_t failuresUntilEjection { 3 };
        Milliseconds firstEjection { 5000 };
        Milliseconds longestEjection { 300'000 };
        /// The share of the targets that may be set aside at once; one always may.
        double largestEjectedShare { 0.3 };
    };

    struct Target {
        Membership::TargetReport report;
        Instant leaseUntil {};
        Catalog::Resources inUse { 0, 0, 0 };
        uint32_t grants { 0 };
        /// Run time relative to that of a target of speed one; larger is slower.
        double slowness { 1 };
        uint32_t samples { 0 };
        int bucket { 0 };
        bool listed { false };
        uint64_t lastUsed { 0 };
        uint32_t consecutiveFailures { 0 };
        /// Successes over all its time; a target without any is given little at once.
        uint64_t successes { 0 };
        bool ejected { false };
        bool onProbation { false };
        Instant ejectedUntil {};
        uint32_t ejections { 0 };
    };

    explicit TargetPool(Limits);

    void announce(const Membership::TargetReport&, Instant now);

    /// Ends lapsed leases and starts probations that are due.
    void tick(Instant now);

    /// The fastest target with room that is worth using while this many wait: a slow one is left idle where waiting
    /// for a faster one is expected to end sooner. Null where there is none.
    [[nodiscard]] Target* choose(const Catalog::Resources&, const std::vector<std::string>& excluded, size_t waiting);

    void occupy(Target&, const Catalog::Resources&);
    void release(const std::string& identity, const std::string& incarnation, const Catalog::Resources&, const std::string& kind, const Release&, Instant now);

    [[nodiscard]] Target* find(const std::string& identity);

    /// Whether any live target, busy or not, could ever take these needs.
    [[nodiscard]] bool canEverRun(const Catalog::Resources&) const;
    [[nodiscard]] bool hasTargets() const { return !this->targets.empty(); }
    /// Places of one core that are free and worth using while nothing waits, up to a bound.
    [[nodiscard]] uint32_t usefulFreePlaces() const;
    [[nodiscard]] size_t targetCount() const { return this->targets.size(); }
    [[nodiscard]] size_t ejectedCount() const { return this->ejectedTargets; }

    /// The expected time until a request with this many before it gets a place; zero while run times are unknown.
    [[nodiscard]] Milliseconds expectedWait(size_t ahead, const std::string& kind) const;

    [[nodiscard]] const std::map<std::string, std::unique_ptr<Target>>& all() const { return this->targets; }

private:
    static constexpr int bucketCount = 192;

    struct ListKey {
        int bucket;
        uint64_t lastUsed;
        Target* target;

        friend auto operator<=>(const ListKey&, const ListKey&) = default;
    };

    struct KindStatistics {
        /// Mean run time in microseconds on a target of speed one.
        double mean { 0 };
        uint64_t samples { 0 };
    };

    void updateListing(Target&);
    void unlist(Target&);
    void addCapacity(const Target&, double sign);
    [[nodiscard]] bool takesWork(const Target&) const;
    [[nodiscard]] bool fitsEveryTarget(const Catalog::Resources&) const;
    [[nodiscard]] bool isWorthUsing(int bucket, size_t waiting) const;
    void learnRunTime(Target&, const std::string& kind, double microseconds);
    void recordFailure(Target&, Instant now);
    void recordSuccess(Target&);
    void eject(Target&, Instant now);
    void remove(std::map<std::string, std::unique_ptr<Target>>::iterator);

    Limits limits;
    std::map<std::string, std::unique_ptr<Target>> targets;
    std::set<ListKey> listed;
    std::unordered_map<std::string, KindStatistics> kinds;
    // Over targets that take work, by speed: their cores, and their cores divided by their slowness.
    std::array<double, bucketCount> coresByBucket {};
    std::array<double, bucketCount> rateByBucket {};
    std::map<Catalog::Resources, uint32_t> capacities;
    size_t ejectedTargets { 0 };
    uint64_t useCounter { 0 };
    double totalRate { 0 };
};

}
