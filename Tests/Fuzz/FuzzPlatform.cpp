#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <platform/Decode.h>
#include <platform/Orders.h>
#include <string>
#include <utility>
#include <vector>

using namespace Sassafrasshift;
using namespace std::chrono_literals;
using Transport::HttpResponse;

namespace {

// Decodes each line of the input by its first character, and hands what was decoded to a dispatcher.
class Feeder {
public:
    Feeder()
        : scheduler(Scheduler::TaskScheduler::Options {})
    {
        this->scheduler.activate(1, this->now, [](const auto&) { return true; });
        this->scheduler.setKnowsAllTargets(true);
    }

    void feed(std::string_view line)
    {
        std::string body(line.substr(1));
        switch (line.front()) {
        case 'R':
            if (auto report = Platform::decodeTargetReport("i-1", body))
                this->scheduler.onReport(*report, this->now);
            break;
        case 'J':
            if (auto job = Platform::decodeJob(body))
                this->submit(*job);
            break;
        case 'C':
            if (auto table = Platform::decodeConfiguration(body); table && !table->routes().empty())
                this->route = table->routes().front();
            break;
        case 'H':
            this->answerHolds(Platform::decodeHoldAnswer(HttpResponse { 200, {}, body }));
            break;
        case 'A':
            this->answerStarts(Platform::decodeOrderAnswer(HttpResponse { 200, {}, body }));
            break;
        case 'F':
            this->answerStarts(Platform::decodeOrderAnswer(HttpResponse { 409, {}, body }));
            break;
        default:
            break;
        }
        this->now += 20ms;
        this->scheduler.tick(this->now);
        this->collectOrders();
    }

private:
    void submit(const Scheduler::JobDescription& job)
    {
        static constexpr uint32_t maximumTasks = 8;
        const auto& step = job.steps.front();
        Scheduler::Submission submission;
        submission.job = "job";
        submission.pool = "s";
        submission.priority = this->route.priority;
        submission.taskCount = std::min(step.taskCount, maximumTasks);
        submission.needs = step.needs;
        submission.estimateMilliseconds = step.estimate.count();
        submission.maximumPerTarget = step.maximumPerTarget;
        submission.untilDeadline = this->route.timeoutMilliseconds;
        submission.untilObjective = static_cast<int64_t>(this->route.stretch * static_cast<double>(step.estimate.count())) + this->route.targetLatencyMilliseconds;
        this->scheduler.submit("entry", submission, this->now);
    }

    void collectOrders()
    {
        auto effects = this->scheduler.takeEffects(this->now);
        for (const auto& order : effects.orders.starts)
            (void)Platform::encodeOrder(order);
        for (const auto& order : effects.orders.stops)
            (void)Platform::encodeOrder(order);
        for (const auto& order : effects.orders.holds)
            (void)Platform::encodeOrder(order);
        auto append = [](auto& to, const auto& from) { to.insert(to.end(), from.begin(), from.end()); };
        append(this->starts, effects.orders.starts);
        append(this->holds, effects.orders.holds);
        (void)this->scheduler.loads();
    }

    void answerHolds(const Scheduler::HoldAnswer& answer)
    {
        for (const auto& order : std::exchange(this->holds, {}))
            this->scheduler.onHoldAnswer(order.instance, order.number, answer, this->now);
    }

    void answerStarts(const Scheduler::OrderAnswer& answer)
    {
        for (const auto& order : std::exchange(this->starts, {}))
            this->scheduler.onStartAnswer(order.instance, order.run, answer, this->now);
    }

    Scheduler::TaskScheduler scheduler;
    Instant now { 1h };
    Catalog::Route route;
    std::vector<Scheduler::StartOrder> starts;
    std::vector<Scheduler::HoldOrder> holds;
};

}

// Whatever the lines contain, no exception leaves a decoder, and no arithmetic on decoded values overflows.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    Feeder feeder;
    std::string_view rest(reinterpret_cast<const char*>(data), size);
    while (!rest.empty()) {
        auto line = rest.substr(0, rest.find('\n'));
        rest.remove_prefix(std::min(rest.size(), line.size() + 1));
        if (!line.empty())
            feeder.feed(line);
    }
    return 0;
}
