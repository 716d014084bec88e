#pragma once

#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace Sassafrasshift::Benchmarks {

/// A job of a recorded load. Its work is that of a target of speed 1.
struct RecordedJob {
    Milliseconds arrival { 0 };
    size_t queue { 0 };
    size_t origin { 0 };
    uint32_t tasks { 1 };
    int64_t milliCores { 0 };
    double runMilliseconds { 0 };
    /// The client's estimate of the run time, which is wrong.
    int64_t estimateMilliseconds { 0 };

    /// In milliseconds of a core.
    [[nodiscard]] double work() const { return this->tasks * this->runMilliseconds * static_cast<double>(this->milliCores) / 1000; }
};

inline constexpr size_t queueCount = 3;
inline constexpr size_t originCount = 3;

struct LoadOptions {
    /// On average over a wave, over the cluster's share of one failure domain.
    double jobsPerSecond { 250 };
    Milliseconds duration { 34'000 };
    uint64_t seed { 1 };
    /// How many times as many jobs as from each other domain come from the first one.
    double firstOriginFactor { 1 };
};

[[nodiscard]] std::vector<RecordedJob> recordLoad(const LoadOptions&);

/// Asked and served work, and numbers of jobs, of a part of the load.
struct Served {
    double asked { 0 };
    double inObjective { 0 };
    size_t jobs { 0 };
    size_t jobsInObjective { 0 };

    [[nodiscard]] double workShare() const { return this->asked > 0 ? this->inObjective / this->asked : 1; }
    [[nodiscard]] double jobShare() const { return this->jobs > 0 ? static_cast<double>(this->jobsInObjective) / static_cast<double>(this->jobs) : 1; }
};

struct Result {
    Served all;
    std::array<Served, queueCount> queues;
    std::array<Served, originCount> origins;
    /// By work within a queue.
    std::array<Served, queueCount> largestTenth;
    std::array<Served, queueCount> nextFifth;
    size_t refused { 0 };
    size_t late { 0 };
};

/// Plays a load against the scheduler with 117 targets in thirds of 16, 16 and 24 cores, whose speeds are given.
[[nodiscard]] Result play(const std::vector<RecordedJob>&, const std::array<double, 3>& speeds, Scheduler::TaskScheduler::Options);

}
