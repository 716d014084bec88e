#include <LibBase/Try.h>
#include <LibDispatch/Dispatcher.h>
#include <algorithm>

namespace Sassafrasshift::Dispatch {

using namespace std::chrono_literals;

static constexpr Milliseconds minimumRetryAfter = 50ms;
// How long a request that another dispatcher returned waits here before it may be handed over again.
static constexpr Milliseconds handOverRetryDelay = 50ms;
// The largest number of grants that one hand-over may ask for.
static constexpr uint32_t maximumHandOverCount = 64;

Dispatcher::Dispatcher(Options options, uint64_t firstGrantNumber, Instant now)
    : options(std::move(options))
    , startedAt(now)
    , nextGrantNumber(firstGrantNumber)
{
}

Dispatcher::Pool& Dispatcher::findOrCreatePool(const std::string& name)
{
    auto& pool = this->pools[name];
    if (!pool)
        pool = std::make_unique<Pool>(this->options.targets);
    return *pool;
}

const TargetPool* Dispatcher::findPool(const std::string& name) const
{
    auto position = this->pools.find(name);
    return position == this->pools.end() ? nullptr : &position->second->targets;
}

std::vector<std::string> Dispatcher::poolNames() const
{
    std::vector<std::string> names;
    for (const auto& [name, pool] : this->pools)
        names.push_back(name);
    return names;
}

std::vector<DispatcherCommand> Dispatcher::takeCommands()
{
    return std::exchange(this->commands, {});
}

size_t Dispatcher::waitingGrantCount() const
{
    size_t total = 0;
    for (const auto& [name, pool] : this->pools)
        total += pool->queue.waitingGrantCount();
    return total;
}

void Dispatcher::updateTarget(const Membership::TargetReport& report, Instant now)
{
    auto& pool = this->findOrCreatePool(report.pool);
    pool.targets.updateTarget(report, now);
    this->grantFromQueue(report.pool, pool, now);
}

void Dispatcher::refuse(const GrantRequest& request, Reason reason, std::string detail, Milliseconds retryAfter)
{
    this->commands.emplace_back(Refusal { request.id, reason, std::move(detail), retryAfter.count() });
}

bool Dispatcher::admit(Pool& pool, const GrantRequest& request, Instant now)
{
    bool freeElsewhere = std::any_of(pool.remoteFreeSlots.begin(), pool.remoteFreeSlots.end(), [](const auto& entry) { return entry.second > 0; });
    bool warmUpOver = now >= this->startedAt + this->options.warmUp;
    if (!pool.targets.hasTargets() && warmUpOver && pool.remoteFreeSlots.empty()) {
        this->refuse(request, Reason::NoTarget, "no live target of pool \"" + request.pool + "\" is known", 1000ms);
        return false;
    }
    if (pool.targets.hasTargets() && !pool.targets.canAnyTargetRun(request.needs) && warmUpOver && !freeElsewhere) {
        this->refuse(request, Reason::CannotRun, "no live target of pool \"" + request.pool + "\" has the resources that \"" + request.kind + "\" needs", 0ms);
        return false;
    }
    auto wait = pool.targets.expectedWait(pool.queue.grantsWaitingAtOrAbove(request.priority), request.kind);
    if (static_cast<int64_t>(pool.queue.waitingGrantCount() + request.count) > request.queueLimit && pool.queue.waitingGrantCount() > 0) {
        this->refuse(request, Reason::Overloaded, "the queue limit of \"" + request.kind + "\" has been reached", std::max(wait, minimumRetryAfter));
        return false;
    }
    if (wait.count() > request.waitLimit) {
        this->refuse(request, Reason::Overloaded, "the expected wait of " + std::to_string(wait.count()) + " ms exceeds the deadline", std::max(wait / 2, minimumRetryAfter));
        return false;
    }
    return true;
}

void Dispatcher::request(const GrantRequest& request, Instant now)
{
    if (request.count == 0)
        return;
    auto& pool = this->findOrCreatePool(request.pool);
    // The entry host may resend a request that is still waiting here; the copy is ignored.
    if (pool.queue.find(request.id) || this->pendingHandOvers.contains(request.id))
        return;
    if (!this->admit(pool, request, now))
        return;
    this->adjustTeamUsage(request.team, 0, request.teamLimit);
    pool.queue.push(request, now + Milliseconds(request.waitLimit));
    this->grantFromQueue(request.pool, pool, now);
}

void Dispatcher::cancel(const RequestId& id)
{
    for (auto& [name, pool] : this->pools) {
        if (pool->queue.remove(id) > 0)
            return;
    }
    auto position = this->pendingHandOvers.find(id);
    if (position != this->pendingHandOvers.end())
        position->second.cancelled = true;
}

void Dispatcher::grant(const std::string& poolName, Pool& pool, TargetPool::Target& target, const GrantRequest& request, Instant now)
{
    auto number = this->nextGrantNumber++;
    pool.targets.reserve(target, request.needs);
    this->grants.emplace(number, HeldGrant { poolName, target.report.identity, target.report.incarnation, request.kind, request.team, request.needs, now });
    this->adjustTeamUsage(request.team, 1, request.teamLimit);
    this->commands.emplace_back(Grant { request.id, this->options.host, number, target.report.identity, target.report.incarnation, target.report.address });
}

void Dispatcher::grantFromQueue(const std::string& name, Pool& pool, Instant now)
{
    while (auto* waiting = pool.queue.front()) {
        auto request = waiting->request;
        auto* target = pool.targets.choose(request.needs, request.excludedTargets, pool.queue.waitingGrantCount() - 1);
        if (!target)
            break;
        pool.queue.recordGrant(request.id);
        this->grant(name, pool, *target, request, now);
    }
    if (this->options.handOverEnabled)
        this->handOverWaiting(pool, now);
    this->announceAvailabilityChange(name, pool);
}

// Hands waiting requests over to dispatchers that have announced free slots.
void Dispatcher::handOverWaiting(Pool& pool, Instant now)
{
    for (auto& [host, free] : pool.remoteFreeSlots) {
        while (free > 0) {
            auto* waiting = pool.queue.front();
            if (!waiting || now < waiting->handOverNotBefore || this->pendingHandOvers.contains(waiting->request.id))
                return;
            auto request = waiting->request;
            auto deadline = waiting->deadline;
            auto count = std::min({ request.count, free, maximumHandOverCount });
            free -= count;
            request.count = count;
            request.waitLimit = std::chrono::duration_cast<Milliseconds>(deadline - now).count();
            for (uint32_t i = 0; i < count; ++i)
                pool.queue.recordGrant(request.id);
            this->pendingHandOvers.emplace(request.id, PendingHandOver { request, now, deadline, host });
            this->commands.emplace_back(SendToDispatcher { host, HandOver { this->options.host, request } });
        }
    }
}

void Dispatcher::announceAvailabilityChange(const std::string& name, Pool& pool)
{
    auto free = pool.queue.isEmpty() ? pool.targets.usefulFreeSlots() : 0;
    if ((free > 0) == pool.announcedAsFree)
        return;
    pool.announcedAsFree = free > 0;
    this->commands.emplace_back(PoolAvailability { this->options.host, name, free });
}

void Dispatcher::receiveHandOver(const HandOver& message, Instant now)
{
    const auto& request = message.request;
    auto& pool = this->findOrCreatePool(request.pool);
    uint32_t remaining = request.count;
    // Requests that wait in this failure domain take precedence.
    while (remaining > 0 && pool.queue.isEmpty()) {
        auto* target = pool.targets.choose(request.needs, request.excludedTargets, remaining - 1);
        if (!target)
            break;
        this->grant(request.pool, pool, *target, request, now);
        --remaining;
    }
    auto free = pool.queue.isEmpty() ? pool.targets.usefulFreeSlots() : 0;
    this->commands.emplace_back(SendToDispatcher { message.origin, HandOverResult { request.id, request.pool, remaining, free } });
    this->announceAvailabilityChange(request.pool, pool);
}

void Dispatcher::requeue(PendingHandOver& pendingHandOver, uint32_t count, Instant now)
{
    if (pendingHandOver.cancelled || count == 0)
        return;
    auto& pool = this->findOrCreatePool(pendingHandOver.request.pool);
    auto request = pendingHandOver.request;
    if (auto* waiting = pool.queue.find(request.id)) {
        count += waiting->request.count;
        pool.queue.remove(request.id);
    }
    request.count = count;
    pool.queue.push(request, pendingHandOver.deadline);
    pool.queue.find(request.id)->handOverNotBefore = now + handOverRetryDelay;
    this->grantFromQueue(request.pool, pool, now);
}

void Dispatcher::receiveHandOverResult(const std::string& from, const HandOverResult& result, Instant now)
{
    auto& pool = this->findOrCreatePool(result.pool);
    pool.remoteFreeSlots[from] = result.free;
    auto position = this->pendingHandOvers.find(result.request);
    if (position == this->pendingHandOvers.end())
        return;
    auto pendingHandOver = std::move(position->second);
    this->pendingHandOvers.erase(position);
    this->requeue(pendingHandOver, result.returned, now);
    this->grantFromQueue(result.pool, pool, now);
}

void Dispatcher::updateAvailability(const PoolAvailability& availability, Instant now)
{
    if (availability.dispatcher == this->options.host)
        return;
    auto& pool = this->findOrCreatePool(availability.pool);
    pool.remoteFreeSlots[availability.dispatcher] = availability.free;
    this->grantFromQueue(availability.pool, pool, now);
}

void Dispatcher::announceAvailability()
{
    for (auto& [name, pool] : this->pools) {
        pool->announcedAsFree = false;
        this->announceAvailabilityChange(name, *pool);
    }
}

void Dispatcher::forgetDispatcher(const std::string& host)
{
    for (auto& [name, pool] : this->pools)
        pool->remoteFreeSlots.erase(host);
}

void Dispatcher::releaseGrant(std::unordered_map<uint64_t, HeldGrant>::iterator position, const Release& release, Instant now)
{
    auto held = std::move(position->second);
    this->grants.erase(position);
    auto& pool = this->findOrCreatePool(held.pool);
    pool.targets.release(held.target, held.targetIncarnation, held.needs, held.kind, release, now);
    this->adjustTeamUsage(held.team, -1, 0);
    this->grantFromQueue(held.pool, pool, now);
}

void Dispatcher::release(const Release& release, Instant now)
{
    auto position = this->grants.find(release.number);
    if (position != this->grants.end())
        this->releaseGrant(position, release, now);
}

// A team that has reached its limit is throttled until one of its grants is released.
void Dispatcher::adjustTeamUsage(const std::string& team, int64_t change, int64_t limit)
{
    auto& usage = this->teams[team];
    usage.inProgress += change;
    if (limit > 0)
        usage.limit = limit;
    bool throttled = usage.limit > 0 && usage.inProgress >= usage.limit;
    if (throttled == usage.throttled)
        return;
    usage.throttled = throttled;
    for (auto& [name, pool] : this->pools)
        pool->queue.setTeamThrottled(team, throttled);
}

void Dispatcher::renewGrants(const std::vector<Grant>& held, const Catalog::Resources& needs, const std::string& poolName, Instant now)
{
    auto& pool = this->findOrCreatePool(poolName);
    for (const auto& grant : held) {
        auto position = this->grants.find(grant.number);
        if (position != this->grants.end()) {
            position->second.lastRenewed = now;
            continue;
        }
        auto* target = pool.targets.find(grant.target);
        if (!target || target->report.incarnation != grant.targetIncarnation)
            continue;
        pool.targets.reserve(*target, needs);
        this->grants.emplace(grant.number, HeldGrant { poolName, grant.target, grant.targetIncarnation, {}, {}, needs, now });
    }
}

void Dispatcher::reclaimGrants(Instant now)
{
    std::vector<uint64_t> abandoned;
    for (const auto& [number, held] : this->grants) {
        if (now >= held.lastRenewed + this->options.holderTimeout)
            abandoned.push_back(number);
    }
    for (auto number : abandoned)
        this->release(Release { number, WorkResult::Unused, 0 }, now);
}

void Dispatcher::grantFromAllQueues(Instant now)
{
    for (auto& [name, pool] : this->pools)
        this->grantFromQueue(name, *pool, now);
}

void Dispatcher::tick(Instant now)
{
    for (auto& [name, pool] : this->pools) {
        pool->targets.tick(now);
        while (auto expired = pool->queue.popExpired(now))
            this->refuse(*expired, Reason::DeadlineExceeded, "no slot on a target became free before the deadline", minimumRetryAfter);
    }
    this->reclaimGrants(now);
    for (auto position = this->pendingHandOvers.begin(); position != this->pendingHandOvers.end();) {
        auto current = position++;
        if (now < current->second.sentAt + this->options.handOverTimeout)
            continue;
        // The other dispatcher may have issued grants although its answer was lost. The entry host releases surplus grants.
        auto pendingHandOver = std::move(current->second);
        this->pendingHandOvers.erase(current);
        this->findOrCreatePool(pendingHandOver.request.pool).remoteFreeSlots.erase(pendingHandOver.to);
        this->requeue(pendingHandOver, pendingHandOver.request.count, now);
    }
    this->grantFromAllQueues(now);
}

}
