#include "SimulatedShards.h"
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <sstream>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

using Kind = JobOwner::Answer::Kind;

// Callers lose their connections, and submit their jobs again within milliseconds through another entry host of the same shard. Entry
// host i belongs to shard i modulo the number of shards.
namespace {

constexpr size_t shardCount = 3;
constexpr size_t entriesPerShard = 3;
constexpr size_t entryCount = shardCount * entriesPerShard;
constexpr Milliseconds longestRunTime { 900 };

Submission makeUrgentJob(const std::string& name, uint32_t tasks, int64_t cores)
{
    auto job = makeJob(name, tasks, cores);
    job.untilDeadline = 5000;
    // Targets that take much longer get no tasks.
    job.estimateMilliseconds = longestRunTime.count();
    return job;
}

// Plays a random schedule. Which of the allowed faults it has besides the required ones is drawn from the seed, so that each mixture occurs.
class Schedule {
public:
    enum Fault : unsigned {
        LostAnswers = 1U << 0U,
        LostMessages = 1U << 1U,
        LinksOfDispatchers = 1U << 2U,
        Replacements = 1U << 3U,
        PausedDispatchers = 1U << 4U,
        PausedEntries = 1U << 5U,
        Stops = 1U << 6U,
        SmallTargets = 1U << 7U,
        Overload = 1U << 8U,
        UnevenDelays = 1U << 9U,
        KilledEntries = 1U << 10U,
    };
    static constexpr unsigned allFaults = (1U << 11U) - 1;

    Schedule(unsigned seed, unsigned allowedFaults, unsigned requiredFaults)
        : shards(shardCount, 2, seed, entryCount)
        , random(seed)
        , faults((this->random() & this->random() & allowedFaults) | requiredFaults)
    {
        this->shards.callersRetryUnknownJobs = true;
        this->shards.callersStayInShard = true;
        if (this->has(Stops)) {
            this->shards.delayedStopPercent = this->random() % 50;
            this->shards.lostStopPercent = this->random() % 50;
        }
        if (this->has(UnevenDelays))
            this->delayLinks();
        if (this->has(SmallTargets))
            this->shrinkTargets(this->random() % shardCount);
    }

    void play()
    {
        this->shards.run(600ms);
        this->submitBacklog();
        for (unsigned turn = 0; turn < 24; ++turn) {
            this->shards.runTime = Milliseconds(30 + this->draw(static_cast<size_t>(longestRunTime.count()) - 30));
            this->submit();
            this->shards.run(Milliseconds(this->random() % 60));
            for (unsigned moves = this->random() % 3; moves > 0; --moves)
                this->moveCaller();
            this->shards.run(Milliseconds(this->random() % 80));
            this->injectFault();
        }
        this->shards.restoreAllLinks();
        // Some jobs have short deadlines.
        this->shards.runTime = 100ms;
        for (int i = 0; i < 60 && this->shards.waitingCallers() > 0; ++i)
            this->shards.run(250ms);
    }

    SimulatedShards shards;
    std::vector<std::string> jobs;

private:
    [[nodiscard]] bool has(Fault fault) const { return (this->faults & fault) != 0; }
    size_t draw(size_t count) { return this->random() % count; }
    size_t anotherEntryOfShard(size_t entry) { return (entry + shardCount * (1 + this->draw(entriesPerShard - 1))) % entryCount; }

    void delayLinks()
    {
        for (size_t entry = 0; entry < entryCount; ++entry) {
            for (size_t shard = 0; shard < shardCount; ++shard)
                this->shards.delayLink(this->shards.nameOfEntry(entry), this->shards.dispatcherOf(shard), Milliseconds(this->draw(40)));
        }
    }

    // Jobs of 20 cores and more are refused there.
    void shrinkTargets(size_t shard)
    {
        for (int target = 0; target < 2; ++target)
            this->shards.targets.at("shard-" + std::to_string(shard) + "-target-" + std::to_string(target)).capacity.milliCores = 16'000;
        this->shards.replaceDispatcher(shard, 0ms);
    }

    void submitBacklog()
    {
        auto entry = this->draw(shardCount);
        this->shards.runTime = 300ms;
        for (size_t i = this->draw(10); i > 0; --i)
            this->add(makeUrgentJob("backlog-" + std::to_string(i), 3, 30), entry);
        this->shards.run(Milliseconds(this->draw(500)));
    }

    void add(const Submission& job, size_t entry)
    {
        this->jobs.push_back(job.job);
        this->shards.submit(job, entry);
    }

    void submit()
    {
        auto entry = this->draw(entryCount);
        for (size_t i = this->draw(this->has(Overload) ? 6 : 3); i > 0; --i) {
            auto job = makeUrgentJob("job-" + std::to_string(this->jobs.size()), 1 + this->draw(3), 10 + static_cast<int64_t>(this->draw(30)));
            if (this->has(Overload) && this->draw(2) == 0)
                job.untilDeadline = static_cast<Milliseconds::rep>(400 + this->draw(2000));
            this->add(job, entry);
        }
    }

    // Moves the caller of one of the last jobs.
    void moveCaller()
    {
        if (this->jobs.empty())
            return;
        const auto& job = this->jobs[this->jobs.size() - 1 - this->draw(std::min<size_t>(this->jobs.size(), 6))];
        auto entry = this->shards.entryOfCaller(job);
        if (!entry)
            return;
        std::optional<Milliseconds> detectionDelay;
        if (this->draw(4) != 0)
            detectionDelay = Milliseconds(this->draw(251));
        this->shards.moveCaller(job, this->anotherEntryOfShard(*entry), Milliseconds(this->draw(201)), detectionDelay);
    }

    void injectFault()
    {
        auto entry = this->draw(entryCount);
        // Most jobs concern the shard of their entry host.
        auto shard = this->draw(2) == 0 ? entry % shardCount : this->draw(shardCount);
        auto name = this->shards.nameOfEntry(entry);
        auto dispatcher = this->shards.dispatcherOf(shard);
        auto other = this->shards.dispatcherOf((shard + 1 + this->draw(shardCount - 1)) % shardCount);
        auto draw = this->draw(14);
        if (draw < 2 && this->has(LostAnswers))
            this->shards.cutLink(dispatcher, name);
        else if (draw < 4 && this->has(LostMessages))
            this->shards.cutLink(name, dispatcher);
        else if (draw == 4 && this->has(LinksOfDispatchers))
            this->shards.cutLink(dispatcher, other);
        else if (draw == 5 && this->has(Replacements))
            this->shards.replaceDispatcher(shard, Milliseconds(this->draw(2) * this->draw(1500)));
        else if (draw == 6 && this->has(Replacements))
            this->shards.replaceDispatcherHost(shard, Milliseconds(this->draw(2) * this->draw(1500)));
        else if (draw == 7 && this->has(PausedDispatchers))
            this->shards.pauseProcess(dispatcher, Milliseconds(50 + this->draw(2000)));
        else if (draw == 8 && this->has(PausedEntries))
            this->shards.pauseProcess(name, Milliseconds(50 + this->draw(2000)));
        else if (draw == 9 && this->has(KilledEntries))
            this->shards.killEntry(entry, Milliseconds(300 + this->draw(1500)));
        else if (draw == 10 && (this->has(LostAnswers) || this->has(LostMessages)))
            this->cutAllEntriesOff(shard);
        else if (draw >= 12)
            this->shards.restoreAllLinks();
    }

    // In one direction, from the dispatcher of a shard.
    void cutAllEntriesOff(size_t shard)
    {
        auto dispatcher = this->shards.dispatcherOf(shard);
        bool losesAnswers = this->has(LostAnswers);
        for (size_t entry = shard; entry < entryCount; entry += shardCount) {
            auto name = this->shards.nameOfEntry(entry);
            if (losesAnswers)
                this->shards.cutLink(dispatcher, name);
            else
                this->shards.cutLink(name, dispatcher);
        }
    }

    std::mt19937 random;
    unsigned faults;
};

std::string join(const std::set<std::string>& names)
{
    std::string text;
    for (const auto& name : names)
        text += " " + name;
    return text;
}

void playSchedules(unsigned firstSeed, unsigned lastSeed, unsigned allowedFaults, unsigned requiredFaults = 0)
{
    for (auto seed = firstSeed; seed <= lastSeed; ++seed) {
        Schedule schedule(seed, allowedFaults, requiredFaults);
        schedule.play();
        const auto& shards = schedule.shards;
        BOOST_TEST(shards.jobsRunTwice().empty(), "seed " << seed << ", two runs at once of" << join(shards.jobsRunTwice()));
        BOOST_TEST(!shards.anyOvercommitted(), "seed " << seed);
        BOOST_TEST(shards.waitingCallers() == 0U, "seed " << seed << ", callers without an answer: " << shards.waitingCallers());
        for (const auto& job : schedule.jobs)
            BOOST_TEST(shards.answer(job) != nullptr, "seed " << seed << ", no answer for " << job);
    }
}

}

BOOST_AUTO_TEST_CASE(random_callers_that_come_again_at_once_never_run_a_task_twice_at_once)
{
    playSchedules(1, 100, Schedule::UnevenDelays | Schedule::SmallTargets | Schedule::Overload | Schedule::LostAnswers);
}

BOOST_AUTO_TEST_CASE(random_callers_that_come_again_at_once_during_cuts_never_run_a_task_twice_at_once)
{
    playSchedules(1001, 1100, Schedule::LostMessages | Schedule::LinksOfDispatchers | Schedule::SmallTargets | Schedule::Overload, Schedule::LostAnswers);
}

BOOST_AUTO_TEST_CASE(random_callers_that_come_again_at_once_with_new_homes_never_run_a_task_twice_at_once)
{
    playSchedules(2001, 2100, Schedule::LostAnswers | Schedule::SmallTargets | Schedule::Overload, Schedule::Replacements);
}

BOOST_AUTO_TEST_CASE(random_callers_that_come_again_at_once_during_all_faults_never_run_a_task_twice_at_once)
{
    playSchedules(3001, 3200, Schedule::allFaults);
}

namespace {

std::string setting(const char* name, const std::string& fallback)
{
    const char* value = std::getenv(name);
    return value ? value : fallback;
}

unsigned faultsSetting(const char* name, unsigned fallback)
{
    return static_cast<unsigned>(std::stoul(setting(name, std::to_string(fallback)), nullptr, 0)) & Schedule::allFaults;
}

}

// A search that is started by hand, see docs/PROOF.md. Seeds are written like "40059,50001-52000", faults as masks of Schedule::Fault.
BOOST_AUTO_TEST_CASE(selected_random_callers_that_come_again_at_once_never_run_a_task_twice_at_once, *boost::unit_test::disabled())
{
    auto allowed = faultsSetting("SASSAFRASSHIFT_ALLOWED_FAULTS", Schedule::allFaults);
    auto required = faultsSetting("SASSAFRASSHIFT_REQUIRED_FAULTS", 0);
    std::istringstream ranges(setting("SASSAFRASSHIFT_SEEDS", "50001-50100"));
    for (std::string range; std::getline(ranges, range, ',');) {
        size_t length = 0;
        auto first = static_cast<unsigned>(std::stoul(range, &length));
        auto last = length < range.size() ? static_cast<unsigned>(std::stoul(range.substr(length + 1))) : first;
        playSchedules(first, last, allowed, required);
    }
}

namespace {

// Two shards with three entry hosts each: 0, 2 and 4 belong to shard 0, which is the home of their jobs.
struct TwoShards {
    static constexpr size_t first = 0;
    static constexpr size_t second = 2;
    static constexpr size_t third = 4;

    explicit TwoShards(unsigned seed = 1, size_t shardsInAll = 2)
        : shards(shardsInAll, 4, seed, 3 * shardsInAll)
        , stride(shardsInAll)
    {
        this->shards.callersStayInShard = true;
        this->shards.callersRetryUnknownJobs = true;
    }

    size_t entry(size_t number) const { return number * this->stride; }
    std::string name(size_t number) const { return this->shards.nameOfEntry(this->entry(number)); }
    std::string home() const { return this->shards.dispatcherOf(0); }

    // The targets of the home's shard are too small for any job.
    void shrinkHome()
    {
        this->setCapacityOfHome(8000);
        this->shards.replaceDispatcher(0, 0ms);
    }

    // The next dispatcher learns of it.
    void setCapacityOfHome(int64_t milliCores)
    {
        for (int target = 0; target < 4; ++target)
            this->shards.targets.at("shard-0-target-" + std::to_string(target)).capacity.milliCores = milliCores;
    }

    void cutBothWays(const std::string& a, const std::string& b)
    {
        this->shards.cutLink(a, b);
        this->shards.cutLink(b, a);
    }

    // The entry host does not hear the dispatcher, and takes it out of its choice.
    void hideDispatcher(size_t shard, size_t number)
    {
        this->shards.cutLink(this->shards.dispatcherOf(shard), this->name(number));
        this->shards.run(500ms);
    }

    // Fills the home, so that its entry hosts prefer another shard.
    void fillHome()
    {
        this->shards.runTime = 600ms;
        for (int i = 0; i < 6; ++i)
            this->shards.submit(makeUrgentJob("backlog-" + std::to_string(i), 4, 30), this->entry(0));
        this->shards.run(300ms);
    }

    void finish(const std::string& context)
    {
        this->shards.runTime = 100ms;
        this->shards.lostStopPercent = 0;
        for (int i = 0; i < 60 && (i < 6 || this->shards.waitingCallers() > 0); ++i)
            this->shards.run(250ms);
        BOOST_TEST(this->shards.jobsRunTwice().empty(), context);
        BOOST_TEST(!this->shards.anyOvercommitted(), context);
        BOOST_TEST(this->shards.waitingCallers() == 0U, context);
        BOOST_REQUIRE(this->shards.answer("job"));
        BOOST_TEST((this->shards.answer("job")->kind == Kind::Completed), context);
    }

    SimulatedShards shards;
    size_t stride;
};

std::string after(const std::string& what, int milliseconds)
{
    return what + " after " + std::to_string(milliseconds) + " ms";
}

}

BOOST_AUTO_TEST_CASE(caller_that_comes_again_while_the_first_shard_has_refused_its_job_does_not_run_it_twice)
{
    for (int delay = 0; delay <= 200; delay += 5) {
        for (auto detection : { std::optional(0ms), std::optional(100ms), std::optional(250ms), std::optional<Milliseconds>() }) {
            TwoShards two(1, 3);
            two.shrinkHome();
            two.shards.run(600ms);
            two.hideDispatcher(1 + static_cast<size_t>(delay) % 2, 1);
            two.shards.runTime = 700ms;
            two.shards.submit(makeUrgentJob("job", 2, 30), two.entry(0));
            two.shards.run(5ms);
            two.shards.moveCaller("job", two.entry(1), Milliseconds(delay), detection);
            two.shards.run(600ms);
            two.finish(after("again", delay));
        }
    }
}

// The second entry host cannot know what the first one has left.
BOOST_AUTO_TEST_CASE(caller_that_comes_again_while_its_job_waits_for_runs_in_the_shard_that_it_left_does_not_run_it_twice)
{
    for (int delay = 0; delay <= 600; delay += 50) {
        for (auto detection : { std::optional(100ms), std::optional<Milliseconds>() }) {
            TwoShards two(1, 3);
            two.shards.run(600ms);
            two.shards.runTime = 3s;
            two.shards.submit(makeUrgentJob("job", 1, 30), two.entry(0));
            two.shards.run(50ms);
            two.cutBothWays(two.home(), two.name(0));
            two.shards.run(720ms);
            two.shards.moveCaller("job", two.entry(1), Milliseconds(delay), detection);
            two.shards.run(2500ms);
            two.shards.restoreAllLinks();
            two.finish(after("again", delay));
        }
    }
}

BOOST_AUTO_TEST_CASE(caller_that_comes_again_while_its_home_is_replaced_does_not_run_its_job_twice)
{
    for (int replacement = 0; replacement <= 200; replacement += 20) {
        for (int gap = 0; gap <= 1200; gap += 300) {
            for (auto detection : { std::optional(0ms), std::optional(200ms), std::optional<Milliseconds>() }) {
                TwoShards two;
                two.shards.run(600ms);
                two.fillHome();
                two.shards.submit(makeUrgentJob("job", 2, 30), two.entry(0));
                two.shards.run(Milliseconds(replacement));
                two.shards.replaceDispatcher(0, Milliseconds(gap));
                two.shards.moveCaller("job", two.entry(1), 50ms, detection);
                two.shards.run(2s);
                two.finish(after("replaced", replacement) + ", for " + std::to_string(gap) + " ms");
            }
        }
    }
}

// The runs are in the home's own shard, and the first entry host no longer lists the job there.
BOOST_AUTO_TEST_CASE(job_that_ran_at_a_lost_home_does_not_start_in_another_shard_beside_its_runs)
{
    for (int detection = 0; detection <= 200; detection += 20) {
        for (int gap = 0; gap <= 1000; gap += 100) {
            TwoShards two;
            two.shards.run(600ms);
            two.shards.runTime = 3s;
            two.shards.submit(makeUrgentJob("job", 1, 30), two.entry(0));
            two.shards.run(100ms);
            two.shards.moveCaller("job", two.entry(1), 100ms, Milliseconds(detection));
            two.shards.run(10ms);
            two.shards.replaceDispatcher(0, Milliseconds(gap));
            two.fillHome();
            two.shards.run(2s);
            two.finish(after("seen", detection) + ", replaced for " + std::to_string(gap) + " ms");
        }
    }
}

// A new home holds the requests of both entry hosts. The first one says that its runs may continue, and is withdrawn or comes second.
BOOST_AUTO_TEST_CASE(job_whose_repeated_request_a_new_home_holds_does_not_start_in_another_shard_beside_its_runs)
{
    using Pair = std::pair<size_t, size_t>;
    for (auto [from, to] : { Pair(0, 1), Pair(1, 0) }) {
        for (int gap : { 0, 100, 300 }) {
            for (int detection = 0; detection <= 60; detection += 3) {
                TwoShards two;
                two.shards.run(600ms);
                two.shards.runTime = 3s;
                two.shards.submit(makeUrgentJob("job", 1, 30), two.entry(from));
                two.shards.run(100ms);
                two.shards.moveCaller("job", two.entry(to), Milliseconds(gap + 25), Milliseconds(gap + detection));
                two.shards.run(4ms);
                two.shards.replaceDispatcher(0, Milliseconds(gap));
                two.shards.run(2500ms);
                two.finish("entry hosts " + std::to_string(from) + " and " + std::to_string(to) + after(", seen", detection) + ", replaced for " + std::to_string(gap) + " ms");
            }
        }
    }
}

// The request of the second entry host is lost with the home, and its next one carries a wait.
BOOST_AUTO_TEST_CASE(entry_host_whose_request_its_home_never_answered_does_not_move_the_job_of_another_one)
{
    using Pair = std::pair<size_t, size_t>;
    for (auto [from, to] : { Pair(0, 1), Pair(1, 0), Pair(2, 0) }) {
        for (int wait = 0; wait <= 20; wait += 5) {
            for (int gap = 0; gap <= 1250; gap += 250) {
                TwoShards two(1, 3);
                two.shards.run(600ms);
                two.fillHome();
                two.shards.runTime = 3s;
                two.shards.submit(makeUrgentJob("job", 1, 30), two.entry(from));
                two.shards.run(200ms);
                two.shards.moveCaller("job", two.entry(to), 0ms, {});
                two.shards.run(Milliseconds(1 + wait));
                two.shards.replaceDispatcher(0, Milliseconds(gap));
                two.shards.run(2500ms);
                two.finish("entry hosts " + std::to_string(from) + " and " + std::to_string(to) + after(", replaced", wait) + ", for " + std::to_string(gap) + " ms");
            }
        }
    }
}

// The first entry host does not learn of the takeover, loses the shard that has the job, and asks a new home.
BOOST_AUTO_TEST_CASE(entry_host_that_was_cut_off_while_its_job_was_taken_over_does_not_get_it_from_a_new_home)
{
    using Pair = std::pair<size_t, size_t>;
    for (auto [from, to] : { Pair(0, 1), Pair(1, 0) }) {
        for (int untilLoss = 300; untilLoss <= 700; untilLoss += 100) {
            for (int gap = 0; gap <= 1200; gap += 300) {
                TwoShards two(1, 3);
                two.shrinkHome();
                two.shards.run(600ms);
                two.shards.runTime = 4s;
                two.shards.lostStopPercent = 100;
                auto job = makeUrgentJob("job", 1, 30);
                job.untilDeadline = 20'000;
                two.shards.submit(job, two.entry(from));
                two.shards.run(200ms);
                for (size_t shard = 0; shard < 3; ++shard)
                    two.shards.cutLink(two.shards.dispatcherOf(shard), two.name(from));
                two.shards.moveCaller("job", two.entry(to), 0ms, {});
                two.shards.run(Milliseconds(untilLoss));
                two.setCapacityOfHome(64'000);
                two.shards.replaceDispatcher(0, Milliseconds(gap));
                two.shards.run(2500ms);
                two.shards.restoreAllLinks();
                two.finish("entry hosts " + std::to_string(from) + " and " + std::to_string(to) + after(", replaced", untilLoss) + ", for " + std::to_string(gap) + " ms");
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(caller_that_comes_again_while_the_first_entry_host_is_cut_off_from_the_home_does_not_run_its_job_twice)
{
    for (int cut = 0; cut <= 2; ++cut) {
        for (int delay = 0; delay <= 200; delay += 50) {
            for (int held = 0; held <= 1600; held += 200) {
                TwoShards two;
                two.shards.run(600ms);
                two.shards.runTime = 3s;
                two.shards.submit(makeUrgentJob("job", 1, 30), two.entry(0));
                two.shards.run(30ms);
                if (cut != 0)
                    two.shards.cutLink(two.home(), two.name(0));
                if (cut != 1)
                    two.shards.cutLink(two.name(0), two.home());
                two.shards.run(Milliseconds(held));
                two.shards.moveCaller("job", two.entry(1), Milliseconds(delay), 250ms);
                two.shards.run(1500ms);
                two.shards.restoreAllLinks();
                two.finish(after("cut", held) + after(", again", delay));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(caller_that_comes_again_through_an_entry_host_that_is_cut_off_from_the_home_does_not_run_its_job_twice)
{
    for (int cut = 0; cut <= 2; ++cut) {
        for (int before = 0; before <= 800; before += 100) {
            for (int delay = 0; delay <= 200; delay += 50) {
                TwoShards two;
                two.shards.run(600ms);
                if (cut != 0)
                    two.shards.cutLink(two.home(), two.name(1));
                if (cut != 1)
                    two.shards.cutLink(two.name(1), two.home());
                two.shards.run(Milliseconds(before));
                two.shards.runTime = 3s;
                two.shards.submit(makeUrgentJob("job", 1, 30), two.entry(0));
                two.shards.run(20ms);
                two.shards.moveCaller("job", two.entry(1), Milliseconds(delay), 100ms);
                two.shards.run(2s);
                two.shards.restoreAllLinks();
                two.finish(after("cut before", before) + after(", again", delay));
            }
        }
    }
}

// The job is in a third shard, and the relay is that of the second one.
BOOST_AUTO_TEST_CASE(caller_that_comes_again_through_a_relay_gets_its_job_from_the_shard_that_has_it)
{
    for (int delay = 0; delay <= 200; delay += 20) {
        TwoShards two(1, 3);
        two.shrinkHome();
        two.shards.run(600ms);
        two.cutBothWays(two.home(), two.name(1));
        two.hideDispatcher(1 + static_cast<size_t>(delay) / 20 % 2, 1);
        two.shards.runTime = 400ms;
        two.shards.submit(makeUrgentJob("job", 1, 30), two.entry(0));
        two.shards.run(100ms);
        two.shards.moveCaller("job", two.entry(1), Milliseconds(delay), 50ms);
        two.shards.run(800ms);
        // The first entry host may withdraw the job before the second one has it.
        BOOST_TEST(std::min(two.shards.startsOn(1), two.shards.startsOn(2)) == 0U, after("again", delay));
        two.finish(after("again", delay));
    }
}

// No entry host reaches the home, which reaches them: all ask through the other dispatcher, which reaches it.
BOOST_AUTO_TEST_CASE(jobs_are_served_through_a_relay_while_no_entry_host_reaches_the_home)
{
    TwoShards two;
    two.shards.run(600ms);
    for (size_t number = 0; number < 3; ++number)
        two.cutBothWays(two.home(), two.name(number));
    two.shards.run(800ms);
    two.shards.submit(makeUrgentJob("job", 1, 30), two.entry(0));
    two.shards.run(50ms);
    two.shards.moveCaller("job", two.entry(1), 20ms, {});
    two.shards.run(1s);
    BOOST_REQUIRE(two.shards.answer("job"));
    BOOST_TEST((two.shards.answer("job")->kind == Kind::Completed));
    BOOST_TEST(two.shards.startsOn(1) == 1U);
    two.finish("no entry host reaches the home");
}

// The second entry host does not hear the home, and would choose another shard.
BOOST_AUTO_TEST_CASE(job_that_comes_three_times_within_milliseconds_does_not_run_twice)
{
    for (int firstDelay = 0; firstDelay <= 100; firstDelay += 10) {
        for (int secondDelay = 0; secondDelay <= 100; secondDelay += 10) {
            TwoShards two;
            two.shards.run(600ms);
            two.hideDispatcher(0, 1);
            two.shards.runTime = 600ms;
            two.shards.submit(makeUrgentJob("job", 2, 30), two.entry(0));
            two.shards.run(3ms);
            two.shards.moveCaller("job", two.entry(1), Milliseconds(firstDelay), 250ms);
            two.shards.run(Milliseconds(firstDelay + 3));
            two.shards.moveCaller("job", two.entry(2), Milliseconds(secondDelay), 250ms);
            two.shards.run(500ms);
            two.shards.restoreAllLinks();
            two.finish(after("again", firstDelay) + after(" and", secondDelay));
        }
    }
}

BOOST_AUTO_TEST_CASE(caller_that_returns_to_its_first_entry_host_does_not_run_its_job_twice)
{
    for (int delay = 0; delay <= 200; delay += 10) {
        for (auto detection : { std::optional(0ms), std::optional(100ms), std::optional<Milliseconds>() }) {
            TwoShards two;
            two.shards.run(600ms);
            two.hideDispatcher(0, 1);
            two.shards.runTime = 600ms;
            two.shards.submit(makeUrgentJob("job", 2, 30), two.entry(0));
            two.shards.run(20ms);
            two.shards.moveCaller("job", two.entry(1), 5ms, detection);
            two.shards.run(30ms);
            two.shards.moveCaller("job", two.entry(0), Milliseconds(delay), detection);
            two.shards.run(500ms);
            two.shards.restoreAllLinks();
            two.finish(after("back", delay));
        }
    }
}

// The first entry host withdraws its second request before the home has answered it, and the run of its first one goes on.
BOOST_AUTO_TEST_CASE(job_whose_last_request_was_withdrawn_does_not_start_beside_the_run_of_an_earlier_one)
{
    for (size_t hidden = 1; hidden <= 2; ++hidden) {
        for (int untilWithdrawal = 1; untilWithdrawal <= 25; ++untilWithdrawal) {
            TwoShards two(1, 3);
            two.shards.run(600ms);
            two.shards.lostStopPercent = 100;
            two.hideDispatcher(hidden, 1);
            two.fillHome();
            two.shards.runTime = 2s;
            auto job = makeUrgentJob("job", 1, 30);
            job.untilDeadline = 20'000;
            two.shards.submit(job, two.entry(0));
            two.shards.run(100ms);
            two.shards.moveCaller("job", two.entry(0), 30ms, 0ms);
            two.shards.run(30ms + Milliseconds(untilWithdrawal));
            two.shards.moveCaller("job", two.entry(1), 5ms, 0ms);
            two.shards.run(2s);
            two.shards.restoreAllLinks();
            two.finish(after("withdrawn", untilWithdrawal) + ", shard " + std::to_string(hidden));
        }
    }
}

// A paused home answers late, and its entry hosts have left it by then.
BOOST_AUTO_TEST_CASE(caller_that_comes_again_while_its_home_is_paused_does_not_run_its_job_twice)
{
    for (int pause = 100; pause <= 2000; pause += 100) {
        for (int delay = 0; delay <= 600; delay += 100) {
            TwoShards two;
            two.shards.run(600ms);
            two.shards.runTime = 2s;
            two.shards.submit(makeUrgentJob("job", 2, 30), two.entry(0));
            two.shards.run(Milliseconds(30 + delay / 10));
            two.shards.pauseProcess(two.home(), Milliseconds(pause));
            two.shards.moveCaller("job", two.entry(1), Milliseconds(delay), 100ms);
            two.shards.run(2500ms);
            two.finish(after("again", delay) + ", paused for " + std::to_string(pause) + " ms");
        }
    }
}

// The former home knew the job; its owner reaches the shard that has it, but not the new home.
BOOST_AUTO_TEST_CASE(job_whose_entry_host_does_not_reach_the_new_home_does_not_run_twice)
{
    for (int lag = 1000; lag <= 2600; lag += 400) {
        for (int detection : { 20, 100, 250 }) {
            TwoShards two;
            two.shards.run(600ms);
            two.fillHome();
            two.shards.runTime = 4s;
            two.shards.submit(makeUrgentJob("job", 1, 30), two.entry(0));
            two.shards.run(60ms);
            two.shards.runTime = 100ms;
            BOOST_TEST(two.shards.startsOn(1) > 0U, "the job left its home");
            two.shards.replaceDispatcher(0, 0ms);
            two.shards.run(1ms);
            two.shards.run(20ms);
            two.cutBothWays(two.home(), two.name(0));
            two.shards.run(Milliseconds(lag));
            two.shards.moveCaller("job", two.entry(1), 5ms, Milliseconds(detection));
            two.shards.run(1s);
            two.shards.restoreAllLinks();
            two.finish(after("again", lag) + after(", seen", detection));
        }
    }
}

// The home has queued the job in its own shard, and its entry host does not know that yet when it cancels.
BOOST_AUTO_TEST_CASE(job_cancelled_before_its_home_answered_is_not_forgotten_there)
{
    for (unsigned lost : { 0U, 50U, 100U }) {
        for (int back = 100; back <= 700; back += 100) {
            TwoShards two;
            two.shards.run(600ms);
            two.shards.runTime = 3s;
            two.shards.submit(makeUrgentJob("job", 1, 30), two.entry(0));
            two.shards.run(50ms);
            two.shards.lostStopPercent = lost;
            two.shards.moveCaller("job", two.entry(0), Milliseconds(back), 0ms);
            two.shards.runTime = 600ms;
            for (int i = 0; i < 6; ++i)
                two.shards.submit(makeUrgentJob("backlog-" + std::to_string(i), 4, 30), two.entry(0));
            two.shards.run(Milliseconds(back + 2));
            two.shards.moveCaller("job", two.entry(1), 0ms, 0ms);
            two.shards.run(600ms);
            two.finish(after("back", back) + ", stops lost: " + std::to_string(lost) + " %");
        }
    }
}

// A known failure, see KNOWN-RED.txt. The first submission is read late, from a socket that had been reset.
BOOST_AUTO_TEST_CASE(late_first_submission_does_not_end_the_job_of_the_caller_that_waits, *boost::unit_test::disabled())
{
    for (int late = 1; late <= 60; late += 5) {
        TwoShards two;
        two.shards.callersRetryUnknownJobs = false;
        two.shards.run(600ms);
        two.shards.runTime = 300ms;
        two.shards.pauseProcess(two.name(0), Milliseconds(late + 3));
        two.shards.runTime = 300ms;
        auto job = makeUrgentJob("job", 1, 30);
        two.shards.submit(job, two.entry(0));
        two.shards.moveCaller("job", two.entry(1), 0ms, Milliseconds(late + 5));
        two.shards.run(1500ms);
        two.finish(after("late", late));
    }
}

namespace {

struct HomeOfTwo {
    HomeOfTwo()
    {
        this->scheduler.onReport(this->target.report(), this->now);
        this->scheduler.activate(1, this->now);
        this->home.begin("east", 1, this->now);
        this->home.setEntries({ HomeReadiness::Contact { "e1" }, HomeReadiness::Contact { "e2" } });
    }

    void renew(const std::string& entry, const std::vector<std::string>& names = {}, const std::vector<PlacedJob>& placed = {})
    {
        (void)this->home.renew(this->scheduler, entry, RenewSubmissions { names, TaskScheduler::RenewalKind::ExtendLease, 0, 1, 0, placed }, this->now);
    }

    Submission request(const std::string& entry, const std::string& preferred)
    {
        auto job = makeUrgentJob("job", 1, 10);
        job.entryIncarnation = 1;
        job.firstRunNumber = 1;
        job.placement = PlacementRequest { true, "east", preferred, {}, entry, false };
        return job;
    }

    Instant now { std::chrono::hours(1) };
    SimulatedTarget target { "target", Catalog::Resources { 64'000, 1 << 30, 0 } };
    TaskScheduler scheduler { TaskScheduler::Options {} };
    JobHome home { PlacementRegistry::Options {} };
};

}

// An entry host of an earlier version asks nobody.
BOOST_FIXTURE_TEST_CASE(home_keeps_a_job_that_is_open_there_from_an_entry_host_of_an_earlier_version, HomeOfTwo)
{
    this->renew("e1");
    this->renew("e2");
    this->home.tick(this->scheduler, this->now);
    auto old = this->request("e1", "east");
    old.placement = {};
    this->home.submit(this->scheduler, "e1", old, this->now);
    BOOST_TEST(this->scheduler.openJobs() == 1U);
    this->home.submit(this->scheduler, "e2", this->request("e2", "west"), this->now);
    for (const auto& answer : this->home.takeAnswers())
        BOOST_TEST(answer.placement.shard == "east");
}

// The caller submits its job through one entry host, another one, and the first one again.
BOOST_AUTO_TEST_CASE(caller_that_returns_to_its_first_entry_host_gets_its_answer)
{
    for (int back = 0; back <= 600; back += 1) {
        TwoShards two;
        two.shards.callersRetryUnknownJobs = false;
        two.shards.run(600ms);
        two.shards.runTime = 1200ms;
        two.shards.submit(makeUrgentJob("job", 1, 30), two.entry(0));
        two.shards.run(20ms);
        two.shards.moveCaller("job", two.entry(1), 5ms, 0ms);
        two.shards.run(20ms);
        two.shards.moveCaller("job", two.entry(0), Milliseconds(back), 0ms);
        two.shards.run(2500ms);
        if (const auto* answer = two.shards.answer("job"))
            BOOST_TEST((answer->kind == Kind::Completed), after("back", back) + ": " + answer->reason + ", handovers " + std::to_string(answer->handoverCount));
    }
}
