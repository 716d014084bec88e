// Measures the CPU time of a dispatcher per task start, by part, with real sockets on loopback. The targets, the entry host and the relays
// run in other threads. The dispatcher is wired as in Cluster/DispatchService, without its log lines.
//
//     bench-dispatch (direct | relayed) SECONDS [total]
//
// The measurement of the parts itself costs about 2 us per start. With "total", only the sum is measured.

#include "Cluster/OrderRelay.h"
#include "Cluster/OrderSender.h"
#include <LibScheduler/Dispatcher/EntryInbox.h>
#include <LibTransport/Codec.h>
#include <LibTransport/HttpServer.h>
#include <LibTransport/PeerHub.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <nlohmann/json.hpp>
#include <platform/Paths.h>
#include <set>
#include <string>
#include <thread>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Daemon;
using Json = nlohmann::json;

// The targets, and the load, of one failure domain of the loaded cluster; see docs/design/005-overload-and-evacuation.md.
static constexpr size_t targetCount = 117;
static constexpr size_t relayCount = 4;
static constexpr int jobsPerSecond = 470;
static constexpr int64_t coresPerTask = 8;
static constexpr Milliseconds tickInterval { 20 };
// As in DispatchService, where orders are relayed.
static constexpr Milliseconds relayedPassInterval { 3 };
static constexpr Milliseconds renewalInterval { 250 };
static constexpr Milliseconds warmUpTime { 3000 };

static bool measuresParts = true;

static const std::string dispatcherAddress = "127.0.51.1:7501";
// The jobs come through so many entry hosts.
static constexpr size_t entryCount = 45;

namespace {

double threadCpuMicroseconds(bool isMeasured = measuresParts)
{
    if (!isMeasured)
        return 0;
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// Adds the CPU time of the thread within the scope to a part; nested scopes are not counted in the outer one.
class PartScope {
public:
    explicit PartScope(double& part)
        : part(part)
        , outer(std::exchange(current, this))
        , start(threadCpuMicroseconds())
    {
    }

    ~PartScope()
    {
        auto elapsed = threadCpuMicroseconds() - this->start;
        this->part += elapsed - this->nested;
        current = this->outer;
        if (this->outer)
            this->outer->nested += elapsed;
    }

    PartScope(const PartScope&) = delete;
    PartScope& operator=(const PartScope&) = delete;

private:
    static thread_local PartScope* current;
    double& part;
    PartScope* outer;
    double start;
    double nested { 0 };
};

thread_local PartScope* PartScope::current = nullptr;

// A target that follows the order protocol as far as the dispatcher sees it. All targets share a thread.
class Target {
public:
    Target(Transport::EventLoop& loop, std::string identity, const std::string& address, int64_t cores)
        : loop(loop)
        , identity(std::move(identity))
        , address(address)
        , cores(cores)
        , startedAt(loop.now())
    {
        this->server = *Transport::HttpServer::create(loop, *Transport::Endpoint::parse(address), {}, [this](const auto& exchange) { this->handle(exchange); });
    }

    [[nodiscard]] Membership::TargetReport report() const
    {
        Membership::TargetReport report;
        report.identity = this->identity;
        report.incarnation = "1";
        report.pool = "pool";
        report.failureDomain = "north";
        report.address = this->address;
        report.capacity = Catalog::Resources { this->cores * 1000, 1 << 30, 0 };
        report.sequence = 1;
        return report;
    }

private:
    using Exchange = std::shared_ptr<Transport::HttpExchange>;

    void respond(const Exchange& exchange, int status, Json body)
    {
        body["clock_ms"] = std::chrono::duration_cast<Milliseconds>(this->loop.now() - this->startedAt).count() + 1;
        body["born"] = 1;
        exchange->respond(Transport::HttpResponse { status, { { "content-type", "application/json" } }, body.dump() });
    }

    void handle(const Exchange& exchange)
    {
        auto order = Json::parse(exchange->request().body);
        const auto& path = exchange->request().target;
        if (path == Platform::holdPath)
            return this->hold(exchange, order);
        auto task = order["task"].get<std::string>();
        if (path == Platform::stopPath)
            return this->respond(exchange, 200, Json::object());
        auto run = order["run"].get<uint64_t>();
        auto runTime = Milliseconds(std::atoi(order["spec"].get<std::string>().c_str()));
        this->runs[task] = Run { run, this->loop.after(runTime, [this, task] { this->end(task); }) };
        this->respond(exchange, 200, Json::object());
    }

    void hold(const Exchange& exchange, const Json& order)
    {
        auto lastSeen = order.value(std::string(Platform::lastEndField), uint64_t(0));
        std::erase_if(this->ended, [&](const auto& row) { return row[0].template get<uint64_t>() <= lastSeen; });
        auto wait = order.value("wait_ms", 0);
        if (!this->ended.empty() || wait == 0)
            return this->answerHold(exchange);
        this->waiting = exchange;
        this->waitTimer = this->loop.after(Milliseconds(wait), [this] { this->answerWaiting(); });
    }

    void answerHold(const Exchange& exchange)
    {
        auto running = Json::array();
        for (const auto& [task, run] : this->runs)
            running.push_back(Json::array({ task, run.number, "", 0 }));
        this->respond(exchange, 200, Json { { "running", running }, { "ended", this->ended } });
    }

    void answerWaiting()
    {
        if (auto exchange = std::exchange(this->waiting, nullptr))
            this->answerHold(exchange);
    }

    void end(const std::string& task)
    {
        auto run = std::move(this->runs.at(task));
        this->runs.erase(task);
        this->ended.push_back(Json::array({ this->nextEnd++, task, run.number, "done", "" }));
        this->answerWaiting();
    }

    struct Run {
        uint64_t number { 0 };
        std::unique_ptr<Transport::Timer> timer;
    };

    Transport::EventLoop& loop;
    std::string identity;
    std::string address;
    int64_t cores;
    Instant startedAt;
    std::unique_ptr<Transport::HttpServer> server;
    std::map<std::string, Run> runs;
    std::vector<Json> ended;
    uint64_t nextEnd { 1 };
    Exchange waiting;
    std::unique_ptr<Transport::Timer> waitTimer;
};

Membership::MemberRecord makeRecord(const std::string& address, bool isRelay)
{
    Membership::MemberRecord record;
    record.address = address;
    record.name = address;
    record.failureDomain = "north";
    record.incarnation = 1;
    record.isEntry = isRelay;
    record.relaysOrders = isRelay;
    return record;
}

// The parts of a cluster member that the benchmark needs.
struct Member {
    Member(const std::string& address, const Settings::ClusterSettings& settings, std::shared_ptr<Transport::EventLoop> sharedLoop = Transport::EventLoop::create())
        : loop(std::move(sharedLoop))
        , cluster(makeRecord(address, false), {}, {}, Random(1), loop->now())
        , context { settings, *loop, metrics, cluster, random, [this](const auto& to, const auto& message) { this->hub->send(*Transport::Endpoint::parse(to), Transport::encodeMessage(message)); } }
        , client(Transport::HttpClient::create(*loop, {}))
    {
    }

    void listen(const std::string& address, std::function<void(const std::string& from, const ClusterMessage&)> handle)
    {
        this->hub = *Transport::PeerHub::create(
            *this->loop, *Transport::Endpoint::parse(address), address,
            [this, handle](const auto& from, const auto& bytes) {
                ++this->batchesReceived;
                auto batch = Transport::decodeMessages<ClusterMessage>(bytes);
                for (const auto& message : batch->messages)
                    handle(from, message);
                return true;
            },
            [](std::string_view cause) { std::printf("refused a batch: %s\n", std::string(cause).c_str()); });
    }

    [[nodiscard]] uint64_t batchesSent() const
    {
        uint64_t batches = 0;
        for (const auto& [endpoint, link] : this->hub->openLinks())
            batches += link->counters().batchesSent;
        return batches;
    }

    std::shared_ptr<Transport::EventLoop> loop;
    uint64_t batchesReceived { 0 };
    Telemetry::Metrics metrics;
    Membership::Cluster cluster;
    Random random { 1 };
    ClusterContext context;
    std::unique_ptr<Transport::HttpClient> client;
    std::unique_ptr<Transport::PeerHub> hub;
};

// Entry hosts that submit jobs of the mix of the requirements, and count the outcomes. All share a thread.
class Entries {
public:
    explicit Entries(const Settings::ClusterSettings& settings)
    {
        for (size_t i = 0; i < entryCount; ++i) {
            auto address = "127.0.52." + std::to_string(i + 1) + ":7501";
            this->members.emplace_back(address, settings, this->loop);
            this->members.back().listen(address, [this, i](const auto&, const auto& message) { this->handle(i, message); });
        }
        this->loop->defer([this] { this->renewRepeatedly(); });
        this->timer = this->loop->after(warmUpTime / 2, [this] { this->submitDue(); });
    }

    std::shared_ptr<Transport::EventLoop> loop { Transport::EventLoop::create() };
    std::atomic<uint64_t> completed { 0 };
    std::atomic<uint64_t> others { 0 };

private:
    void handle(size_t number, const ClusterMessage& message)
    {
        if (const auto* outcome = std::get_if<Scheduler::JobOutcome>(&message)) {
            ++(outcome->end == Scheduler::JobEnd::Completed ? this->completed : this->others);
            this->open[number].erase(outcome->job);
        } else if (const auto* request = std::get_if<RenewalRequest>(&message)) {
            this->renew(number, request->number);
        }
    }

    [[nodiscard]] Milliseconds::rep clock() const { return std::chrono::duration_cast<Milliseconds>(this->loop->now().time_since_epoch()).count(); }

    void submitDue()
    {
        if (this->startedAt == Instant {})
            this->startedAt = this->loop->now();
        auto elapsed = std::chrono::duration_cast<Milliseconds>(this->loop->now() - this->startedAt).count();
        for (; this->submitted < static_cast<uint64_t>(elapsed) * jobsPerSecond / 1000; ++this->submitted)
            this->submit();
        this->timer = this->loop->after(Milliseconds(1), [this] { this->submitDue(); });
    }

    void submit()
    {
        struct Kind {
            unsigned percent;
            int64_t priority;
            uint32_t tasks;
            int64_t runTime;
        };
        static constexpr std::array<Kind, 3> kinds { Kind { 24, 0, 8, 51 }, Kind { 71, 1, 2, 170 }, Kind { 5, 2, 4, 760 } };
        auto draw = this->random() % 100;
        const auto& kind = draw < kinds[0].percent ? kinds[0] : draw < kinds[0].percent + kinds[1].percent ? kinds[1]
                                                                                                           : kinds[2];
        Scheduler::Submission submission;
        submission.job = "queue-" + std::to_string(kind.priority) + "/job-000000" + std::to_string(this->submitted);
        submission.queue = "queue-" + std::to_string(kind.priority);
        submission.pool = "pool";
        submission.priority = kind.priority;
        submission.taskCount = kind.tasks;
        submission.needs = Catalog::Resources { coresPerTask * 1000, 1 << 10, 0 };
        submission.estimateMilliseconds = kind.runTime;
        submission.payload = std::to_string(kind.runTime);
        submission.maximumFailures = 3;
        submission.untilDeadline = 1500;
        submission.untilObjective = kind.runTime * 2;
        submission.sentAt = this->clock();
        submission.entryIncarnation = 1;
        auto entry = this->random() % entryCount;
        this->open[entry].insert(submission.job);
        this->members[entry].context.send(dispatcherAddress, submission);
    }

    void renewRepeatedly()
    {
        // One entry host after the other, each once in the interval.
        this->renew(this->nextRenewal++ % entryCount, 0);
        this->renewalTimer = this->loop->after(renewalInterval / entryCount, [this] { this->renewRepeatedly(); });
    }

    void renew(size_t number, uint64_t request)
    {
        Scheduler::RenewSubmissions renewal;
        renewal.jobs.assign(this->open[number].begin(), this->open[number].end());
        renewal.sentAt = this->clock();
        renewal.entryIncarnation = 1;
        renewal.answeredRequest = request;
        this->members[number].context.send(dispatcherAddress, renewal);
    }

    Instant startedAt {};
    uint64_t submitted { 0 };
    Random random { 1 };
    std::deque<Member> members;
    std::array<std::set<std::string>, entryCount> open;
    size_t nextRenewal { 0 };
    std::unique_ptr<Transport::Timer> timer;
    std::unique_ptr<Transport::Timer> renewalTimer;
};

struct Parts {
    double submissions { 0 };
    double selection { 0 };
    double orders { 0 };
    double answers { 0 };
    double messages { 0 };
    double tick { 0 };
};

class Dispatcher {
public:
    Dispatcher(const Settings::ClusterSettings& settings, const std::vector<Membership::TargetReport>& reports, std::vector<std::string> relays)
        : member(dispatcherAddress, settings)
        , relays(std::move(relays))
        , sender(member.context, *member.client, this->makeHandlers())
        , scheduler(makeOptions(settings))
    {
        this->member.listen(dispatcherAddress, [this](const auto& from, const auto& message) { this->handle(from, message); });
        auto now = this->member.loop->now();
        this->home.begin("", 1, now);
        this->scheduler.activate(1, now);
        this->scheduler.setKnowsAllTargets(true);
        for (const auto& report : reports)
            this->scheduler.onReport(report, now);
        this->member.loop->defer([this] { this->tick(); });
    }

    Member member;
    Parts parts;
    uint64_t starts { 0 };
    uint64_t holds { 0 };
    uint64_t iterations { 0 };

private:
    static Scheduler::TaskScheduler::Options makeOptions(const Settings::ClusterSettings& settings)
    {
        Scheduler::TaskScheduler::Options options;
        options.leases.answerTimeout = OrderSender::holdAnswerTimeout(settings);
        return options;
    }

    OrderSender::AnswerHandlers makeHandlers()
    {
        OrderSender::AnswerHandlers handlers;
        handlers.onHoldAnswer = [this](const auto& instance, uint64_t number, const auto& answer) {
            PartScope scope(this->parts.answers);
            this->scheduler.onHoldAnswer(instance, number, answer, this->member.loop->now());
            this->scheduleEffects();
        };
        handlers.onStartAnswer = [this](const auto& instance, const auto& run, const auto& answer) {
            PartScope scope(this->parts.answers);
            this->scheduler.onStartAnswer(instance, run, answer, this->member.loop->now());
            this->scheduleEffects();
        };
        handlers.onStopAnswer = [this](const auto& instance, const auto& run, const auto& answer) {
            PartScope scope(this->parts.answers);
            this->scheduler.onStopAnswer(instance, run, answer, this->member.loop->now());
            this->scheduleEffects();
        };
        return handlers;
    }

    void handle(const std::string& from, const ClusterMessage& message)
    {
        auto now = this->member.loop->now();
        if (const auto* answers = std::get_if<Scheduler::RelayedAnswers>(&message)) {
            PartScope scope(this->parts.answers);
            this->sender.onMessage(from, *answers);
            return;
        }
        PartScope scope(this->parts.submissions);
        if (const auto* submission = std::get_if<Scheduler::Submission>(&message)) {
            (void)this->inbox.submit(this->home, this->scheduler, from, *submission, now);
        } else if (const auto* renewal = std::get_if<Scheduler::RenewSubmissions>(&message)) {
            if (auto unknown = this->inbox.renew(this->home, this->scheduler, from, *renewal, now))
                this->member.context.send(from, RenewResponse { std::move(*unknown), this->scheduler.loads(), 1, 1 });
        }
        this->scheduleEffects();
    }

    void scheduleEffects()
    {
        if (std::exchange(this->effectsScheduled, true))
            return;
        auto execute = [this] {
            this->effectsScheduled = false;
            this->executeEffects();
        };
        auto wait = std::chrono::ceil<Milliseconds>(this->nextPass - this->member.loop->now());
        if (wait.count() > 0)
            this->passTimer = this->member.loop->after(wait, execute);
        else
            this->member.loop->defer(execute);
    }

    void executeEffects()
    {
        ++this->iterations;
        if (this->member.context.settings.usesOrderRelays())
            this->nextPass = this->member.loop->now() + relayedPassInterval;
        Scheduler::TaskScheduler::Effects effects;
        {
            PartScope scope(this->parts.selection);
            effects = this->scheduler.takeEffects(this->member.loop->now());
        }
        this->starts += effects.orders.starts.size();
        this->holds += effects.orders.holds.size();
        {
            PartScope scope(this->parts.orders);
            this->sender.send(std::move(effects.orders));
        }
        PartScope scope(this->parts.messages);
        for (const auto& answer : this->home.takeAnswers())
            this->member.context.send(answer.to, answer.placement);
        for (const auto& notice : effects.notices)
            this->member.context.send(notice.entry, notice.outcome);
        for (const auto& [entry, number] : effects.renewalRequests)
            this->member.context.send(entry, RenewalRequest { number });
    }

    void tick()
    {
        PartScope scope(this->parts.tick);
        auto now = this->member.loop->now();
        std::vector<Membership::MemberRecord> records;
        for (const auto& relay : this->relays) {
            records.push_back(makeRecord(relay, true));
            records.back().heartbeat = ++this->heartbeat;
        }
        this->member.cluster.mergeRecords(records, now);
        this->home.tick(this->scheduler, now);
        this->sender.tick("", this->scheduler.targetCount(), now);
        this->scheduler.tick(now);
        this->executeEffects();
        this->timer = this->member.loop->after(tickInterval, [this] { this->tick(); });
    }

    std::vector<std::string> relays;
    OrderSender sender;
    Scheduler::TaskScheduler scheduler;
    Scheduler::EntryInbox inbox { Milliseconds(250), 1 };
    Scheduler::JobHome home { {} };
    std::unique_ptr<Transport::Timer> timer;
    std::unique_ptr<Transport::Timer> passTimer;
    Instant nextPass {};
    bool effectsScheduled { false };
    uint64_t heartbeat { 0 };
};

// What has been measured at one time.
struct Snapshot {
    Parts parts;
    double total { 0 };
    uint64_t starts { 0 };
    uint64_t holds { 0 };
    uint64_t iterations { 0 };
    uint64_t completed { 0 };
    uint64_t batchesSent { 0 };
    uint64_t batchesReceived { 0 };
};

void print(const Snapshot& from, const Snapshot& to, int seconds, uint64_t otherEnds)
{
    auto starts = static_cast<double>(to.starts - from.starts);
    double counted = 0;
    auto part = [&](const char* name, double Parts::*member) {
        auto microseconds = to.parts.*member - from.parts.*member;
        counted += microseconds;
        std::printf("%-34s %7.1f us per start\n", name, microseconds / starts);
    };
    std::printf("%.0f batches sent and %.0f received per second\n", static_cast<double>(to.batchesSent - from.batchesSent) / seconds, static_cast<double>(to.batchesReceived - from.batchesReceived) / seconds);
    std::printf("%.0f starts, %.0f holds, %.0f jobs and %.0f passes per second; %llu jobs did not complete\n", starts / seconds, static_cast<double>(to.holds - from.holds) / seconds, static_cast<double>(to.completed - from.completed) / seconds, static_cast<double>(to.iterations - from.iterations) / seconds, static_cast<unsigned long long>(otherEnds));
    auto total = to.total - from.total;
    if (measuresParts) {
        part("submissions and renewals", &Parts::submissions);
        part("selection", &Parts::selection);
        part("orders", &Parts::orders);
        part("answers", &Parts::answers);
        part("messages to entry hosts", &Parts::messages);
        part("tick", &Parts::tick);
        std::printf("%-34s %7.1f us per start\n", "sockets, decoding and event loop", (total - counted) / starts);
    }
    std::printf("%-34s %7.1f us per start, %.3f core\n", "total", total / starts, total / 1e6 / seconds);
}

}

int main(int argumentCount, char** arguments)
{
    measuresParts = argumentCount == 3;
    if (argumentCount < 3 || argumentCount > 4 || (argumentCount == 4 && std::string_view(arguments[3]) != "total") || (std::string_view(arguments[1]) != "direct" && std::string_view(arguments[1]) != "relayed")) {
        std::fprintf(stderr, "usage: bench-dispatch (direct | relayed) SECONDS [total]\n");
        return 2;
    }
    bool isRelayed = std::string_view(arguments[1]) == "relayed";
    int seconds = std::atoi(arguments[2]);
    Settings::ClusterSettings settings;
    settings.orderRelayWeight = isRelayed ? 1 : 0;

    auto targetLoop = Transport::EventLoop::create();
    std::deque<Target> targets;
    std::vector<Membership::TargetReport> reports;
    for (size_t i = 0; i < targetCount; ++i) {
        targets.emplace_back(*targetLoop, "target-" + std::to_string(i), "127.0.53." + std::to_string(i + 1) + ":7600", i % 2 == 0 ? 16 : 24);
        reports.push_back(targets.back().report());
    }
    std::vector<std::string> relayAddresses;
    std::deque<Member> relayMembers;
    std::deque<OrderRelay> relays;
    for (size_t i = 0; isRelayed && i < relayCount; ++i) {
        auto& address = relayAddresses.emplace_back("127.0.54." + std::to_string(i + 1) + ":7501");
        auto& member = relayMembers.emplace_back(address, settings);
        auto& relay = relays.emplace_back(member.context, *member.client);
        member.listen(address, [&relay](const auto& from, const auto& message) {
            if (const auto* orders = std::get_if<Scheduler::RelayedOrders>(&message))
                relay.onMessage(from, *orders);
        });
    }
    Entries entries(settings);
    Dispatcher dispatcher(settings, reports, relayAddresses);

    std::deque<std::thread> threads;
    threads.emplace_back([&] { targetLoop->run(); });
    threads.emplace_back([&] { entries.loop->run(); });
    for (auto& member : relayMembers)
        threads.emplace_back([&member] { member.loop->run(); });
    Snapshot from;
    Snapshot to;
    auto takeSnapshot = [&] { return Snapshot { dispatcher.parts, threadCpuMicroseconds(true), dispatcher.starts, dispatcher.holds, dispatcher.iterations, entries.completed, dispatcher.member.batchesSent(), dispatcher.member.batchesReceived }; };
    auto begin = dispatcher.member.loop->after(warmUpTime, [&] { from = takeSnapshot(); });
    auto end = dispatcher.member.loop->after(warmUpTime + Milliseconds(1000) * seconds, [&] {
        to = takeSnapshot();
        dispatcher.member.loop->stop();
    });
    dispatcher.member.loop->run();
    print(from, to, seconds, entries.others);
    std::fflush(stdout);
    // The other threads are in the middle of their work, which nothing waits for.
    std::_Exit(to.starts > from.starts ? 0 : 1);
}
