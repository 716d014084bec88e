#include <LibMembership/PeerTable.h>
#include <boost/test/unit_test.hpp>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Membership;
using namespace std::chrono_literals;

struct Fixture {
    ManualClock clock;
    PeerTable table { "b", { { "a", "d" }, { "b", "d" }, { "c", "e" } }, 1500ms, clock.now() };

    void observeHeartbeat(const std::string& host, const std::string& incarnation = "1", HostState state = HostState::Serving)
    {
        Heartbeat heartbeat;
        heartbeat.host = host;
        heartbeat.incarnation = incarnation;
        heartbeat.state = state;
        this->table.observe(heartbeat, this->clock.now());
    }
};

BOOST_FIXTURE_TEST_CASE(first_live_host_by_name_is_the_dispatcher, Fixture)
{
    BOOST_TEST(this->table.dispatcherOf("d", this->clock.now()) == "b");
    this->observeHeartbeat("a");
    BOOST_TEST(this->table.dispatcherOf("d", this->clock.now()) == "a");
    this->clock.advance(1500ms);
    BOOST_TEST(this->table.dispatcherOf("d", this->clock.now()) == "b");
    BOOST_TEST(this->table.dispatcherOf("e", this->clock.now()) == "");
}

BOOST_FIXTURE_TEST_CASE(leaving_host_is_not_the_dispatcher, Fixture)
{
    this->observeHeartbeat("a", "1", HostState::Leaving);
    BOOST_TEST(this->table.isAlive("a", this->clock.now()));
    BOOST_TEST(this->table.dispatcherOf("d", this->clock.now()) == "b");
}

BOOST_FIXTURE_TEST_CASE(new_incarnation_means_that_the_earlier_one_is_lost, Fixture)
{
    this->observeHeartbeat("a", "1");
    BOOST_TEST(!this->table.isLost("a", "1", this->clock.now()));
    this->observeHeartbeat("a", "2");
    BOOST_TEST(this->table.isLost("a", "1", this->clock.now()));
    BOOST_TEST(!this->table.isLost("a", "2", this->clock.now()));
}

BOOST_FIXTURE_TEST_CASE(host_that_never_sent_a_heartbeat_is_lost_after_the_timeout, Fixture)
{
    BOOST_TEST(!this->table.isLost("c", "1", this->clock.now()));
    this->clock.advance(1500ms);
    BOOST_TEST(this->table.isLost("c", "1", this->clock.now()));
}
