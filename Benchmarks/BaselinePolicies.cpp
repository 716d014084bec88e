#include "PolicyModel.h"
#include <algorithm>
#include <set>
#include <tuple>

namespace Sassafrasshift::Bench {

// The times at which the slots of one target become free, earliest first.
using SlotTimes = std::multiset<int64_t>;

Statistics runOracle(const Scenario& scenario)
{
    Workload workload(scenario);
    StatisticsCollector collector(scenario, workload);
    std::vector<SlotTimes> slots;
    for (size_t i = 0; i < workload.targets.size(); ++i) {
        SlotTimes times;
        for (int slot = 0; slot < scenario.slots; ++slot)
            times.insert(0);
        slots.push_back(times);
    }
    for (size_t i = 0; i < workload.requests.size(); ++i) {
        const auto& request = workload.requests[i];
        size_t best = 0;
        int64_t bestEnd = INT64_MAX;
        for (size_t target = 0; target < slots.size(); ++target) {
            auto start = std::max(request.arrival, *slots[target].begin());
            auto end = start + static_cast<int64_t>(request.work * workload.targets[target].slowness);
            if (end < bestEnd) {
                best = target;
                bestEnd = end;
            }
        }
        slots[best].erase(slots[best].begin());
        slots[best].insert(bestEnd);
        collector.complete(i, bestEnd + 2 * scenario.localDelay.count());
    }
    return collector.statistics();
}

namespace {

// Selects a target for each arriving request from what an entry host can know: the outstanding requests and estimated speeds
// of the targets.
class TargetSelector {
public:
    TargetSelector(const Scenario& scenario, const Workload& workload, Baseline policy)
        : policy(policy)
        , random(scenario.seed + 1)
        , slots(scenario.slots)
        , outstanding(workload.targets.size())
        , estimatedSlowness(workload.targets.size(), 1)
        , samples(workload.targets.size())
    {
    }

    size_t choose()
    {
        auto count = this->outstanding.size();
        switch (this->policy) {
        case Baseline::Random:
            return this->random() % count;
        case Baseline::RoundRobin:
            return this->next++ % count;
        case Baseline::TwoChoices: {
            auto first = this->random() % count;
            auto second = this->random() % count;
            return this->outstanding[first] <= this->outstanding[second] ? first : second;
        }
        case Baseline::LeastOutstanding:
            return this->targetOfLeastCost([&](size_t target) { return static_cast<double>(this->outstanding[target]); });
        case Baseline::LeastExpectedCompletion:
            return this->targetOfLeastCost([&](size_t target) {
                double waiting = std::max(0, this->outstanding[target] + 1 - this->slots);
                return this->estimatedSlowness[target] * (1 + waiting / this->slots);
            });
        }
        return 0;
    }

    void recordSent(size_t target) { ++this->outstanding[target]; }

    void recordAnswered(size_t target, double work, double runTime)
    {
        --this->outstanding[target];
        // An entry host does not know the work of a single request, so the mean of the run times is used in its place.
        ++this->totalSamples;
        this->meanWork += (work - this->meanWork) / static_cast<double>(this->totalSamples);
        ++this->samples[target];
        auto weight = std::max(1.0 / static_cast<double>(this->samples[target] + 1), 0.05);
        this->estimatedSlowness[target] += (runTime / this->meanWork - this->estimatedSlowness[target]) * weight;
    }

private:
    template <typename Cost>
    size_t targetOfLeastCost(Cost cost)
    {
        // Starting at a random target breaks ties, so that the first targets are not preferred.
        auto offset = this->random() % this->outstanding.size();
        size_t best = offset;
        for (size_t i = 0; i < this->outstanding.size(); ++i) {
            auto target = (offset + i) % this->outstanding.size();
            if (cost(target) < cost(best))
                best = target;
        }
        return best;
    }

    Baseline policy;
    Random random;
    int slots;
    std::vector<int> outstanding;
    std::vector<double> estimatedSlowness;
    std::vector<uint64_t> samples;
    uint64_t totalSamples { 0 };
    double meanWork { 1 };
    size_t next { 0 };
};

}

Statistics runBaseline(const Scenario& scenario, Baseline policy)
{
    Workload workload(scenario);
    StatisticsCollector collector(scenario, workload);
    TargetSelector selector(scenario, workload, policy);
    EventQueue events;
    std::vector<SlotTimes> slots(workload.targets.size());
    for (auto& times : slots) {
        for (int slot = 0; slot < scenario.slots; ++slot)
            times.insert(0);
    }
    for (size_t i = 0; i < workload.requests.size(); ++i) {
        events.schedule(workload.requests[i].arrival, [&, i] {
            const auto& request = workload.requests[i];
            auto target = selector.choose();
            selector.recordSent(target);
            auto delay = request.domain == workload.targets[target].domain ? scenario.localDelay : scenario.remoteDelay;
            auto runTime = static_cast<int64_t>(request.work * workload.targets[target].slowness);
            auto end = std::max(events.now() + delay.count(), *slots[target].begin()) + runTime;
            slots[target].erase(slots[target].begin());
            slots[target].insert(end);
            collector.messageCount += 2;
            events.schedule(end + delay.count(), [&, i, target, runTime] {
                selector.recordAnswered(target, static_cast<double>(runTime), static_cast<double>(runTime));
                collector.complete(i, events.now());
            });
        });
    }
    events.run();
    return collector.statistics();
}

}
