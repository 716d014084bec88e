#include <LibScheduler/Entry/DispatcherDirectory.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    Instant now { std::chrono::hours(1) };
    DispatcherDirectory directory { DispatcherDirectory::Options {} };

    Fixture()
    {
        (void)this->directory.updateDispatchers({ { "east", "a" }, { "north", "b" }, { "west", "c" } }, "north", this->now);
    }

    void report(const std::string& address, int64_t capacity, Milliseconds backlog)
    {
        this->directory.onAnswer(address, this->now);
        this->directory.updateLoads(address, { PoolLoad { "pool", capacity, backlog.count() } });
    }

    std::map<std::string, int> choices(int count)
    {
        std::map<std::string, int> chosen;
        for (int i = 0; i < count; ++i)
            ++chosen[this->directory.choose("job-" + std::to_string(i), "pool", {}, this->now)->shard];
        return chosen;
    }

    [[nodiscard]] ShardChoice explain(const std::string& pool = "pool", const std::vector<std::string>& excludedShards = {}) const
    {
        return this->directory.explain(this->directory.chooseWithReason("job", pool, excludedShards, this->now), pool, excludedShards, this->now);
    }
};

using Reason = ShardChoice::Reason;

}

BOOST_FIXTURE_TEST_CASE(shard_of_the_entry_host_is_preferred_while_its_backlog_is_slightly_larger, Fixture)
{
    this->report("a", 1000, 0ms);
    this->report("b", 1000, 30ms);
    this->report("c", 1000, 0ms);
    BOOST_TEST(this->choices(100)["north"] == 100);
}

BOOST_FIXTURE_TEST_CASE(shards_with_larger_backlogs_get_fewer_jobs, Fixture)
{
    this->report("a", 1000, 0ms);
    this->report("b", 1000, 200ms);
    this->report("c", 1000, 50ms);
    auto chosen = this->choices(1000);
    BOOST_TEST(chosen["east"] > 600);
    BOOST_TEST(chosen["west"] > 150);
    BOOST_TEST(chosen["north"] < 50);
}

// A caller may submit a job again at once, through another entry host.
BOOST_FIXTURE_TEST_CASE(two_entry_hosts_with_the_same_loads_choose_the_same_shard_for_a_job, Fixture)
{
    this->report("a", 1000, 0ms);
    this->report("b", 1000, 100ms);
    this->report("c", 1000, 50ms);
    auto other = this->directory;
    for (int i = 0; i < 200; ++i) {
        auto job = "job-" + std::to_string(i);
        (void)this->directory.choose("job", "pool", {}, this->now);
        BOOST_TEST(this->directory.choose(job, "pool", {}, this->now)->shard == other.choose(job, "pool", {}, this->now)->shard, job);
    }
}

// Entry hosts know loads that differ a little in age.
BOOST_FIXTURE_TEST_CASE(small_difference_in_backlog_changes_the_shard_of_few_jobs, Fixture)
{
    this->report("a", 1000, 0ms);
    this->report("b", 1000, 100ms);
    this->report("c", 1000, 50ms);
    auto other = this->directory;
    this->report("c", 1000, 55ms);
    int differences = 0;
    for (int i = 0; i < 1000; ++i) {
        auto job = "job-" + std::to_string(i);
        differences += this->directory.choose(job, "pool", {}, this->now)->shard != other.choose(job, "pool", {}, this->now)->shard ? 1 : 0;
    }
    BOOST_TEST(differences <= 50);
}

BOOST_FIXTURE_TEST_CASE(only_shards_with_targets_of_the_pool_are_chosen, Fixture)
{
    this->report("b", 1000, 0ms);
    this->directory.onAnswer("a", this->now);
    this->directory.updateLoads("a", { PoolLoad { "other", 1000, 0 } });
    BOOST_TEST(this->directory.choose("job", "other", {}, this->now)->shard == "east");
    BOOST_TEST(this->choices(20)["north"] == 20);
}

BOOST_FIXTURE_TEST_CASE(dispatcher_that_is_not_fresh_gets_no_jobs_while_another_one_is_fresh, Fixture)
{
    this->report("a", 1000, 100ms);
    this->report("b", 1000, 0ms);
    this->now += 400ms;
    this->report("a", 1000, 100ms);
    BOOST_TEST(this->choices(20)["east"] == 20);
}

BOOST_FIXTURE_TEST_CASE(dispatcher_that_answered_last_is_chosen_before_any_load_report, Fixture)
{
    BOOST_TEST(this->directory.choose("job", "pool", {}, this->now)->shard == "north");
    this->now += 100ms;
    this->directory.onAnswer("c", this->now);
    BOOST_TEST(this->directory.choose("job", "pool", {}, this->now)->shard == "west");
}

BOOST_FIXTURE_TEST_CASE(update_returns_shards_with_changed_or_lost_dispatchers, Fixture)
{
    auto changed = this->directory.updateDispatchers({ { "east", "a" }, { "north", "d" } }, "north", this->now);
    std::vector<std::string> expected { "north", "west" };
    BOOST_TEST(changed == expected, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(choice_of_the_own_shard_shows_the_backlog_that_was_allowed, Fixture)
{
    this->report("a", 1000, 5ms);
    this->report("b", 1000, 45ms);
    this->now += 100ms;
    this->directory.onAnswer("b", this->now);
    this->now += 20ms;
    auto choice = this->explain();
    ShardChoice::KnownShard north { "north", true, 20ms, 120ms, 45ms };
    BOOST_TEST((choice == ShardChoice { Reason::OwnShard, north, north, 5ms }));
    BOOST_TEST(!choice.leavesOwnShard());
}

BOOST_FIXTURE_TEST_CASE(choice_by_the_name_of_the_job_shows_the_backlogs_that_led_to_it, Fixture)
{
    this->report("b", 1000, 1046ms);
    this->now += 30ms;
    this->report("a", 1000, 5ms);
    this->now += 10ms;
    auto choice = this->explain();
    ShardChoice::KnownShard north { "north", true, 40ms, 40ms, 1046ms };
    ShardChoice::KnownShard east { "east", true, 10ms, 10ms, 5ms };
    BOOST_TEST((choice == ShardChoice { Reason::JobName, north, east, 5ms }));
    BOOST_TEST(choice.leavesOwnShard());
}

// The name of a job may also decide for the own shard.
BOOST_FIXTURE_TEST_CASE(choice_of_the_own_shard_by_the_name_of_the_job_is_told_from_its_preference, Fixture)
{
    this->report("a", 1, 0ms);
    this->report("b", 1'000'000, 41ms);
    auto choice = this->explain();
    BOOST_TEST(choice.chosen.shard == "north");
    BOOST_TEST((choice.reason == Reason::JobName));
    BOOST_TEST((choice.smallestBacklog == 0ms));
}

BOOST_FIXTURE_TEST_CASE(choice_without_a_fresh_own_shard_says_why_it_is_left_out, Fixture)
{
    this->report("b", 1000, 0ms);
    this->now += 351ms;
    this->report("a", 1000, 100ms);
    auto choice = this->explain();
    ShardChoice::KnownShard north { "north", false, 351ms, 351ms, 0ms };
    ShardChoice::KnownShard east { "east", true, 0ms, 0ms, 100ms };
    BOOST_TEST((choice == ShardChoice { Reason::OwnShardNotFresh, north, east, 100ms }));
    this->report("b", 1000, 0ms);
    BOOST_TEST((this->explain("pool", { "north" }).reason == Reason::OwnShardRefused));
    this->directory.updateLoads("a", { PoolLoad { "other", 1000, 0 } });
    BOOST_TEST((this->explain("other").reason == Reason::OwnShardWithoutTargets));
    this->report("a", 1000, 100ms);
    (void)this->directory.updateDispatchers({ { "east", "a" }, { "west", "c" } }, "north", this->now);
    choice = this->explain();
    BOOST_TEST((choice.reason == Reason::OwnShardUnknown));
    BOOST_TEST((choice.own == ShardChoice::KnownShard { "north", false, {}, {}, {} }));
}

BOOST_FIXTURE_TEST_CASE(choice_before_any_load_report_says_that_the_last_answer_decided, Fixture)
{
    this->now += 400ms;
    this->directory.onAnswer("c", this->now);
    this->now += 10ms;
    ShardChoice::KnownShard north { "north", false, 410ms, {}, {} };
    ShardChoice::KnownShard west { "west", true, 10ms, {}, {} };
    BOOST_TEST((this->explain() == ShardChoice { Reason::LastToAnswer, north, west, {} }));
}

BOOST_AUTO_TEST_CASE(spelling_of_reasons_for_a_shard_is_stable)
{
    std::map<Reason, std::string> spellings {
        { Reason::OwnShard, "own-shard" },
        { Reason::JobName, "job-name" },
        { Reason::OwnShardNotFresh, "own-shard-not-fresh" },
        { Reason::OwnShardRefused, "own-shard-refused" },
        { Reason::OwnShardUnknown, "own-shard-unknown" },
        { Reason::OwnShardWithoutTargets, "own-shard-without-targets" },
        { Reason::LastToAnswer, "last-to-answer" },
        { Reason::FormerShard, "former-shard" },
    };
    for (const auto& [reason, spelling] : spellings)
        BOOST_TEST(toText(reason) == spelling);
}
