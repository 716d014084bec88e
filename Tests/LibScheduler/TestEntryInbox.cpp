#include "SimulatedShards.h"
#include <LibScheduler/Dispatcher/EntryInbox.h>
#include <LibScheduler/Entry/ClockEchoes.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

static const Instant begin { std::chrono::hours(1) };
static constexpr uint64_t ownIncarnation { 7 };

static Milliseconds toMillisecondsOfClock(Instant time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch());
}

// Passes renewals of one entry host, whose clock differs, to the inbox of a dispatcher that has just started.
struct InboxFixture {
    // `transitTime` is that of the renewal; `echoAge` is the time between the reading of the dispatcher's clock and the sending of the renewal.
    bool renew(Instant sentAt, Milliseconds transitTime, uint64_t echoed, Milliseconds echoAge)
    {
        RenewSubmissions renewal;
        renewal.sentAt = (toMillisecondsOfClock(sentAt) + 5000s).count();
        renewal.entryIncarnation = 1;
        if (echoed != 0)
            renewal.echo = ClockEcho { echoed, toMillisecondsOfClock(sentAt - echoAge).count(), echoAge.count() };
        return this->inbox.renew(this->home, this->scheduler, "entry", renewal, sentAt + transitTime).has_value();
    }

    EntryInbox inbox { 250ms, ownIncarnation };
    TaskScheduler scheduler { TaskScheduler::Options {} };
    JobHome home { PlacementRegistry::Options {} };
};

BOOST_FIXTURE_TEST_CASE(late_first_message_is_ignored, InboxFixture)
{
    BOOST_TEST(!this->renew(begin, 600ms, ownIncarnation, 100ms));
}

BOOST_FIXTURE_TEST_CASE(first_message_that_was_meant_for_an_earlier_process_is_ignored, InboxFixture)
{
    BOOST_TEST(!this->renew(begin, 1ms, ownIncarnation - 1, 100ms));
}

BOOST_FIXTURE_TEST_CASE(first_message_of_an_earlier_version_is_accepted, InboxFixture)
{
    BOOST_TEST(this->renew(begin, 600ms, 0, 0ms));
}

BOOST_FIXTURE_TEST_CASE(first_message_is_accepted_after_a_reading_of_some_seconds_before, InboxFixture)
{
    BOOST_TEST(this->renew(begin, 240ms, ownIncarnation, 9s));
}

BOOST_FIXTURE_TEST_CASE(entry_host_that_is_always_slow_is_ignored_for_a_second_only, InboxFixture)
{
    for (auto time = 0ms; time < 1000ms; time += 250ms)
        BOOST_TEST(!this->renew(begin + time, 700ms, ownIncarnation, 100ms));
    for (auto time = 1000ms; time < 60s; time += 250ms)
        BOOST_TEST(this->renew(begin + time, 700ms, ownIncarnation, 100ms));
}

// A link that was interrupted carries all that it has kept at once.
BOOST_FIXTURE_TEST_CASE(messages_that_were_held_up_together_do_not_confirm_an_entry_host, InboxFixture)
{
    for (auto age = 1500ms; age >= 700ms; age -= 100ms)
        BOOST_TEST(!this->renew(begin - age, age, ownIncarnation, 100ms));
}

BOOST_AUTO_TEST_CASE(earliest_time_of_sending_allows_for_the_drift_of_the_senders_clock)
{
    // The sender's clock is 2 % fast: 10 s of it are 9,804 ms.
    BOOST_TEST((ClockEcho { 1, 1000, 10'000 }.earliestSentAt() <= 10'804ms));
    BOOST_TEST((ClockEcho { 1, 1000, 0 }.earliestSentAt() <= 1000ms));
}

BOOST_AUTO_TEST_CASE(reading_that_was_overtaken_is_not_echoed)
{
    ClockEchoes echoes;
    echoes.observe("dispatcher", 1, 2000ms, begin);
    echoes.observe("dispatcher", 1, 1500ms, begin + 10ms);
    BOOST_TEST((echoes.echoFor("dispatcher", toMillisecondsOfClock(begin + 20ms)) == ClockEcho { 1, 2000, 20 }));
    echoes.observe("dispatcher", 1, 2100ms, begin + 100ms);
    BOOST_TEST((echoes.echoFor("dispatcher", toMillisecondsOfClock(begin + 120ms)) == ClockEcho { 1, 2100, 20 }));
}

BOOST_AUTO_TEST_CASE(reading_of_a_new_process_replaces_that_of_the_former_one)
{
    ClockEchoes echoes;
    echoes.observe("dispatcher", 1, 2000ms, begin);
    echoes.observe("dispatcher", 2, 100ms, begin + 10ms);
    BOOST_TEST((echoes.echoFor("dispatcher", toMillisecondsOfClock(begin + 20ms)) == ClockEcho { 2, 100, 10 }));
}

BOOST_AUTO_TEST_CASE(reading_that_is_too_old_is_not_echoed)
{
    ClockEchoes echoes;
    echoes.observe("dispatcher", 1, 2000ms, begin);
    BOOST_TEST(!echoes.echoFor("dispatcher", toMillisecondsOfClock(begin + 9s)).isEmpty());
    BOOST_TEST(echoes.echoFor("dispatcher", toMillisecondsOfClock(begin + 11s)).isEmpty());
    BOOST_TEST(echoes.echoFor("other", toMillisecondsOfClock(begin)).isEmpty());
}

// Returns whether a job is completed whose entry host is slow, on a dispatcher whose process has started this long before.
static bool completesJobOfSlowEntryHost(Milliseconds toDispatcher, Milliseconds toEntry, Milliseconds startedBefore, bool echoesClocks)
{
    SimulatedShards shards(1, 4, 1, 1);
    shards.echoesClocks = echoesClocks;
    for (const auto* dispatcher : { "shard-0-dispatcher-1", "shard-0-dispatcher-2" }) {
        shards.delayLink(SimulatedShards::entry, dispatcher, toDispatcher);
        shards.delayLink(dispatcher, SimulatedShards::entry, toEntry);
    }
    // No gossip is due while the dispatcher is replaced.
    shards.run(3100ms);
    shards.replaceDispatcherHost(0, 0ms);
    shards.run(startedBefore);
    Submission submission;
    submission.job = "job";
    submission.queue = "queue";
    submission.pool = "pool";
    submission.needs = Catalog::Resources { 1000, 1 << 20, 0 };
    submission.estimateMilliseconds = 100;
    submission.untilDeadline = 30'000;
    submission.untilObjective = 30'000;
    shards.submit(submission);
    shards.run(4s);
    const auto* answer = shards.answer("job");
    return answer && answer->kind == JobOwner::Answer::Kind::Completed;
}

static void checkJobsOfSlowEntryHost(Milliseconds toDispatcher, Milliseconds toEntry, bool echoesClocks)
{
    for (auto startedBefore = 0ms; startedBefore <= 1500ms; startedBefore += 300ms) {
        bool isCompleted = completesJobOfSlowEntryHost(toDispatcher, toEntry, startedBefore, echoesClocks);
        BOOST_TEST(isCompleted, toDispatcher.count() << " ms to the dispatcher, " << toEntry.count() << " ms back, submitted after " << startedBefore.count() << " ms");
    }
}

BOOST_AUTO_TEST_CASE(jobs_of_slow_entry_hosts_are_served_by_a_dispatcher_that_has_just_started)
{
    for (auto delay : { 0ms, 80ms, 160ms, 240ms, 260ms, 350ms, 450ms })
        checkJobsOfSlowEntryHost(delay, 0ms, true);
    for (auto delay : { 100ms, 195ms, 260ms })
        checkJobsOfSlowEntryHost(delay, delay, true);
}

BOOST_AUTO_TEST_CASE(jobs_of_slow_entry_hosts_of_an_earlier_version_are_served_by_a_dispatcher_that_has_just_started)
{
    for (auto delay : { 0ms, 160ms, 240ms, 260ms, 450ms })
        checkJobsOfSlowEntryHost(delay, 0ms, false);
}
