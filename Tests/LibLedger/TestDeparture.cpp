#include <LibLedger/Departure.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Ledger;
using namespace std::chrono_literals;

namespace {

constexpr Instant startTime { 1h };

Replica makeVoter()
{
    Replica::Options options;
    options.identity = "a";
    options.host = "a";
    StoredState stored;
    for (const auto* name : { "a", "b", "c" })
        stored.snapshot.membership.members.push_back({ name, name, MemberRole::Voter });
    return Replica(options, stored, Random(1), startTime);
}

}

BOOST_AUTO_TEST_CASE(departure_asks_until_the_outcome_is_known)
{
    auto replica = makeVoter();
    Departure departure;
    BOOST_TEST(!departure.takeRequest(replica, startTime));
    departure.begin();
    BOOST_TEST(departure.takeRequest(replica, startTime));
    BOOST_TEST(!departure.takeRequest(replica, startTime + 1ms));
    departure.onOutcome(LeaveOutcome::Pending);
    BOOST_TEST(!departure.isFinished());
    BOOST_TEST(departure.takeRequest(replica, startTime + 1s));
    departure.onOutcome(LeaveOutcome::Left);
    BOOST_TEST(departure.isFinished());
    BOOST_TEST(!departure.takeRequest(replica, startTime + 2s));
}

// Guards against a process that ends as a voter because of a message that it does not understand or has not asked for.
BOOST_AUTO_TEST_CASE(departure_is_not_finished_by_an_unknown_or_unasked_outcome)
{
    Departure departure;
    departure.onOutcome(LeaveOutcome::Left);
    BOOST_TEST(!departure.isFinished());
    departure.begin();
    departure.onOutcome(static_cast<LeaveOutcome>(99));
    BOOST_TEST(!departure.isFinished());
}

BOOST_AUTO_TEST_CASE(replica_without_a_group_has_nothing_to_leave)
{
    Replica::Options options;
    options.identity = "a";
    options.host = "a";
    Replica replica(options, {}, Random(1), startTime);
    Departure departure;
    departure.begin();
    BOOST_TEST(!departure.takeRequest(replica, startTime));
    BOOST_TEST(departure.isFinished());
}
