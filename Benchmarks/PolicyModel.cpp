#include "PolicyModel.h"
#include <LibDispatch/Dispatcher.h>
#include <algorithm>
#include <cmath>
#include <memory>

namespace Sassafrasshift::Bench {

using namespace Dispatch;

// The largest ratio between the slowness of two targets, before the slowdown of the first domain.
static constexpr double slownessSpread = 10;
// The work of a request in microseconds on a target of slowness one is distributed uniformly between these values.
static constexpr double shortestWork = 50'000;
static constexpr double longestWork = 1'000'000;

Workload::Workload(const Scenario& scenario)
{
    Random random(scenario.seed);
    std::uniform_real_distribution<double> unit(0, 1);
    for (size_t i = 0; i < scenario.targets; ++i) {
        ModelTarget target;
        target.slowness = std::pow(slownessSpread, unit(random));
        target.domain = i % scenario.domains;
        target.failing = unit(random) < scenario.failingShare;
        if (target.domain == 0)
            target.slowness *= scenario.firstDomainSlowness;
        this->capacity += scenario.slots / target.slowness;
        this->targets.push_back(target);
    }
    this->lowestSlowness = std::min_element(this->targets.begin(), this->targets.end(), [](const auto& a, const auto& b) { return a.slowness < b.slowness; })->slowness;
    // The load is relative to the capacity without the slowdown of the first domain.
    double healthyCapacity = 0;
    for (const auto& target : this->targets)
        healthyCapacity += scenario.slots / (target.domain == 0 ? target.slowness / scenario.firstDomainSlowness : target.slowness);
    double meanWork = (shortestWork + longestWork) / 2;
    std::exponential_distribution<double> interarrival(scenario.load * healthyCapacity / meanWork);
    double time = 0;
    for (size_t i = 0; i < scenario.requests; ++i) {
        time += interarrival(random);
        Request request;
        request.arrival = static_cast<int64_t>(time);
        request.work = shortestWork + unit(random) * (longestWork - shortestWork);
        request.domain = random() % scenario.domains;
        request.greedy = unit(random) < scenario.greedyShare;
        this->requests.push_back(request);
    }
}

void EventQueue::schedule(int64_t time, std::function<void()> function)
{
    this->events.push(Event { std::max(time, this->current), this->nextOrder++, std::move(function) });
}

void EventQueue::run()
{
    while (!this->events.empty()) {
        auto event = this->events.top();
        this->events.pop();
        this->current = event.time;
        event.function();
    }
}

StatisticsCollector::StatisticsCollector(const Scenario& scenario, const Workload& workload)
    : scenario(scenario)
    , workload(workload)
    , measurementStart(workload.requests[scenario.warmUp].arrival)
    , lastArrival(workload.requests.back().arrival)
{
}

void StatisticsCollector::complete(size_t index, int64_t time)
{
    const auto& request = this->workload.requests[index];
    if (time >= this->measurementStart && time <= this->lastArrival)
        this->completedWork += request.work;
    if (index < this->scenario.warmUp)
        return;
    double ideal = request.work * this->workload.lowestSlowness + 2 * static_cast<double>(this->scenario.localDelay.count());
    double ratio = static_cast<double>(time - request.arrival) / ideal;
    this->allRatios.push_back(ratio);
    if (!request.greedy)
        this->otherTeamRatios.push_back(ratio);
}

static double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    auto position = std::min(values.size() - 1, static_cast<size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(position), values.end());
    return values[position];
}

Statistics StatisticsCollector::statistics() const
{
    Statistics statistics;
    for (auto ratio : this->allRatios)
        statistics.mean += ratio / static_cast<double>(this->allRatios.size());
    statistics.median = quantile(this->allRatios, 0.5);
    statistics.p99 = quantile(this->allRatios, 0.99);
    statistics.otherTeamsP99 = quantile(this->otherTeamRatios, 0.99);
    statistics.messagesPerRequest = static_cast<double>(this->messageCount) / static_cast<double>(this->workload.requests.size());
    statistics.wastedMessageShare = this->messageCount == 0 ? 0 : static_cast<double>(this->wastedMessageCount) / static_cast<double>(this->messageCount);
    statistics.completed = this->allRatios.size();
    statistics.refused = this->refused;
    statistics.failed = this->failed;
    statistics.goodput = this->completedWork / (this->workload.capacity * static_cast<double>(this->lastArrival - this->measurementStart));
    return statistics;
}

namespace {

// Simulates the dispatchers of all domains under the events of a workload.
class DispatcherModel {
public:
    explicit DispatcherModel(const Scenario& scenario)
        : scenario(scenario)
        , workload(scenario)
        , collector(scenario, workload)
        , grantsByTarget(workload.targets.size())
    {
        for (size_t i = 0; i < scenario.domains; ++i) {
            Dispatcher::Options options;
            options.host = std::to_string(i);
            options.handOverEnabled = scenario.handOverEnabled;
            options.holderTimeout = std::chrono::hours(1000);
            this->dispatchers.push_back(std::make_unique<Dispatcher>(options, (i + 1) << 40, this->instant()));
        }
    }

    Statistics run()
    {
        this->announceTargets();
        this->tickDispatchers();
        for (size_t i = 0; i < this->workload.requests.size(); ++i)
            this->events.schedule(this->workload.requests[i].arrival, [this, i] { this->arrive(i); });
        this->events.run();
        auto statistics = this->collector.statistics();
        for (size_t i = 0; i < this->grantsByTarget.size(); ++i) {
            if (this->workload.targets[i].failing)
                statistics.maximumGrantsToFailing = std::max(statistics.maximumGrantsToFailing, this->grantsByTarget[i]);
        }
        return statistics;
    }

private:
    [[nodiscard]] Instant instant() const { return Instant {} + Microseconds(this->events.now()); }
    [[nodiscard]] bool isOver() const { return this->finished >= this->workload.requests.size(); }

    void announceTargets()
    {
        for (size_t i = 0; i < this->workload.targets.size(); ++i) {
            const auto& target = this->workload.targets[i];
            Membership::TargetReport report;
            report.identity = std::to_string(i);
            report.pool = "pool";
            report.capacity = { this->scenario.slots * 1000, 0, 0 };
            if (target.domain == 0 && this->scenario.firstDomainIsolated)
                report.state = Membership::TargetState::Leaving;
            this->dispatchers[target.domain]->updateTarget(report, this->instant());
            this->execute(target.domain);
        }
        if (!this->isOver())
            this->events.schedule(this->events.now() + 1'000'000, [this] { this->announceTargets(); });
    }

    void tickDispatchers()
    {
        for (size_t i = 0; i < this->dispatchers.size(); ++i) {
            this->dispatchers[i]->tick(this->instant());
            this->execute(i);
        }
        if (!this->isOver())
            this->events.schedule(this->events.now() + 10'000, [this] { this->tickDispatchers(); });
    }

    void arrive(size_t index)
    {
        const auto& arriving = this->workload.requests[index];
        GrantRequest request;
        request.id = { "entry", index };
        request.pool = "pool";
        request.kind = "kind";
        request.team = arriving.greedy ? "greedy" : "others";
        request.teamLimit = arriving.greedy ? this->scenario.greedyLimit : 0;
        request.queueLimit = 1'000'000;
        request.waitLimit = this->scenario.waitLimit;
        ++this->collector.messageCount;
        this->events.schedule(this->events.now() + this->scenario.localDelay.count() / 2, [this, request, domain = arriving.domain] {
            this->dispatchers[domain]->request(request, this->instant());
            this->execute(domain);
        });
    }

    void execute(size_t domain)
    {
        for (const auto& command : this->dispatchers[domain]->takeCommands())
            std::visit([&](const auto& alternative) { this->handle(domain, alternative); }, command);
    }

    void handle(size_t domain, const Grant& grant)
    {
        // The four messages are the grant, the work, its answer and the release.
        this->collector.messageCount += 4;
        auto index = grant.request.number;
        auto targetIndex = std::stoul(grant.target);
        const auto& target = this->workload.targets[targetIndex];
        ++this->grantsByTarget[targetIndex];
        const auto& request = this->workload.requests[index];
        auto delay = request.domain == target.domain ? this->scenario.localDelay : this->scenario.remoteDelay;
        auto runTime = target.failing ? 1000 : static_cast<int64_t>(request.work * target.slowness);
        this->events.schedule(this->events.now() + delay.count() / 2 + delay.count() + runTime, [this, domain, grant, runTime, index, delay, failing = target.failing] {
            this->events.schedule(this->events.now() + delay.count(), [this, index, failing] { this->finish(index, failing); });
            this->events.schedule(this->events.now() + delay.count(), [this, domain, grant, runTime, failing] {
                this->dispatchers[domain]->release({ grant.number, failing ? WorkResult::Failed : WorkResult::Succeeded, runTime }, this->instant());
                this->execute(domain);
            });
        });
    }

    void finish(size_t index, bool failed)
    {
        ++this->finished;
        if (failed)
            ++this->collector.failed;
        else
            this->collector.complete(index, this->events.now());
    }

    void handle(size_t, const Refusal&)
    {
        ++this->finished;
        ++this->collector.refused;
        ++this->collector.messageCount;
    }

    void handle(size_t domain, const SendToDispatcher& command)
    {
        ++this->collector.messageCount;
        auto destination = std::stoul(command.host);
        if (const auto* result = std::get_if<HandOverResult>(&command.message); result && result->returned > 0)
            this->collector.wastedMessageCount += 2;
        this->events.schedule(this->events.now() + this->scenario.remoteDelay.count(), [this, domain, destination, message = command.message] {
            if (const auto* handOver = std::get_if<HandOver>(&message))
                this->dispatchers[destination]->receiveHandOver(*handOver, this->instant());
            else
                this->dispatchers[destination]->receiveHandOverResult(std::to_string(domain), std::get<HandOverResult>(message), this->instant());
            this->execute(destination);
        });
    }

    void handle(size_t domain, const PoolAvailability& availability)
    {
        for (size_t other = 0; other < this->dispatchers.size(); ++other) {
            if (other == domain)
                continue;
            ++this->collector.messageCount;
            this->events.schedule(this->events.now() + this->scenario.remoteDelay.count(), [this, other, availability] {
                this->dispatchers[other]->updateAvailability(availability, this->instant());
                this->execute(other);
            });
        }
    }

    const Scenario& scenario;
    Workload workload;
    EventQueue events;
    StatisticsCollector collector;
    std::vector<uint64_t> grantsByTarget;
    std::vector<std::unique_ptr<Dispatcher>> dispatchers;
    size_t finished { 0 };
};

}

Statistics runDispatchers(const Scenario& scenario)
{
    return DispatcherModel(scenario).run();
}

}
