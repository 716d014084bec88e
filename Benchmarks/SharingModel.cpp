#include "SharingModel.h"
#include "SimulatedTargets.h"
#include <algorithm>
#include <cmath>
#include <memory>
#include <numbers>
#include <random>
#include <unordered_map>

namespace Sassafrasshift::Benchmarks {

using namespace Scheduler;

static constexpr size_t targetCount = 117;
static constexpr std::array<int64_t, 3> targetCores { 16, 16, 24 };
static constexpr Milliseconds wave { 17'000 };
static constexpr double waveHeight { 0.55 };
static constexpr Milliseconds timeLimit { 1500 };
static constexpr double objectiveStretch { 1.6 };
static constexpr double objectiveMilliseconds { 60 };
static constexpr double estimateError { 0.4 };
// Jobs of the first seconds are not counted: the dispatcher does not know the speeds of the kinds yet.
static constexpr Milliseconds warmUp { 3000 };
static constexpr Milliseconds transit { 1 };
static constexpr Milliseconds renewalInterval { 250 };
static constexpr Milliseconds step { 1 };

namespace {

struct QueueLoad {
    double share;
    uint32_t tasks;
    double runMilliseconds;
};

// Average arrivals per second over the cluster, as in docs/design/005-overload-and-evacuation.md.
constexpr std::array<QueueLoad, queueCount> queueLoads { QueueLoad { 181, 8, 51 }, QueueLoad { 529, 2, 170 }, QueueLoad { 33, 4, 760 } };

class Player {
public:
    Player(const std::vector<RecordedJob>& load, const std::array<double, 3>& speeds, TaskScheduler::Options options);
    Result play();

private:
    struct Target {
        SimulatedTarget target;
        double speed { 1 };
        std::vector<std::pair<HoldOrder, Instant>> holds;
        size_t runs { 0 };
    };

    void submitArrivals();
    void answerHolds(Target&);
    void executeEffects();
    void renew();
    [[nodiscard]] bool isCounted(const RecordedJob& job) const { return job.arrival >= warmUp; }

    const std::vector<RecordedJob>& load;
    TaskScheduler scheduler;
    std::unordered_map<std::string, Target> targets;
    std::multimap<Instant, std::function<void()>> events;
    Instant begin { std::chrono::hours(1) };
    Instant now { begin };
    size_t nextJob { 0 };
    std::vector<Instant> endedAt;
    std::vector<bool> isOpen;
    Result result;
};

Player::Player(const std::vector<RecordedJob>& recorded, const std::array<double, 3>& speeds, TaskScheduler::Options options)
    : load(recorded)
    , scheduler(options)
    , endedAt(recorded.size(), Instant::max())
    , isOpen(recorded.size(), false)
{
    this->scheduler.activate(1, this->now);
    for (size_t i = 0; i < targetCount; ++i) {
        auto kind = i % targetCores.size();
        auto identity = "target-" + std::to_string(i);
        Target target { SimulatedTarget(identity, Catalog::Resources { targetCores[kind] * 1000, int64_t { 1 } << 30, 0 }), speeds[kind], {} };
        auto report = target.target.report();
        report.kind = "kind-" + std::to_string(kind);
        this->scheduler.onReport(report, this->now);
        this->targets.emplace(identity, std::move(target));
    }
}

void Player::submitArrivals()
{
    for (; this->nextJob < this->load.size() && this->begin + this->load[this->nextJob].arrival <= this->now; ++this->nextJob) {
        const auto& job = this->load[this->nextJob];
        Submission submission;
        submission.job = std::to_string(this->nextJob);
        submission.queue = "queue-" + std::to_string(job.queue);
        submission.pool = "pool";
        submission.priority = static_cast<int64_t>(job.queue);
        submission.taskCount = job.tasks;
        submission.needs = Catalog::Resources { job.milliCores, 0, 0 };
        submission.estimateMilliseconds = job.estimateMilliseconds;
        submission.maximumFailures = 3;
        submission.untilDeadline = timeLimit.count();
        submission.untilObjective = static_cast<Milliseconds::rep>(objectiveStretch * static_cast<double>(job.estimateMilliseconds) + objectiveMilliseconds);
        submission.originDomain = "domain-" + std::to_string(job.origin);
        this->isOpen[this->nextJob] = true;
        this->scheduler.submit("entry", submission, this->now);
    }
}

// A target answers a hold order once a run has ended, or after the wait that the order allows.
void Player::answerHolds(Target& target)
{
    bool hasEnds = target.target.running().size() < target.runs;
    target.runs = target.target.running().size();
    std::erase_if(target.holds, [&](const auto& hold) {
        if (!hasEnds && this->now < hold.second)
            return false;
        auto answer = target.target.hold(hold.first, this->now);
        this->events.emplace(this->now + transit, [this, answer, instance = hold.first.instance, number = hold.first.number] { this->scheduler.onHoldAnswer(instance, number, answer, this->now); });
        return true;
    });
}

void Player::executeEffects()
{
    auto effects = this->scheduler.takeEffects(this->now);
    for (const auto& order : effects.orders.starts) {
        this->events.emplace(this->now + transit, [this, order] {
            auto& target = this->targets.at(order.instance.identity);
            const auto& job = this->load[std::stoul(order.run.task.job)];
            auto answer = target.target.start(order, Catalog::Resources { job.milliCores, 0, 0 }, Milliseconds(std::max<int64_t>(1, std::llround(job.runMilliseconds / target.speed))), false, this->now);
            target.runs = target.target.running().size();
            this->events.emplace(this->now + transit, [this, order, answer] { this->scheduler.onStartAnswer(order.instance, order.run, answer, this->now); });
        });
    }
    for (const auto& order : effects.orders.stops) {
        this->events.emplace(this->now + transit, [this, order] {
            auto answer = this->targets.at(order.instance.identity).target.stop(order, this->now);
            this->events.emplace(this->now + transit, [this, order, answer] { this->scheduler.onStopAnswer(order.instance, order.run, answer, this->now); });
        });
    }
    for (const auto& order : effects.orders.holds) {
        this->events.emplace(this->now + transit, [this, order] {
            auto& target = this->targets.at(order.instance.identity);
            auto answer = target.target.hold(order, this->now);
            const auto* list = std::get_if<RunList>(&answer);
            bool isNew = list && std::any_of(list->ended.begin(), list->ended.end(), [&](const auto& end) { return end.sequence > order.lastEndSeen; });
            target.holds.emplace_back(order, isNew ? this->now : this->now + order.wait);
        });
    }
    for (const auto& notice : effects.notices) {
        auto number = std::stoul(notice.outcome.job);
        this->isOpen[number] = false;
        if (notice.outcome.end == JobEnd::Completed)
            this->endedAt[number] = this->now + transit;
        else if (this->isCounted(this->load[number]))
            ++this->result.refused;
    }
}

void Player::renew()
{
    std::vector<std::string> open;
    for (size_t i = 0; i < this->nextJob; ++i) {
        if (this->isOpen[i])
            open.push_back(std::to_string(i));
    }
    (void)this->scheduler.renew("entry", open, this->now);
}

Result Player::play()
{
    auto end = this->begin + (this->load.empty() ? Milliseconds(0) : this->load.back().arrival) + 2 * timeLimit;
    for (; this->now < end; this->now += step) {
        for (auto& [identity, target] : this->targets) {
            target.target.advance(this->now);
            this->answerHolds(target);
        }
        while (!this->events.empty() && this->events.begin()->first <= this->now) {
            auto action = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            action();
        }
        this->submitArrivals();
        if ((this->now - this->begin) % renewalInterval == Instant::duration(0))
            this->renew();
        if ((this->now - this->begin) % Milliseconds(10) == Instant::duration(0))
            this->scheduler.tick(this->now);
        this->executeEffects();
    }
    std::array<std::vector<double>, queueCount> works;
    for (const auto& job : this->load)
        works[job.queue].push_back(job.work());
    std::array<std::array<double, 2>, queueCount> bounds {};
    for (size_t queue = 0; queue < queueCount; ++queue) {
        auto& sorted = works[queue];
        std::sort(sorted.begin(), sorted.end());
        if (!sorted.empty())
            bounds[queue] = { sorted[sorted.size() * 9 / 10], sorted[sorted.size() * 7 / 10] };
    }
    for (size_t i = 0; i < this->load.size(); ++i) {
        const auto& job = this->load[i];
        if (!this->isCounted(job))
            continue;
        auto objective = Milliseconds(static_cast<Milliseconds::rep>(objectiveStretch * job.runMilliseconds + objectiveMilliseconds));
        bool isServed = this->endedAt[i] != Instant::max() && this->endedAt[i] <= this->begin + job.arrival + objective;
        if (this->endedAt[i] != Instant::max() && !isServed)
            ++this->result.late;
        auto add = [&](Served& served) {
            served.asked += job.work();
            ++served.jobs;
            if (isServed) {
                served.inObjective += job.work();
                ++served.jobsInObjective;
            }
        };
        add(this->result.all);
        add(this->result.queues[job.queue]);
        add(this->result.origins[job.origin]);
        if (job.work() >= bounds[job.queue][0])
            add(this->result.largestTenth[job.queue]);
        else if (job.work() >= bounds[job.queue][1])
            add(this->result.nextFifth[job.queue]);
    }
    return this->result;
}

}

std::vector<RecordedJob> recordLoad(const LoadOptions& options)
{
    std::mt19937_64 random(options.seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    // Run times differ by so much that the longest task still ends within the time limit on the slowest target.
    static constexpr double spread = 0.25;
    std::uniform_real_distribution<double> runTimeFactor(1 - spread, 1 + spread);
    double total = 0;
    for (const auto& queue : queueLoads)
        total += queue.share;
    std::vector<RecordedJob> load;
    double time = 0;
    auto peak = options.jobsPerSecond * (1 + waveHeight) / 1000;
    while (true) {
        time += -std::log(1 - uniform(random)) / peak;
        if (time >= static_cast<double>(options.duration.count()))
            return load;
        auto phase = 2 * std::numbers::pi * time / static_cast<double>(wave.count());
        if (uniform(random) * (1 + waveHeight) > 1 + waveHeight * std::sin(phase))
            continue;
        RecordedJob job;
        job.arrival = Milliseconds(static_cast<Milliseconds::rep>(time));
        auto draw = uniform(random) * total;
        while (job.queue + 1 < queueCount && draw >= queueLoads[job.queue].share)
            draw -= queueLoads[job.queue++].share;
        const auto& queue = queueLoads[job.queue];
        auto origin = uniform(random) * (options.firstOriginFactor + originCount - 1);
        job.origin = origin < options.firstOriginFactor ? 0 : 1 + static_cast<size_t>(origin - options.firstOriginFactor);
        job.tasks = 1 + static_cast<uint32_t>(uniform(random) * (2 * queue.tasks - 1));
        job.milliCores = 4000 + 1000 * static_cast<int64_t>(uniform(random) * 9);
        job.runMilliseconds = queue.runMilliseconds * runTimeFactor(random);
        job.estimateMilliseconds = std::max<int64_t>(1, std::llround(job.runMilliseconds * (1 + estimateError * (2 * uniform(random) - 1))));
        load.push_back(job);
    }
}

Result play(const std::vector<RecordedJob>& load, const std::array<double, 3>& speeds, TaskScheduler::Options options)
{
    return Player(load, speeds, options).play();
}

}
