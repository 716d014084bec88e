#include <LibBase/Try.h>
#include <LibDispatch/FairQueue.h>
#include <functional>

namespace Sassafrasshift::Dispatch {

size_t FairQueue::RequestIdHash::operator()(const RequestId& id) const
{
    return std::hash<std::string> {}(id.host) ^ std::hash<uint64_t> {}(id.number * 0x9e3779b97f4a7c15ULL);
}

void FairQueue::push(GrantRequest request, Instant deadline)
{
    auto id = request.id;
    auto& level = this->levelOf(request.priority);
    auto& queue = level.teams[request.team];
    queue.weight = request.teamWeight;
    queue.requestIds.push_back(id);
    level.waitingGrants += request.count;
    this->waitingGrants += request.count;
    this->activate(level, request.team);
    auto position = this->deadlines.emplace(deadline, id).first;
    this->requests.emplace(id, WaitingRequest { std::move(request), deadline, position, this->nextArrival++ });
}

void FairQueue::activate(PriorityLevel& level, const std::string& team)
{
    auto& queue = level.teams[team];
    if (queue.active || queue.requestIds.empty() || this->throttledTeams.contains(team))
        return;
    // A team that was idle gets no credit for that time: its virtual time starts at that of the level.
    queue.virtualTime = std::max(queue.virtualTime, level.virtualTime);
    queue.active = true;
    level.active.emplace(queue.virtualTime, team);
}

void FairQueue::deactivate(PriorityLevel& level, const std::string& team)
{
    auto& queue = level.teams[team];
    if (!queue.active)
        return;
    queue.active = false;
    level.active.erase({ queue.virtualTime, team });
}

// Removing a request leaves its id in the queue of its team, because searching that queue would take linear time. This
// function drops the ids of removed requests from the front of the queue.
void FairQueue::dropRemovedFromFront(TeamQueue& queue)
{
    while (!queue.requestIds.empty() && !this->requests.contains(queue.requestIds.front()))
        queue.requestIds.pop_front();
}

FairQueue::WaitingRequest* FairQueue::front()
{
    for (auto& level : this->levels) {
        while (!level.active.empty()) {
            auto team = level.active.begin()->second;
            auto& queue = level.teams[team];
            this->dropRemovedFromFront(queue);
            if (!queue.requestIds.empty())
                return &this->requests.at(queue.requestIds.front());
            this->deactivate(level, team);
            level.teams.erase(team);
        }
    }
    return nullptr;
}

FairQueue::WaitingRequest* FairQueue::find(const RequestId& id)
{
    auto position = this->requests.find(id);
    return position == this->requests.end() ? nullptr : &position->second;
}

void FairQueue::charge(const WaitingRequest& waiting)
{
    const auto& request = waiting.request;
    auto& level = this->levelOf(request.priority);
    auto& queue = level.teams[request.team];
    bool wasActive = queue.active;
    this->deactivate(level, request.team);
    level.virtualTime = std::max(level.virtualTime, queue.virtualTime);
    queue.virtualTime += static_cast<double>(request.needs.milliCores) / 1000.0 / queue.weight;
    if (wasActive)
        this->activate(level, request.team);
}

void FairQueue::recordGrant(const RequestId& id)
{
    auto& waiting = this->requests.at(id);
    this->charge(waiting);
    --waiting.request.count;
    --this->waitingGrants;
    --this->levelOf(waiting.request.priority).waitingGrants;
    if (waiting.request.count == 0)
        this->erase(this->requests.find(id));
}

void FairQueue::erase(std::unordered_map<RequestId, WaitingRequest, RequestIdHash>::iterator position)
{
    this->deadlines.erase(position->second.deadlinePosition);
    this->requests.erase(position);
}

uint32_t FairQueue::remove(const RequestId& id)
{
    auto position = this->requests.find(id);
    if (position == this->requests.end())
        return 0;
    auto count = position->second.request.count;
    this->waitingGrants -= count;
    this->levelOf(position->second.request.priority).waitingGrants -= count;
    this->erase(position);
    return count;
}

void FairQueue::setTeamThrottled(const std::string& team, bool throttled)
{
    if (throttled)
        this->throttledTeams.insert(team);
    else
        this->throttledTeams.erase(team);
    for (auto& level : this->levels) {
        auto position = level.teams.find(team);
        if (position == level.teams.end())
            continue;
        if (throttled)
            this->deactivate(level, team);
        else
            this->activate(level, team);
    }
}

std::optional<GrantRequest> FairQueue::popExpired(Instant now)
{
    if (this->deadlines.empty() || this->deadlines.begin()->first > now)
        return std::nullopt;
    auto id = this->deadlines.begin()->second;
    auto request = this->requests.at(id).request;
    this->remove(id);
    return request;
}

size_t FairQueue::grantsWaitingAtOrAbove(Catalog::Priority priority) const
{
    size_t total = 0;
    for (size_t level = 0; level <= static_cast<size_t>(priority); ++level)
        total += this->levels[level].waitingGrants;
    return total;
}

}
