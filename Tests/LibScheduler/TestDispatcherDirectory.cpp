#include <LibScheduler/DispatcherDirectory.h>
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
};

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
