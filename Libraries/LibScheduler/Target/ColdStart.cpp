#include <LibScheduler/Target/ColdStart.h>
#include <algorithm>

namespace Sassafrasshift::Scheduler {

// The share of an unused target that one task may occupy during the first half of the cold time.
static constexpr double shareOfFirstTask { 0.5 };

void ColdStart::observe(const std::string& newIncarnation, Milliseconds left, Instant reportedAt)
{
    if (newIncarnation != this->incarnation) {
        this->incarnation = newIncarnation;
        this->total = Milliseconds(0);
    }
    this->total = std::max(this->total, left);
    this->endsAt = left.count() > 0 ? reportedAt + left : Instant {};
}

bool ColdStart::admits(const Catalog::Resources& capacity, const Catalog::Resources& free, const Catalog::Resources& needs, Instant now) const
{
    if (!this->isCold(now))
        return true;
    auto passed = 1 - toMilliseconds(std::chrono::duration_cast<Milliseconds>(this->endsAt - now)) / toMilliseconds(this->total);
    bool isUnused = free.milliCores >= capacity.milliCores;
    auto share = isUnused ? std::max(passed, shareOfFirstTask) : passed;
    auto usedAfterStart = capacity.milliCores - free.milliCores + needs.milliCores;
    return static_cast<double>(usedAfterStart) <= share * static_cast<double>(capacity.milliCores);
}

}
