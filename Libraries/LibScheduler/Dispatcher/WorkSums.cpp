#include <LibScheduler/Dispatcher/WorkSums.h>

namespace Sassafrasshift::Scheduler {

template <typename Key>
static void addTo(std::map<Key, int64_t>& sums, const Key& key, int64_t change)
{
    if (change == 0)
        return;
    auto position = sums.try_emplace(key, 0).first;
    position->second += change;
    if (position->second == 0)
        sums.erase(position);
}

void WorkSums::change(const std::string& pool, const JobWork& work, int64_t sign)
{
    if (!work.isLate)
        addTo(this->waitingByPlace, Place { work.priority, work.tagSteps }, sign * work.waiting);
    this->allWaiting += sign * work.waiting;
    addTo(this->doubledOpenByPool, pool, sign * (2 * work.waiting + work.placed));
}

void WorkSums::addCapacity(const std::string& pool, int64_t milliCores)
{
    this->allCapacity += milliCores;
    addTo(this->poolCapacity, pool, milliCores);
}

int64_t WorkSums::aheadOf(int64_t priority, int64_t tagSteps) const
{
    int64_t sum = 0;
    const Place place { priority, tagSteps };
    for (auto position = this->waitingByPlace.begin(); position != this->waitingByPlace.end() && position->first <= place; ++position)
        sum += position->second;
    return sum;
}

int64_t WorkSums::doubledOpenWork(const std::string& pool) const
{
    auto position = this->doubledOpenByPool.find(pool);
    return position == this->doubledOpenByPool.end() ? 0 : position->second;
}

}
