#include <LibScheduler/Dispatcher/LapsedRuns.h>
#include <algorithm>
#include <utility>

namespace Sassafrasshift::Scheduler {

void LapsedRuns::add(const std::string& target, const RunId& run, const RunEvidence& evidence, Instant now)
{
    if (this->runs.size() == maximumRuns)
        this->runs.pop_front();
    this->runs.push_back(LapsedRun { target, run, now, evidence });
}

std::optional<LapsedRuns::LapsedRun> LapsedRuns::take(const std::string& target, const RunId& run, Instant now)
{
    while (!this->runs.empty() && now - this->runs.front().endedAt > retention)
        this->runs.pop_front();
    auto position = std::find_if(this->runs.begin(), this->runs.end(), [&](const auto& lapsed) { return lapsed.run == run && lapsed.target == target; });
    if (position == this->runs.end())
        return {};
    auto lapsed = std::move(*position);
    this->runs.erase(position);
    return lapsed;
}

}
