#pragma once

#include <LibCatalog/Objects.h>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Sassafrasshift::Scheduler {

/// Sums of the work of open jobs and of the capacity of targets, kept up to date with each change, so that no submission or renewal
/// costs a scan. Work is in milliseconds multiplied by thousandths of a core; integers make the sums exact.
class WorkSums {
public:
    /// What one job adds to the sums.
    struct JobWork {
        bool isLate { false };
        /// Where the job is in the queue: its priority and, among jobs of the same priority, the steps of its tag.
        int64_t priority { 0 };
        int64_t tagSteps { 0 };
        int64_t waiting { 0 };
        /// A placed task counts with half of its expected run time, because on average half of the run is assumed to be over.
        int64_t placed { 0 };

        friend bool operator==(const JobWork&, const JobWork&) = default;
    };

    /// Adds what a job counts for in its pool, or removes exactly what was added.
    void add(const std::string& pool, const JobWork& work) { this->change(pool, work, 1); }
    void remove(const std::string& pool, const JobWork& work) { this->change(pool, work, -1); }

    /// Adds to the capacity of a pool; a negative amount removes.
    void addCapacity(const std::string& pool, int64_t milliCores);

    /// The work of the waiting tasks of the jobs that are not late and have a higher priority, or the same one and no more steps.
    [[nodiscard]] int64_t aheadOf(int64_t priority, int64_t tagSteps) const;
    /// The work of all waiting tasks.
    [[nodiscard]] int64_t waiting() const { return this->allWaiting; }
    /// The open work of a pool: twice that of its waiting tasks and once that of its placed ones.
    [[nodiscard]] int64_t doubledOpenWork(const std::string& pool) const;
    /// The capacity of all targets that count, in thousandths of a core, and that by pool.
    [[nodiscard]] int64_t capacity() const { return this->allCapacity; }
    [[nodiscard]] const std::map<std::string, int64_t>& capacityByPool() const { return this->poolCapacity; }

    void clear() { *this = {}; }

private:
    void change(const std::string& pool, const JobWork&, int64_t sign);

    /// A place in the queue, in serving order.
    struct Place {
        int64_t priority { 0 };
        int64_t tagSteps { 0 };

        friend auto operator<=>(const Place&, const Place&) = default;
    };

    std::map<Place, int64_t> waitingByPlace;
    /// The doubled open work of each pool.
    std::map<std::string, int64_t> doubledOpenByPool;
    std::map<std::string, int64_t> poolCapacity;
    int64_t allWaiting { 0 };
    int64_t allCapacity { 0 };
};

}
