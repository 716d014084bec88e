#include <LibMembership/Cluster.h>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <limits>
#include <map>
#include <memory>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Membership;
using namespace std::chrono_literals;

namespace {

// Simulates members that exchange gossip over links that a test can cut.
struct Network {
    Instant now { std::chrono::hours(1) };
    std::map<std::string, std::unique_ptr<Cluster>> members;
    std::map<std::string, Instant> nextGossip;
    std::function<bool(const std::string& from, const std::string& to)> isCut = [](const auto&, const auto&) { return false; };

    void add(const std::string& address, std::vector<std::string> seeds, uint32_t weight, bool isEntry = true, const std::string& failureDomain = "")
    {
        MemberRecord self;
        self.failureDomain = failureDomain;
        self.address = address;
        self.name = address;
        self.incarnation = static_cast<uint64_t>(this->now.time_since_epoch().count());
        self.isEntry = isEntry;
        self.dispatchWeight = weight;
        this->members[address] = std::make_unique<Cluster>(self, std::move(seeds), Cluster::Options {}, Random(std::hash<std::string> {}(address)), this->now);
        this->nextGossip[address] = this->now;
    }

    void run(Milliseconds duration)
    {
        for (auto end = this->now + duration; this->now < end; this->now += 10ms) {
            for (auto& [address, member] : this->members) {
                auto epoch = member->self().dispatchEpoch;
                member->updateClaim(this->now, 0);
                if (member->self().dispatchEpoch != epoch)
                    this->broadcast(*member);
                if (this->now < this->nextGossip[address])
                    continue;
                this->nextGossip[address] = this->now + member->gossipInterval(this->now);
                auto recipients = member->nextGossipRecipients(this->now);
                auto liveRecords = member->liveRecords(this->now);
                for (const auto& to : recipients) {
                    if (this->members.contains(to) && !this->isCut(address, to))
                        this->exchange(*member, *this->members.at(to), liveRecords);
                }
            }
        }
    }

    // Sends a new claim to all members at once.
    void broadcast(Cluster& sender)
    {
        sender.incrementHeartbeat();
        for (const auto* recipient : sender.liveMembers(this->now)) {
            if (recipient != &sender.self() && this->members.contains(recipient->address) && !this->isCut(sender.self().address, recipient->address))
                this->members.at(recipient->address)->mergeRecords({ sender.self() }, this->now);
        }
    }

    // Delivers a gossip message, and the reply that the recipient may send.
    void exchange(Cluster& sender, Cluster& recipient, const std::vector<MemberRecord>& records)
    {
        recipient.mergeRecords(records, this->now);
        if (recipient.shouldSendAllRecords(records.size(), this->now) && !this->isCut(recipient.self().address, sender.self().address))
            sender.mergeRecords(recipient.liveRecords(this->now), this->now);
    }

    std::string dispatcherAt(const std::string& address)
    {
        const auto& member = *this->members.at(address);
        const auto* dispatcher = member.dispatcher(member.ownShard(), this->now);
        return dispatcher ? dispatcher->address : "";
    }

    bool allSeeAsDispatcher(const std::string& expected)
    {
        return std::all_of(this->members.begin(), this->members.end(), [&](const auto& entry) { return this->dispatcherAt(entry.first) == expected; });
    }
};

struct Fixture : Network {
    Fixture()
    {
        this->add("seed-a", { "seed-a", "seed-b" }, 0, false);
        this->add("seed-b", { "seed-a", "seed-b" }, 0, false);
        this->add("entry-a", { "seed-a", "seed-b" }, 250);
        this->add("entry-b", { "seed-a", "seed-b" }, 250);
        this->add("entry-c", { "seed-a", "seed-b" }, 500);
    }
};

}

BOOST_FIXTURE_TEST_CASE(members_discover_each_other_and_agree_on_the_dispatcher_with_the_highest_weight, Fixture)
{
    this->run(2s);
    for (const auto& [address, member] : this->members)
        BOOST_TEST(member->liveMembers(this->now).size() == 5U);
    BOOST_TEST(this->allSeeAsDispatcher("entry-c"));
}

BOOST_FIXTURE_TEST_CASE(a_failed_dispatcher_is_replaced_by_one_with_a_higher_epoch, Fixture)
{
    this->run(2s);
    auto epoch = this->members.at("entry-c")->self().dispatchEpoch;
    this->members.erase("entry-c");
    this->run(2s);
    auto next = this->dispatcherAt("entry-a");
    BOOST_TEST(this->allSeeAsDispatcher(next));
    BOOST_TEST(this->members.at(next)->self().dispatchEpoch > epoch);
}

BOOST_FIXTURE_TEST_CASE(a_dispatcher_that_restarts_does_not_replace_its_successor, Fixture)
{
    this->run(2s);
    this->members.erase("entry-c");
    this->run(2s);
    auto successor = this->dispatcherAt("entry-a");
    this->add("entry-c", { "seed-a", "seed-b" }, 500);
    this->run(2s);
    BOOST_TEST(this->allSeeAsDispatcher(successor));
}

BOOST_FIXTURE_TEST_CASE(each_side_of_a_partition_has_a_dispatcher_and_one_remains_after_it_heals, Fixture)
{
    this->run(2s);
    this->isCut = [](const std::string& from, const std::string& to) { return (from == "entry-a") != (to == "entry-a"); };
    this->run(2s);
    BOOST_TEST(this->dispatcherAt("entry-a") == "entry-a");
    BOOST_TEST(this->dispatcherAt("entry-b") == "entry-c");
    this->isCut = [](const auto&, const auto&) { return false; };
    this->run(2s);
    BOOST_TEST(this->allSeeAsDispatcher(this->dispatcherAt("entry-b")));
}

BOOST_AUTO_TEST_CASE(an_isolated_member_waits_for_others_before_it_makes_a_claim)
{
    Network network;
    network.add("entry-a", { "seed-a" }, 250);
    network.run(1s);
    BOOST_TEST(network.dispatcherAt("entry-a").empty());
    network.run(1s);
    BOOST_TEST(network.dispatcherAt("entry-a") == "entry-a");
}

BOOST_FIXTURE_TEST_CASE(a_leaving_dispatcher_is_replaced_immediately, Fixture)
{
    this->run(2s);
    auto& leaving = *this->members.at("entry-c");
    leaving.self().state = HostState::Leaving;
    leaving.self().dispatchEpoch = 0;
    this->run(500ms);
    BOOST_TEST(!this->dispatcherAt("entry-a").empty());
    BOOST_TEST(this->dispatcherAt("entry-a") != "entry-c");
}

BOOST_FIXTURE_TEST_CASE(membership_is_stable_only_some_time_after_the_last_member_returned, Fixture)
{
    this->run(5s);
    auto& member = *this->members.at("entry-a");
    BOOST_TEST(member.isStableFor(3s, this->now));
    this->members.erase("seed-b");
    this->run(2s);
    BOOST_TEST(!member.isStableFor(3s, this->now));
    this->add("seed-b", { "seed-a", "seed-b" }, 0, false);
    this->run(2s);
    BOOST_TEST(!member.isStableFor(3s, this->now));
    this->run(2s);
    BOOST_TEST(member.isStableFor(3s, this->now));
}

BOOST_AUTO_TEST_CASE(a_process_whose_clock_was_set_back_supersedes_its_earlier_record)
{
    Network network;
    network.add("seed-a", {}, 0, false);
    MemberRecord earlier;
    earlier.address = "seed-a";
    earlier.incarnation = network.members.at("seed-a")->self().incarnation + 5;
    network.members.at("seed-a")->mergeRecords({ earlier }, network.now);
    BOOST_TEST(network.members.at("seed-a")->self().incarnation > earlier.incarnation);
}

// Another member would take the next message of the process for the first one of a new sender, which counts as on time.
BOOST_AUTO_TEST_CASE(process_is_not_taken_for_another_one_when_it_supersedes_its_earlier_record)
{
    Network network;
    network.add("seed-a", {}, 0, false);
    auto& member = *network.members.at("seed-a");
    auto before = member.processIncarnation();
    MemberRecord earlier;
    earlier.address = "seed-a";
    earlier.incarnation = before + 5;
    member.mergeRecords({ earlier }, network.now);
    BOOST_TEST(member.self().incarnation != before);
    BOOST_TEST(member.processIncarnation() == before);
}

BOOST_AUTO_TEST_CASE(members_of_a_partitioned_failure_domain_keep_each_other_alive)
{
    for (int attempt = 0; attempt < 10; ++attempt) {
        Network network;
        auto suffix = std::to_string(attempt);
        auto first = "north-1-" + suffix;
        auto second = "north-2-" + suffix;
        network.add(first, { "south-0" }, 250, true, "north");
        network.add(second, { "south-0" }, 250, true, "north");
        for (int i = 0; i < 10; ++i)
            network.add("south-" + std::to_string(i), { "south-0" }, 250, true, "south");
        network.run(2s);
        network.isCut = [](const std::string& from, const std::string& to) { return from.starts_with("north") != to.starts_with("north"); };
        for (int i = 0; i < 200; ++i) {
            network.run(10ms);
            BOOST_REQUIRE(network.members.at(first)->isAlive(second, network.now));
            BOOST_REQUIRE(network.members.at(second)->isAlive(first, network.now));
        }
        BOOST_TEST(network.dispatcherAt(first) == network.dispatcherAt(second));
    }
}

namespace {

// Three failure domains, each with a seed, two entries of high weight and six of low weight.
struct LargeCluster : Network {
    std::vector<std::string> domains { "east", "north", "west" };
    std::vector<std::string> seeds { "seed-east", "seed-north", "seed-west" };

    LargeCluster()
    {
        for (const auto& domain : this->domains) {
            this->add("seed-" + domain, this->seeds, 0, false, domain);
            for (int i = 0; i < 8; ++i)
                this->add(domain + "-" + std::to_string(i), this->seeds, i < 2 ? 300 : 90, true, domain);
        }
    }

    std::vector<std::string> dispatchersAt(const std::string& address)
    {
        std::vector<std::string> addresses;
        for (const auto* member : this->members.at(address)->dispatchers(this->now))
            addresses.push_back(member->address);
        return addresses;
    }

    void cutOff(const std::string& domain)
    {
        this->isCut = [this, domain](const std::string& from, const std::string& to) { return this->isIn(domain, from) != this->isIn(domain, to); };
    }

    [[nodiscard]] bool isIn(const std::string& domain, const std::string& address) const { return address.find(domain) != std::string::npos; }
};

}

BOOST_FIXTURE_TEST_CASE(a_large_cluster_has_a_dispatcher_in_each_failure_domain, LargeCluster)
{
    this->run(4s);
    std::vector<std::string> expected { "east-1", "north-1", "west-1" };
    for (const auto& [address, member] : this->members) {
        auto found = this->dispatchersAt(address);
        BOOST_TEST(found == expected, boost::test_tools::per_element());
    }
}

BOOST_FIXTURE_TEST_CASE(a_partitioned_failure_domain_and_the_others_keep_their_dispatchers, LargeCluster)
{
    this->run(4s);
    auto epoch = this->members.at("west-1")->self().dispatchEpoch;
    this->cutOff("west");
    this->run(4s);
    BOOST_TEST(this->dispatchersAt("west-5") == std::vector<std::string> { "west-1" }, boost::test_tools::per_element());
    std::vector<std::string> others { "east-1", "north-1" };
    BOOST_TEST(this->dispatchersAt("east-5") == others, boost::test_tools::per_element());
    this->isCut = [](const auto&, const auto&) { return false; };
    this->run(4s);
    BOOST_TEST(this->dispatchersAt("east-5").size() == 3U);
    BOOST_TEST(this->members.at("west-1")->self().dispatchEpoch == epoch);
}

// The others of its failure domain go on with another dispatcher, which may give the same jobs to other targets.
BOOST_FIXTURE_TEST_CASE(member_that_has_lost_contact_to_all_others_does_not_dispatch, LargeCluster)
{
    for (const std::string cutOffMember : { "west-0", "west-1" }) {
        this->isCut = [](const auto&, const auto&) { return false; };
        this->run(4s);
        this->isCut = [&](const std::string& from, const std::string& to) { return (from == cutOffMember) != (to == cutOffMember); };
        this->run(4s);
        BOOST_TEST(this->dispatcherAt(cutOffMember) == "");
        BOOST_TEST(this->dispatcherAt("west-5") != cutOffMember);
        BOOST_TEST(this->dispatcherAt("west-5") != "");
    }
    this->isCut = [](const auto&, const auto&) { return false; };
    this->run(4s);
    BOOST_TEST(this->dispatchersAt("west-1").size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(member_that_hears_no_other_does_not_replace_a_dispatcher_that_it_suspects, LargeCluster)
{
    this->run(4s);
    auto epoch = this->members.at("west-1")->self().dispatchEpoch;
    this->isCut = [](const std::string& from, const std::string& to) { return (from == "west-0") != (to == "west-0"); };
    this->run(700ms);
    this->members.at("west-0")->suspect("west-1", this->now);
    this->run(300ms);
    this->isCut = [](const auto&, const auto&) { return false; };
    this->members.at("west-0")->clearSuspicion("west-1");
    this->run(1s);
    BOOST_TEST(this->dispatcherAt("west-5") == "west-1");
    BOOST_TEST(this->members.at("west-1")->self().dispatchEpoch == epoch);
}

BOOST_FIXTURE_TEST_CASE(entry_hosts_of_a_shard_are_listed_until_their_last_heartbeat_is_too_old, LargeCluster)
{
    this->run(4s);
    auto& member = *this->members.at("west-1");
    BOOST_TEST(member.recentEntries("west", 1500ms, this->now).size() == 8U);
    this->members.erase("west-5");
    this->run(1s);
    member.suspect("west-5", this->now);
    BOOST_TEST(member.recentEntries("west", 1500ms, this->now).contains("west-5"));
    this->run(1500ms);
    BOOST_TEST(member.recentEntries("west", 1500ms, this->now).size() == 7U);
    BOOST_TEST(!member.recentEntries("west", 1500ms, this->now).contains("seed-west"));
}

BOOST_FIXTURE_TEST_CASE(time_since_the_heartbeat_of_a_lost_member_grows, LargeCluster)
{
    this->run(4s);
    auto& member = *this->members.at("west-1");
    BOOST_TEST((member.sinceHeartbeat("west-1", this->now) == 0ms));
    this->members.erase("west-5");
    auto before = member.sinceHeartbeat("west-5", this->now);
    this->run(2s);
    BOOST_TEST((member.sinceHeartbeat("west-5", this->now) >= before));
    BOOST_TEST((member.sinceHeartbeat("west-5", this->now) > 1s));
}

BOOST_FIXTURE_TEST_CASE(a_restarted_member_of_high_weight_takes_over_from_a_dispatcher_of_low_weight, LargeCluster)
{
    this->run(4s);
    this->members.erase("west-0");
    this->members.erase("west-1");
    this->run(4s);
    BOOST_TEST(this->dispatcherAt("west-5") == "west-7");
    this->add("west-0", this->seeds, 300, true, "west");
    this->run(8s);
    BOOST_TEST(this->dispatcherAt("west-5") == "west-0");
}

BOOST_FIXTURE_TEST_CASE(a_failure_domain_without_a_dispatching_member_belongs_to_another_shard, LargeCluster)
{
    this->add("south-0", this->seeds, 0, false, "south");
    this->run(4s);
    BOOST_TEST(this->members.at("east-3")->shardFor("south") == "west");
    BOOST_TEST(this->members.at("west-3")->shardFor("south") == "west");
    BOOST_TEST(this->members.at("west-3")->shardFor("north") == "north");
}

BOOST_FIXTURE_TEST_CASE(a_suspected_dispatcher_is_replaced_before_its_failure_timeout, LargeCluster)
{
    this->run(4s);
    this->members.erase("west-1");
    this->run(700ms);
    BOOST_TEST(this->dispatcherAt("west-0") == "west-1");
    for (auto& [address, member] : this->members)
        member->suspect("west-1", this->now);
    this->run(600ms);
    BOOST_TEST(this->dispatcherAt("west-5") == "west-0");
    // Heartbeats relayed by other members do not clear a suspicion.
    BOOST_TEST(!this->members.at("west-5")->isAlive("west-1", this->now));
}

BOOST_FIXTURE_TEST_CASE(a_suspicion_ends_with_a_message_from_the_member_itself, LargeCluster)
{
    this->run(4s);
    auto& member = *this->members.at("west-5");
    member.suspect("west-1", this->now);
    BOOST_TEST(!member.isAlive("west-1", this->now));
    member.clearSuspicion("west-1");
    BOOST_TEST(member.isAlive("west-1", this->now));
}

BOOST_FIXTURE_TEST_CASE(a_restarted_member_adopts_the_layout_of_the_others, LargeCluster)
{
    this->run(4s);
    this->cutOff("west");
    this->members.erase("west-5");
    this->run(2s);
    this->add("west-5", this->seeds, 90, true, "west");
    this->members.at("west-5")->setSeeds({ "seed-west" });
    this->run(1s);
    BOOST_TEST(this->dispatcherAt("west-5") == "west-1");
}

namespace {

// Starts six failure domains with a seed each within 360 ms, as after a loss of power everywhere, and returns the time from the last
// start until all members know the dispatchers of all domains.
Milliseconds timeFromStartToDispatchers(int entriesPerDomain, unsigned seed)
{
    static constexpr Milliseconds startSpread { 360 };
    static constexpr Milliseconds limit { 5000 };
    static constexpr int domains = 6;
    Network network;
    std::vector<std::string> seeds { "seed-0", "seed-1", "seed-2" };
    Random random(seed);
    std::multimap<Milliseconds, std::function<void()>> starts;
    for (int domain = 0; domain < domains; ++domain) {
        auto name = std::to_string(domain);
        auto schedule = [&](const std::string& address, uint32_t weight, bool isEntry) {
            starts.emplace(Milliseconds(random() % static_cast<uint64_t>(startSpread.count())), [&network, &seeds, name, address, weight, isEntry] { network.add(address, seeds, weight, isEntry, name); });
        };
        schedule("seed-" + name, 0, false);
        for (int i = 0; i < entriesPerDomain; ++i)
            schedule(name + "-" + std::to_string(i), i % 4 == 0 ? 300 : 90, true);
    }
    Milliseconds elapsed { 0 };
    for (const auto& [startAt, start] : starts) {
        network.run(startAt - elapsed);
        elapsed = startAt;
        start();
    }
    auto lastStart = network.now;
    auto knowsAll = [&](const auto& entry) { return entry.second->dispatchers(network.now).size() == domains; };
    while (network.now - lastStart < limit && !std::all_of(network.members.begin(), network.members.end(), knowsAll))
        network.run(10ms);
    return std::chrono::duration_cast<Milliseconds>(network.now - lastStart);
}

// The mean over several orders in which the hosts start.
Milliseconds meanTimeToDispatchers(int entriesPerDomain, unsigned schedules)
{
    Milliseconds sum { 0 };
    for (unsigned seed = 1; seed <= schedules; ++seed)
        sum += timeFromStartToDispatchers(entriesPerDomain, seed);
    return sum / schedules;
}

}

BOOST_AUTO_TEST_CASE(members_that_start_together_find_their_dispatchers_as_fast_in_a_large_cluster)
{
    auto small = meanTimeToDispatchers(4, 12);
    auto medium = meanTimeToDispatchers(16, 12);
    auto large = meanTimeToDispatchers(49, 2);
    BOOST_TEST_MESSAGE("30 members: " << small.count() << " ms, 102: " << medium.count() << " ms, 300: " << large.count() << " ms");
    // The last member that starts waits for the claim delay at most, and hears of the claims within a gossip round.
    static constexpr Cluster::Options options;
    auto limit = options.claimDelay + options.largeClusterInterval;
    BOOST_TEST(small.count() <= limit.count());
    BOOST_TEST(medium.count() <= limit.count());
    BOOST_TEST(large.count() <= limit.count());
}

BOOST_FIXTURE_TEST_CASE(member_that_starts_learns_all_members_from_one_reply, LargeCluster)
{
    this->run(4s);
    this->add("west-8", this->seeds, 90, true, "west");
    this->run(10ms);
    BOOST_TEST(this->members.at("west-8")->liveMembers(this->now).size() == this->members.size());
    BOOST_TEST(this->dispatcherAt("west-8") == "west-1");
}

// Senders of an earlier version do not say how many members they know.
BOOST_FIXTURE_TEST_CASE(only_a_member_that_knows_far_less_is_sent_all_records, LargeCluster)
{
    this->run(4s);
    const auto& member = *this->members.at("west-5");
    auto known = member.liveMembers(this->now).size();
    BOOST_TEST(member.shouldSendAllRecords(1, this->now));
    BOOST_TEST(!member.shouldSendAllRecords(known, this->now));
    BOOST_TEST(!member.shouldSendAllRecords(known * 95 / 100, this->now));
    BOOST_TEST(!member.shouldSendAllRecords(0, this->now));
}

// Hosts that accept reports forget targets that they do not hear; the candidates for dispatching keep them.
BOOST_AUTO_TEST_CASE(new_dispatcher_asks_the_other_candidates_of_its_shard_for_targets)
{
    Network network;
    std::vector<std::string> seeds { "ledger" };
    network.add("ledger", seeds, 0, false);
    network.add("first", seeds, 10);
    network.add("second", seeds, 10);
    network.add("plain", seeds, 0);
    network.run(2s);
    auto hosts = network.members.at("first")->targetListHosts(network.now);
    std::sort(hosts.begin(), hosts.end());
    BOOST_TEST((hosts == std::vector<std::string> { "ledger", "second" }));
}

BOOST_AUTO_TEST_CASE(record_with_numbers_out_of_range_stops_no_member)
{
    static constexpr auto maximum = std::numeric_limits<uint64_t>::max();
    Network network;
    network.add("seed-a", {}, 500, false);
    auto& member = *network.members.at("seed-a");
    auto incarnation = member.self().incarnation;
    MemberRecord odd;
    odd.address = "odd";
    odd.dispatchEpoch = maximum;
    odd.incarnation = 1;
    member.mergeRecords({ odd }, network.now);
    BOOST_TEST(!member.find("odd"));
    member.raiseEpoch(0);
    BOOST_TEST(member.self().dispatchEpoch == 1U);
    // A record of this member itself makes it use the next higher incarnation.
    odd = MemberRecord {};
    odd.address = "seed-a";
    odd.incarnation = maximum;
    member.mergeRecords({ odd }, network.now);
    BOOST_TEST(member.self().incarnation >= incarnation);
    odd.incarnation = 1;
    odd.address = "odd";
    odd.configurationVersion = maximum;
    member.mergeRecords({ odd }, network.now);
    BOOST_TEST(!member.find("odd"));
    odd.configurationVersion = 0;
    // The layout only ever changes to a higher value, and spreads to all members.
    odd.layout = static_cast<DispatchLayout>(77);
    member.mergeRecords({ odd }, network.now);
    BOOST_TEST((member.layout() == DispatchLayout::WholeCluster));
    odd.layout = DispatchLayout::WholeCluster;
    odd.state = static_cast<HostState>(-1);
    member.mergeRecords({ odd }, network.now);
    BOOST_TEST(!member.find("odd"));
    odd.state = HostState::Serving;
    member.mergeRecords({ odd }, network.now);
    BOOST_TEST(member.find("odd"));
}
