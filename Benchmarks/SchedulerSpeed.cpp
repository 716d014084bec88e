#include <LibBase/Random.h>
#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Measures what the decisions of a dispatcher cost per task start, while a constant number of jobs waits: submissions, answers of
// targets, renewals, ticks and the choice of targets. Targets are simulated; what they do is not measured.
using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;

namespace {

constexpr size_t targetCount = 117;
constexpr size_t entryCount = 15;
constexpr Milliseconds tickInterval { 20 };
constexpr Milliseconds renewalInterval { 250 };
constexpr int64_t milliCoresPerCore = 1000;

struct Kind {
    uint32_t tasks;
    Milliseconds::rep work;
    unsigned perMille;
};
constexpr std::array<Kind, 3> kinds { { { 8, 51, 244 }, { 2, 170, 712 }, { 4, 760, 44 } } };

struct SimulatedTarget {
    Membership::TargetReport report;
    std::map<RunId, Instant> runs;
    std::vector<EndedRun> ended;
    uint64_t lastEnd { 0 };
    std::optional<HoldOrder> hold;
    Instant holdAt {};
};

class Simulation {
public:
    Simulation(size_t waitingJobs, TaskScheduler::Options options)
        : scheduler(options)
        , waitingJobs(waitingJobs)
    {
        for (size_t i = 0; i < targetCount; ++i) {
            auto& report = this->targets[i].report;
            report.identity = "executor-" + std::to_string(1000 + i);
            report.incarnation = "1";
            report.pool = "pool";
            report.address = "127.0.0.1:" + std::to_string(10'000 + i);
            report.kind = i % 2 == 0 ? "small" : "large";
            report.capacity = Catalog::Resources { (i % 2 == 0 ? 16 : 24) * milliCoresPerCore, int64_t(1) << 36, 0 };
            report.sequence = 1;
            this->scheduler.onReport(report, this->now);
            this->targetNumbers[report.identity] = i;
        }
        this->scheduler.activate(10, this->now);
    }

    void run(Milliseconds duration)
    {
        for (auto end = this->now + duration; this->now < end; this->now += Milliseconds(1))
            this->step();
    }

    void resetMeasurement()
    {
        this->starts = 0;
        this->busy = {};
    }

    [[nodiscard]] double microsecondsPerStart() const { return std::chrono::duration<double, std::micro>(this->busy).count() / static_cast<double>(this->starts); }

    size_t starts { 0 };

private:
    template <typename Call>
    auto measure(const Call& call)
    {
        auto begin = std::chrono::steady_clock::now();
        struct Sum {
            ~Sum() { total += std::chrono::steady_clock::now() - begin; }
            std::chrono::steady_clock::duration& total;
            std::chrono::steady_clock::time_point begin;
        } sum { this->busy, begin };
        return call();
    }

    void submitOne()
    {
        auto point = this->random() % 1000;
        size_t number = point < kinds[0].perMille ? 0 : (point < kinds[0].perMille + kinds[1].perMille ? 1 : 2);
        Submission submission;
        submission.job = "job-" + std::to_string(this->submitted++);
        submission.queue = "queue-" + std::to_string(number);
        submission.pool = "pool";
        submission.priority = static_cast<int64_t>(number);
        submission.taskCount = kinds[number].tasks;
        submission.needs = Catalog::Resources { (4 + static_cast<int64_t>(this->random() % 9)) * milliCoresPerCore, 0, 0 };
        submission.estimateMilliseconds = kinds[number].work * static_cast<int64_t>(60 + this->random() % 81) / 100;
        submission.payload = std::string(300, 'x');
        submission.untilObjective = kinds[number].work * 16 / 10 + 60;
        submission.untilDeadline = 600'000;
        auto entry = "entry-" + std::to_string(this->submitted % entryCount);
        this->jobs[entry].push_back(submission.job);
        this->entries[submission.job] = entry;
        this->unstarted.insert(submission.job);
        this->measure([&] { this->scheduler.submit(entry, submission, this->now); });
    }

    void refill()
    {
        while (this->unstarted.size() < this->waitingJobs)
            this->submitOne();
    }

    void executeEffects()
    {
        auto effects = this->measure([&] { return this->scheduler.takeEffects(this->now); });
        for (const auto& order : effects.orders.starts) {
            auto& target = this->targets[this->targetNumbers.at(order.instance.identity)];
            auto work = Milliseconds(40 + static_cast<int64_t>(this->random() % 300));
            target.runs.emplace(order.run, this->now + work);
            ++this->starts;
            this->unstarted.erase(order.run.task.job);
            this->measure([&] { this->scheduler.onStartAnswer(order.instance, order.run, Acknowledged { this->clock() }, this->now); });
        }
        for (const auto& order : effects.orders.holds) {
            auto& target = this->targets[this->targetNumbers.at(order.instance.identity)];
            target.hold = order;
            target.holdAt = this->now;
            std::erase_if(target.ended, [&](const auto& end) { return end.sequence <= order.lastEndSeen; });
        }
        for (const auto& notice : effects.notices) {
            auto& list = this->jobs[this->entries.at(notice.outcome.job)];
            std::erase(list, notice.outcome.job);
            this->entries.erase(notice.outcome.job);
        }
    }

    [[nodiscard]] int64_t clock() const { return std::chrono::duration_cast<Milliseconds>(this->now.time_since_epoch()).count(); }

    void answerHolds()
    {
        for (auto& target : this->targets) {
            for (auto run = target.runs.begin(); run != target.runs.end();) {
                if (run->second > this->now) {
                    ++run;
                    continue;
                }
                target.ended.push_back(EndedRun { ++target.lastEnd, run->first, RunEnd::Done });
                run = target.runs.erase(run);
            }
            if (!target.hold || (target.ended.empty() && this->now < target.holdAt + target.hold->wait))
                continue;
            RunList list;
            list.clock = this->clock();
            list.incarnation = "1";
            for (const auto& [run, end] : target.runs)
                list.running.push_back(run);
            list.ended = target.ended;
            auto hold = *std::exchange(target.hold, std::nullopt);
            this->measure([&] { this->scheduler.onHoldAnswer(hold.instance, hold.number, list, this->now); });
            // As in an event loop that handles one answer at a time.
            this->executeEffects();
        }
    }

    void step()
    {
        this->answerHolds();
        this->refill();
        if (this->now >= this->nextTick) {
            this->nextTick = this->now + tickInterval;
            this->measure([&] { this->scheduler.tick(this->now); });
        }
        this->executeEffects();
        if (this->now < this->nextRenewal)
            return;
        this->nextRenewal = this->now + renewalInterval;
        for (const auto& entry : this->jobs) {
            this->measure([&] {
                (void)this->scheduler.renew(entry.first, entry.second, this->now);
                return this->scheduler.loads();
            });
            this->executeEffects();
        }
    }

    TaskScheduler scheduler;
    size_t waitingJobs { 0 };
    Random random { 1 };
    Instant now { std::chrono::hours(1) };
    Instant nextTick {};
    Instant nextRenewal {};
    std::array<SimulatedTarget, targetCount> targets;
    std::map<std::string, size_t> targetNumbers;
    std::map<std::string, std::vector<std::string>> jobs;
    std::map<std::string, std::string> entries;
    size_t submitted { 0 };
    /// The jobs of which no task has started.
    std::set<std::string> unstarted;
    std::chrono::steady_clock::duration busy {};
};

}

// bench-scheduler [sharing|separating]
int main(int argc, char** argv)
{
    TaskScheduler::Options options;
    std::string_view rule = argc > 1 ? argv[1] : "";
    options.shareCapacity = rule == "sharing";
    options.separateInterfering = rule == "separating";
    std::printf("%10s %10s %14s\n", "waiting", "starts", "us per start");
    for (size_t waiting : { 10, 100, 1'000, 5'000 }) {
        Simulation simulation(waiting, options);
        simulation.run(Milliseconds(1'000));
        simulation.resetMeasurement();
        simulation.run(Milliseconds(3'000));
        std::printf("%10zu %10zu %14.1f\n", waiting, simulation.starts, simulation.microsecondsPerStart());
    }
    return 0;
}
