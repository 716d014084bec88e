#include "SimulatedTargets.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Scheduler;
using namespace std::chrono_literals;

namespace {

const RunId ownRun { TaskId { "own", 0, 0, 0 }, 1 };
const RunId otherRun { TaskId { "other", 0, 0, 0 }, 1 };
constexpr uint64_t firstFence = 10;
constexpr int64_t clockAtStart = 100'000;

std::shared_ptr<const JobLease> makeJobLease(Instant now)
{
    return std::make_shared<const JobLease>(JobLease { now });
}

/// A session with a claimed target, driven by hand.
struct Session {
    Instant now { std::chrono::hours(1) };
    TargetSession session;
    std::vector<HoldOrder> holds;

    Session()
        : session(makeReport(), firstFence, {}, this->now)
    {
        this->collect();
        this->answer(0, {});
    }

    static Membership::TargetReport makeReport()
    {
        return SimulatedTarget("target", Catalog::Resources { 32'000, 1 << 30, 0 }).report();
    }

    void collect()
    {
        for (const auto& order : this->session.takeOrders().holds)
            this->holds.push_back(order);
    }

    void advance(Milliseconds duration)
    {
        this->now += duration;
        this->session.tick(this->now);
        this->collect();
    }

    void answer(size_t hold, std::vector<RunId> running, const std::string& incarnation = "1", int64_t clock = clockAtStart)
    {
        this->session.onHoldAnswer(this->holds.at(hold).number, RunList { clock, incarnation, std::move(running), {} }, this->now);
        this->collect();
    }

    /// Leaves two hold orders open, the second of them a probe.
    void openHoldAndProbe()
    {
        this->session.start(ownRun, {}, {}, makeJobLease(this->now), this->now);
        this->session.onStartAnswer(ownRun, Acknowledged { clockAtStart }, this->now);
        this->advance(1ms);
        this->session.stop(ownRun, this->now);
        this->session.onStopAnswer(ownRun, Acknowledged { clockAtStart }, this->now);
        this->collect();
        BOOST_REQUIRE(this->holds.size() >= 3);
        (void)this->session.takeEvents();
    }

    [[nodiscard]] bool hasEnded(const RunId& run)
    {
        auto events = this->session.takeEvents();
        return std::any_of(events.begin(), events.end(), [&](const auto& event) { return event.kind == TargetSession::Event::Kind::Ended && event.run == run; });
    }
};

}

// Answers to hold orders on different connections may overtake each other.
BOOST_AUTO_TEST_CASE(list_that_was_asked_for_before_a_run_was_discovered_does_not_end_the_run)
{
    for (bool isAdopted : { false, true }) {
        Session session;
        session.openHoldAndProbe();
        session.advance(1ms);
        session.answer(2, { otherRun });
        if (isAdopted)
            session.session.adopt(otherRun, {}, makeJobLease(session.now), session.now);
        session.now += 1ms;
        session.answer(1, {});
        BOOST_TEST(!session.hasEnded(otherRun), "adopted: " << isAdopted);
        session.advance(1ms);
        session.advance(1ms);
        session.answer(session.holds.size() - 1, {});
        BOOST_TEST(session.hasEnded(otherRun), "adopted: " << isAdopted);
    }
}

// A late start order may still reach the new process, which has not seen the stop order.
BOOST_AUTO_TEST_CASE(stop_confirmed_by_an_earlier_process_does_not_prove_that_the_run_cannot_start)
{
    Session session;
    session.session.start(ownRun, {}, {}, makeJobLease(session.now), session.now);
    session.advance(1ms);
    session.session.onStartAnswer(ownRun, Unanswered {}, session.now);
    session.session.onStopAnswer(ownRun, Acknowledged { clockAtStart }, session.now);
    session.advance(1ms);
    session.answer(session.holds.size() - 1, {}, "2", 10);
    BOOST_TEST(!session.hasEnded(ownRun));
    session.advance(1ms);
    session.session.onStopAnswer(ownRun, Acknowledged { 11 }, session.now);
    session.advance(1ms);
    session.answer(session.holds.size() - 1, {}, "2", 12);
    BOOST_TEST(session.hasEnded(ownRun));
}

BOOST_AUTO_TEST_CASE(late_list_of_an_earlier_incarnation_is_ignored)
{
    Session session;
    session.openHoldAndProbe();
    session.answer(2, { otherRun }, "2", 10);
    session.now += 1ms;
    session.answer(1, {}, "1");
    BOOST_TEST(session.session.target().incarnation == "2");
    BOOST_TEST(!session.hasEnded(otherRun));
}
