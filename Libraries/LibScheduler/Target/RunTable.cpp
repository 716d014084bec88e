#include <LibScheduler/Target/RunTable.h>
#include <utility>

namespace Sassafrasshift::Scheduler {

RunTable::IndexedState RunTable::IndexedState::of(const TargetRun& run)
{
    return IndexedState { run.mayBeExtended() ? run.jobLease : nullptr, !run.knownStartedAt, run.state == RunState::Unadopted || run.awaitsStop() };
}

const TargetRun* RunTable::find(const RunId& id) const
{
    auto position = this->runs.find(id);
    return position == this->runs.end() ? nullptr : &position->second;
}

void RunTable::add(const RunId& id, TargetRun run)
{
    auto [position, isNew] = this->runs.emplace(id, std::move(run));
    VERIFY(isNew);
    this->addToIndexes(id, IndexedState::of(position->second));
}

void RunTable::remove(const RunId& id)
{
    auto position = this->runs.find(id);
    VERIFY(position != this->runs.end());
    this->removeFromIndexes(id, IndexedState::of(position->second));
    this->runs.erase(position);
}

void RunTable::addToIndexes(const RunId& id, const IndexedState& state)
{
    if (state.lease)
        ++this->runsByLease[state.lease];
    else
        ++this->unextendableRuns;
    this->unconfirmedStarts += state.isStartUnconfirmed ? 1 : 0;
    if (state.isUnsettled)
        this->unsettledRuns.insert(id);
}

void RunTable::removeFromIndexes(const RunId& id, const IndexedState& state)
{
    if (!state.lease)
        --this->unextendableRuns;
    else if (auto position = this->runsByLease.find(state.lease); --position->second == 0)
        this->runsByLease.erase(position);
    this->unconfirmedStarts -= state.isStartUnconfirmed ? 1 : 0;
    if (state.isUnsettled)
        this->unsettledRuns.erase(id);
}

}
