#include <LibScheduler/Target/RunTable.h>
#include <utility>

namespace Sassafrasshift::Scheduler {

static bool isUnsettled(const TargetRun& run)
{
    return run.state == RunState::Unadopted || run.awaitsStop();
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
    this->addToIndexes(position->first, position->second);
}

void RunTable::remove(const RunId& id)
{
    auto position = this->runs.find(id);
    VERIFY(position != this->runs.end());
    this->removeFromIndexes(position->first, position->second);
    this->runs.erase(position);
}

void RunTable::addToIndexes(const RunId& id, const TargetRun& run)
{
    if (run.mayBeExtended())
        ++this->runsByLease[run.jobLease];
    else
        ++this->unextendableRuns;
    this->unconfirmedStarts += run.knownStartedAt ? 0 : 1;
    if (isUnsettled(run))
        this->unsettledRuns.insert(id);
}

void RunTable::removeFromIndexes(const RunId& id, const TargetRun& run)
{
    if (!run.mayBeExtended())
        --this->unextendableRuns;
    else if (auto position = this->runsByLease.find(run.jobLease); --position->second == 0)
        this->runsByLease.erase(position);
    this->unconfirmedStarts -= run.knownStartedAt ? 0 : 1;
    if (isUnsettled(run))
        this->unsettledRuns.erase(id);
}

}
