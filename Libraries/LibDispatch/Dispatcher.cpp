#include <LibBase/Try.h>
#include <LibDispatch/Dispatcher.h>
#include <algorithm>

namespace Sassafrasshift::Dispatch {

using namespace std::chrono_literals;

static constexpr Milliseconds minimumRetryAfter = 50ms;
// How long a request that another dispatcher could not serve stays here.
static constexpr Milliseconds passOnPause = 50ms;
// Bounds what one hand-over takes along.
static constexpr uint32_t largestHandOver = 64;

Dispatcher::Dispatcher(Options options, uint64_t firstGrant, Instant now)
    : options(std::move(options))
    , startedAt(now)
    , nextGrant(firstGrant)
{
}

Dispatcher::Pool& Dispatcher::poolOf(const std::string& name)
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

size_t Dispatcher::waiting() const
{
    size_t total = 0;
    for (const auto& [name, pool] : this->pools)
        total += pool->queue.size();
    return total;
}

void Dispatcher::announce(const Membership::TargetReport& report, Instant now)
{
    auto& pool = this->poolOf(report.pool);
    pool.targets.announce(report, now);
    this->serve(report.pool, pool, now);
}

void Dispatcher::refuse(const GrantRequest& request, Reason reason, std::string detail, Milliseconds retryAfter)
{
    this->commands.emplace_back(Refusal { request.id, reason, std::move(detail), retryAfter.count() });
}

// Whether a request may wait; where it may not, it is refused at once.
bool Dispatcher::admit(Pool& pool, const GrantRequest& request, Instant now)
{
    bool remoteMayServe = std::any_of(pool.remoteFree.begin(), pool.remoteFree.end(), [](const auto& entry) { return entry.second > 0; });
    bool warm = now >= this->startedAt + this->options.warmUp;
    if (!pool.targets.hasTargets() && warm && pool.remoteFree.empty()) {
        this->refuse(request, Reason::NoTarget, "no live target of pool \"" + request.pool + "\" is known", 1000ms);
        return false;
    }
    if (pool.targets.hasTargets() && !pool.targets.canEverRun(request.needs) && warm && !remoteMayServe) {
        this->refuse(request, Reason::CannotRun, "no live target of pool \"" + request.pool + "\" has what \"" + request.kind + "\" needs", 0ms);
        return false;
    }
    auto wait = pool.targets.expectedWait(pool.queue.sizeAhead(request.priority), request.kind);
    if (static_cast<int64_t>(pool.queue.size() + request.count) > request.queueLimit && pool.queue.size() > 0) {
        this->refuse(request, Reason::Overloaded, "the queue of \"" + request.kind + "\" is full", std::max(wait, minimumRetryAfter));
        return false;
    }
    if (wait.count() > request.patience) {
        this->refuse(request, Reason::Overloaded, "the expected wait of " + std::to_string(wait.count()) + " ms passes the deadline", std::max(wait / 2, minimumRetryAfter));
        return false;
    }
    return true;
}

void Dispatcher::request(const GrantRequest& request, Instant now)
{
    if (request.count == 0)
        return;
    auto& pool = this->poolOf(request.pool);
    // A request that was sent again while it waits here is not taken twice.
    if (pool.queue.find(request.id) || this->handedOver.contains(request.id))
        return;
    if (!this->admit(pool, request, now))
        return;
    this->changeTeamUse(request.team, 0, request.teamLimit);
    pool.queue.push(request, now + Milliseconds(request.patience));
    this->serve(request.pool, pool, now);
}

void Dispatcher::cancel(const RequestId& id)
{
    for (auto& [name, pool] : this->pools) {
        if (pool->queue.remove(id) > 0)
            return;
    }
    auto position = this->handedOver.find(id);
    if (position != this->handedOver.end())
        position->second.cancelled = true;
}

void Dispatcher::grant(const std::string& poolName, Pool& pool, TargetPool::Target& target, const GrantRequest& request, Instant now)
{
    auto number = this->nextGrant++;
    pool.targets.occupy(target, request.needs);
    this->grants.emplace(number, HeldGrant { poolName, target.report.identity, target.report.incarnation, request.kind, request.team, request.needs, now });
    this->changeTeamUse(request.team, 1, request.teamLimit);
    this->commands.emplace_back(Grant { request.id, this->options.host, number, target.report.identity, target.report.incarnation, target.report.address });
}

void Dispatcher::serve(const std::string& name, Pool& pool, Instant now)
{
    while (auto* waiting = pool.queue.front()) {
        auto request = waiting->request;
        auto* target = pool.targets.choose(request.needs, request.excludedTargets, pool.queue.size() - 1);
        if (!target)
            break;
        pool.queue.serve(request.id);
        this->grant(name, pool, *target, request, now);
    }
    if (this->options.handsOver)
        this->passOn(pool, now);
    this->announceTransition(name, pool);
}

// Passes requests that wait here to dispatchers that have shown free places.
void Dispatcher::passOn(Pool& pool, Instant now)
{
    for (auto& [host, free] : pool.remoteFree) {
        while (free > 0) {
            auto* waiting = pool.queue.front();
            if (!waiting || now < waiting->passOnFrom || this->handedOver.contains(waiting->request.id))
                return;
            auto request = waiting->request;
            auto deadline = waiting->deadline;
            auto count = std::min({ request.count, free, largestHandOver });
            free -= count;
            request.count = count;
            request.patience = std::chrono::duration_cast<Milliseconds>(deadline - now).count();
            for (uint32_t i = 0; i < count; ++i)
                pool.queue.serve(request.id);
            this->handedOver.emplace(request.id, HandedOver { request, now, deadline, host });
            this->commands.emplace_back(SendToDispatcher { host, HandOver { this->options.host, request } });
        }
    }
}

void Dispatcher::announceTransition(const std::string& name, Pool& pool)
{
    auto free = pool.queue.isEmpty() ? pool.targets.usefulFreePlaces() : 0;
    if ((free > 0) == pool.announcedFree)
        return;
    pool.announcedFree = free > 0;
    this->commands.emplace_back(DomainView { this->options.host, name, free });
}

void Dispatcher::handOver(const HandOver& message, Instant now)
{
    const auto& request = message.request;
    auto& pool = this->poolOf(request.pool);
    uint32_t remaining = request.count;
    // Requests that wait here go first.
    while (remaining > 0 && pool.queue.isEmpty()) {
        auto* target = pool.targets.choose(request.needs, request.excludedTargets, remaining - 1);
        if (!target)
            break;
        this->grant(request.pool, pool, *target, request, now);
        --remaining;
    }
    auto free = pool.queue.isEmpty() ? pool.targets.usefulFreePlaces() : 0;
    this->commands.emplace_back(SendToDispatcher { message.origin, HandOverResult { request.id, request.pool, remaining, free } });
    this->announceTransition(request.pool, pool);
}

void Dispatcher::requeue(HandedOver& entry, uint32_t count, Instant now)
{
    if (entry.cancelled || count == 0)
        return;
    auto& pool = this->poolOf(entry.request.pool);
    auto request = entry.request;
    if (auto* waiting = pool.queue.find(request.id)) {
        count += waiting->request.count;
        pool.queue.remove(request.id);
    }
    request.count = count;
    pool.queue.push(request, entry.deadline);
    pool.queue.find(request.id)->passOnFrom = now + passOnPause;
    this->serve(request.pool, pool, now);
}

void Dispatcher::handOverResult(const std::string& from, const HandOverResult& result, Instant now)
{
    auto& pool = this->poolOf(result.pool);
    pool.remoteFree[from] = result.free;
    auto position = this->handedOver.find(result.request);
    if (position == this->handedOver.end())
        return;
    auto entry = std::move(position->second);
    this->handedOver.erase(position);
    this->requeue(entry, result.returned, now);
    this->serve(result.pool, pool, now);
}

void Dispatcher::observe(const DomainView& view, Instant now)
{
    if (view.dispatcher == this->options.host)
        return;
    auto& pool = this->poolOf(view.pool);
    pool.remoteFree[view.dispatcher] = view.free;
    this->serve(view.pool, pool, now);
}

void Dispatcher::announceAll()
{
    for (auto& [name, pool] : this->pools) {
        pool->announcedFree = false;
        this->announceTransition(name, *pool);
    }
}

void Dispatcher::forgetDispatcher(const std::string& host)
{
    for (auto& [name, pool] : this->pools)
        pool->remoteFree.erase(host);
}

void Dispatcher::freeGrant(std::unordered_map<uint64_t, HeldGrant>::iterator position, const Release& release, Instant now)
{
    auto held = std::move(position->second);
    this->grants.erase(position);
    auto& pool = this->poolOf(held.pool);
    pool.targets.release(held.target, held.targetIncarnation, held.needs, held.kind, release, now);
    this->changeTeamUse(held.team, -1, 0);
    this->serve(held.pool, pool, now);
}

void Dispatcher::release(const Release& release, Instant now)
{
    auto position = this->grants.find(release.number);
    if (position != this->grants.end())
        this->freeGrant(position, release, now);
}

// A team at its limit is passed over until some of its work has ended.
void Dispatcher::changeTeamUse(const std::string& team, int64_t change, int64_t limit)
{
    auto& use = this->teams[team];
    use.inProgress += change;
    if (limit > 0)
        use.limit = limit;
    bool hold = use.limit > 0 && use.inProgress >= use.limit;
    if (hold == use.held)
        return;
    use.held = hold;
    for (auto& [name, pool] : this->pools)
        pool->queue.setTeamHeld(team, hold);
}

void Dispatcher::reportHeld(const std::vector<Grant>& held, const Catalog::Resources& needs, const std::string& poolName, Instant now)
{
    auto& pool = this->poolOf(poolName);
    for (const auto& grant : held) {
        auto position = this->grants.find(grant.number);
        if (position != this->grants.end()) {
            position->second.lastNamed = now;
            continue;
        }
        auto* target = pool.targets.find(grant.target);
        if (!target || target->report.incarnation != grant.targetIncarnation)
            continue;
        pool.targets.occupy(*target, needs);
        this->grants.emplace(grant.number, HeldGrant { poolName, grant.target, grant.targetIncarnation, {}, {}, needs, now });
    }
}

void Dispatcher::reclaimGrants(Instant now)
{
    std::vector<uint64_t> abandoned;
    for (const auto& [number, held] : this->grants) {
        if (now >= held.lastNamed + this->options.holderTimeout)
            abandoned.push_back(number);
    }
    for (auto number : abandoned)
        this->release(Release { number, WorkResult::Unused, 0 }, now);
}

void Dispatcher::serveAll(Instant now)
{
    for (auto& [name, pool] : this->pools)
        this->serve(name, *pool, now);
}

void Dispatcher::tick(Instant now)
{
    for (auto& [name, pool] : this->pools) {
        pool->targets.tick(now);
        while (auto expired = pool->queue.popExpired(now))
            this->refuse(*expired, Reason::DeadlineExceeded, "no place on a target became free in time", minimumRetryAfter);
    }
    this->reclaimGrants(now);
    for (auto position = this->handedOver.begin(); position != this->handedOver.end();) {
        auto current = position++;
        if (now < current->second.sentAt + this->options.handOverTimeout)
            continue;
        // The other dispatcher may have granted it, and the entry gives back what it does not need.
        auto entry = std::move(current->second);
        this->handedOver.erase(current);
        this->poolOf(entry.request.pool).remoteFree.erase(entry.to);
        this->requeue(entry, entry.request.count, now);
    }
    this->serveAll(now);
}

}
