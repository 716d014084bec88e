#include "SimulatedTargets.h"
#include <LibScheduler/Dispatcher/LapsedRuns.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>

// What a dispatcher records of runs that go on although it took them as ended, and of jobs that change their entry host.

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

using Kind = Decision::Kind;

namespace {

constexpr Milliseconds tickInterval { 20 };
constexpr const char* otherEntry = "other-entry";

/// One dispatcher with one target, whose answers the test writes itself. The clock of the target shows the time since `origin`.
struct Fixture {
    Instant now { std::chrono::hours(1) };
    Instant origin { this->now - 10s };
    TaskScheduler scheduler { TaskScheduler::Options {} };
    std::vector<Decision> decisions;
    std::vector<HoldOrder> holds;
    std::vector<StartOrder> starts;

    Fixture()
    {
        Membership::TargetReport report;
        report.identity = "target";
        report.incarnation = "1";
        report.pool = "pool";
        report.address = "target-address:1";
        report.capacity = Catalog::Resources { 64'000, 0, 0 };
        this->scheduler.onReport(report, this->now);
        this->scheduler.activate(10, this->now);
        this->collect();
        this->answerHolds({});
        // Leases of earlier dispatchers have ended by then.
        this->pass(1100ms, [&] { this->answerHolds({}); });
    }

    void collect()
    {
        auto effects = this->scheduler.takeEffects(this->now);
        auto append = [](auto& to, const auto& from) { to.insert(to.end(), from.begin(), from.end()); };
        append(this->decisions, effects.decisions);
        append(this->holds, effects.orders.holds);
        append(this->starts, effects.orders.starts);
    }

    [[nodiscard]] int64_t targetClock() const { return std::chrono::duration_cast<Milliseconds>(this->now - this->origin).count(); }

    void answerHolds(std::vector<RunId> running)
    {
        RunList list;
        list.clock = this->targetClock();
        list.incarnation = "1";
        list.running = std::move(running);
        for (const auto& hold : std::exchange(this->holds, {}))
            this->scheduler.onHoldAnswer(hold.instance, hold.number, list, this->now);
        this->collect();
    }

    // The entry host extends its lease on the job all the time.
    void pass(
        Milliseconds duration, const std::function<void()>& onTick = [] {})
    {
        for (auto end = this->now + duration; this->now < end;) {
            this->now += tickInterval;
            (void)this->scheduler.renew("entry", { "job" }, this->now);
            this->scheduler.tick(this->now);
            this->collect();
            onTick();
        }
    }

    RunId startRun()
    {
        this->scheduler.submit("entry", makeJob("job", 1, 1), this->now);
        this->collect();
        BOOST_REQUIRE(this->starts.size() == 1U);
        return this->starts.front().run;
    }

    void answerStart(const OrderAnswer& answer)
    {
        this->scheduler.onStartAnswer(this->starts.front().instance, this->starts.front().run, answer, this->now);
        this->collect();
    }

    const Decision* find(Kind kind) const
    {
        auto position = std::find_if(this->decisions.begin(), this->decisions.end(), [&](const auto& decision) { return decision.kind == kind; });
        return position == this->decisions.end() ? nullptr : &*position;
    }
};

}

BOOST_FIXTURE_TEST_CASE(run_that_goes_on_after_it_was_taken_as_ended_is_recorded, Fixture)
{
    auto run = this->startRun();
    this->answerStart(Acknowledged { this->targetClock() });
    // The target is silent for longer than its leases last.
    this->pass(1500ms);
    const auto* lost = this->find(Kind::RunLost);
    BOOST_REQUIRE(lost);
    auto evidence = lost->evidence;
    BOOST_TEST((evidence->proof == RunEndProof::LeaseExpired));
    BOOST_TEST(!this->find(Kind::RunOutlived));
    this->answerHolds({ run });
    const auto* outlived = this->find(Kind::RunOutlived);
    BOOST_REQUIRE(outlived);
    BOOST_TEST(outlived->target == "target");
    BOOST_TEST(outlived->run == run.number);
    BOOST_REQUIRE(outlived->sinceEnd);
    BOOST_TEST(outlived->sinceEnd->count() > 500);
    BOOST_TEST(outlived->sinceEnd->count() < 1500);
    BOOST_TEST((outlived->evidence == evidence));
    BOOST_TEST(outlived->cause.ends_with("its task waits"));
}

BOOST_FIXTURE_TEST_CASE(run_that_ended_as_assumed_is_not_recorded_as_outlived, Fixture)
{
    auto run = this->startRun();
    this->answerStart(Acknowledged { this->targetClock() });
    this->pass(1500ms);
    BOOST_REQUIRE(this->find(Kind::RunLost));
    this->answerHolds({});
    this->pass(1000ms, [&] { this->answerHolds(this->starts.size() > 1 ? std::vector { this->starts.back().run } : std::vector<RunId> {}); });
    BOOST_TEST(!this->find(Kind::RunOutlived));
    BOOST_TEST(!this->find(Kind::RunFoundLate));
    BOOST_TEST((this->starts.back().run != run));
}

BOOST_FIXTURE_TEST_CASE(start_that_was_never_confirmed_and_runs_after_its_lease_is_recorded, Fixture)
{
    auto run = this->startRun();
    auto leaseEnd = this->starts.front().leaseEnd;
    this->answerStart(Unanswered {});
    // No list arrives while the lease lasts; the hold order that is answered late was sent before.
    while (this->targetClock() <= leaseEnd + 100)
        this->pass(tickInterval);
    BOOST_TEST(!this->find(Kind::RunFoundLate));
    this->answerHolds({ run });
    const auto* late = this->find(Kind::RunFoundLate);
    BOOST_REQUIRE(late);
    BOOST_TEST(late->run == run.number);
    BOOST_REQUIRE(late->sinceEnd);
    BOOST_TEST(late->sinceEnd->count() > 50);
    BOOST_TEST(late->sinceEnd->count() < 300);
}

BOOST_FIXTURE_TEST_CASE(start_that_a_list_confirmed_in_time_is_not_recorded_as_late, Fixture)
{
    auto run = this->startRun();
    this->answerStart(Unanswered {});
    this->pass(100ms);
    this->answerHolds({ run });
    this->pass(500ms, [&] { this->answerHolds({ run }); });
    BOOST_TEST(!this->find(Kind::RunFoundLate));
}

BOOST_FIXTURE_TEST_CASE(entry_host_that_takes_a_job_over_is_recorded, Fixture)
{
    this->startRun();
    this->scheduler.submit(otherEntry, makeJob("job", 1, 1), this->now);
    this->collect();
    const auto* takenOver = this->find(Kind::JobTakenOver);
    BOOST_REQUIRE(takenOver);
    BOOST_TEST(takenOver->formerEntry == "entry");
    BOOST_TEST(takenOver->entry == otherEntry);
    auto again = makeJob("job", 1, 1);
    again.untilOtherShardRunsEnd = 500;
    this->scheduler.submit("third-entry", again, this->now);
    this->collect();
    const auto* dropped = this->find(Kind::JobDropped);
    BOOST_REQUIRE(dropped);
    BOOST_TEST(dropped->formerEntry == otherEntry);
    BOOST_TEST(dropped->entry == "third-entry");
}

BOOST_FIXTURE_TEST_CASE(submission_that_leaves_an_open_job_as_it_is_is_recorded, Fixture)
{
    this->startRun();
    this->scheduler.submit("entry", makeJob("job", 1, 1), this->now);
    this->collect();
    const auto* repeated = this->find(Kind::JobSubmittedAgain);
    BOOST_REQUIRE(repeated);
    BOOST_TEST(repeated->entry == "entry");
    BOOST_TEST(repeated->formerEntry == "entry");
    BOOST_TEST((repeated->isOpen == true));
    this->scheduler.submit(otherEntry, makeJob("job", 1, 1), this->now);
    this->decisions.clear();
    auto handedOverAgain = makeJob("job", 1, 1);
    handedOverAgain.untilOtherShardRunsEnd = 500;
    this->scheduler.submit("entry", handedOverAgain, this->now);
    this->collect();
    const auto* late = this->find(Kind::JobSubmittedAgain);
    BOOST_REQUIRE(late);
    BOOST_TEST(late->entry == "entry");
    BOOST_TEST(late->formerEntry == otherEntry);
    BOOST_TEST((late->isOpen == true));
}

BOOST_FIXTURE_TEST_CASE(submission_of_a_job_that_was_dropped_is_recorded_with_its_former_entry_host, Fixture)
{
    this->startRun();
    BOOST_TEST(!this->find(Kind::JobSubmittedAgain));
    this->scheduler.cancel("entry", "job", this->now);
    this->scheduler.submit(otherEntry, makeJob("job", 1, 1), this->now);
    this->collect();
    const auto* again = this->find(Kind::JobSubmittedAgain);
    BOOST_REQUIRE(again);
    BOOST_TEST(again->entry == otherEntry);
    BOOST_TEST(again->formerEntry == "entry");
    BOOST_TEST((again->isOpen == false));
}

BOOST_FIXTURE_TEST_CASE(answer_for_a_job_that_has_ended_is_recorded_with_both_entry_hosts, Fixture)
{
    auto run = this->startRun();
    this->answerStart(Acknowledged { this->targetClock() });
    for (int step = 0; step < 50 && this->scheduler.openJobs() > 0; ++step) {
        this->pass(tickInterval);
        RunList list;
        list.clock = this->targetClock();
        list.incarnation = "1";
        list.ended = { EndedRun { 1, run, RunEnd::Done } };
        for (const auto& hold : std::exchange(this->holds, {}))
            this->scheduler.onHoldAnswer(hold.instance, hold.number, list, this->now);
        this->collect();
    }
    BOOST_REQUIRE(this->scheduler.openJobs() == 0U);
    for (const auto* entry : { otherEntry, "third-entry" }) {
        this->decisions.clear();
        this->scheduler.submit(entry, makeJob("job", 1, 1), this->now);
        this->collect();
        const auto* answered = this->find(Kind::JobAnsweredAgain);
        BOOST_REQUIRE(answered);
        BOOST_TEST(answered->entry == entry);
        BOOST_TEST(answered->formerEntry == (entry == otherEntry ? "entry" : otherEntry));
        BOOST_TEST(!this->find(Kind::JobSubmittedAgain));
    }
}

BOOST_FIXTURE_TEST_CASE(refusal_of_a_job_that_has_runs_shows_them, Fixture)
{
    this->startRun();
    auto other = makeJob("job", 1, 1);
    other.payload = "other work";
    this->scheduler.submit(otherEntry, other, this->now);
    this->collect();
    const auto* refused = this->find(Kind::JobRefused);
    BOOST_REQUIRE(refused);
    BOOST_TEST(refused->cause == "name-in-use");
    BOOST_REQUIRE(refused->knownRuns);
    BOOST_TEST(*refused->knownRuns == 1U);
    BOOST_TEST(refused->runsOnTargets == 1U);
}

BOOST_AUTO_TEST_CASE(lapsed_runs_are_bounded_in_number_and_time)
{
    LapsedRuns lapsed;
    Instant now { std::chrono::hours(1) };
    RunId first { TaskId { "job", 0, 0, 0 }, 1 };
    lapsed.add("target", first, {}, now);
    BOOST_TEST(!lapsed.take("other-target", first, now).has_value());
    BOOST_TEST(!lapsed.take("target", first, now + LapsedRuns::retention + 1ms).has_value());
    for (uint64_t number = 1; number <= LapsedRuns::maximumRuns + 1; ++number)
        lapsed.add("target", RunId { first.task, number }, {}, now);
    BOOST_TEST(lapsed.size() == LapsedRuns::maximumRuns);
    BOOST_TEST(!lapsed.take("target", first, now).has_value());
    BOOST_TEST(lapsed.take("target", RunId { first.task, 2 }, now).has_value());
}
