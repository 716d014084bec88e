#include <LibLedger/Replica.h>
#include <LibLedger/VoterQuorum.h>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <set>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Ledger;
using namespace std::chrono_literals;

// What a group concludes from hosts that come back without their disks.
namespace {

constexpr Instant start { std::chrono::hours(1) };

Membership makeGroup(const std::vector<std::string>& names)
{
    Membership membership;
    for (const auto& name : names)
        membership.members.push_back({ name, "host-" + name, MemberRole::Voter });
    return membership;
}

bool isQuorumOf(const Membership& membership, const std::set<std::string>& retired, const std::set<std::string>& selected)
{
    return isQuorum(membership, retired, [&](const auto& identity) { return selected.contains(identity); });
}

// Replica "a" of a group of four, whose other members are played by the test.
struct CandidateOfFour {
    Replica replica;
    Instant now { start };

    CandidateOfFour()
        : replica(options(), storedState(), Random(1), start)
    {
    }

    static Replica::Options options()
    {
        Replica::Options result;
        result.identity = "a";
        result.host = "host-a";
        return result;
    }

    static StoredState storedState()
    {
        StoredState result;
        result.snapshot.membership = makeGroup({ "a", "b", "c", "d" });
        return result;
    }

    // Lets time pass until the replica has the role.
    void waitFor(Role role)
    {
        while (this->replica.role() != role) {
            this->now += 1ms;
            this->replica.tick(this->now);
            this->store();
        }
    }

    void store()
    {
        auto effects = this->replica.takeEffects();
        this->replica.markStored(effects.ticket);
    }

    void receive(const std::string& from, const std::string& fromHost, MessageBody body)
    {
        bool isAccepted = this->replica.receive(Message { 0, from, fromHost, "a", "host-a", std::move(body) }, this->now);
        BOOST_TEST(isAccepted);
        this->store();
    }

    void grant(const std::string& from, VoteStage stage)
    {
        auto term = this->replica.term() + (stage == VoteStage::PreVote ? 1 : 0);
        this->receive(from, "host-" + from, VoteResponse { stage, term, true });
    }

    void retire(const std::string& identity)
    {
        this->receive("new-" + identity, "host-" + identity, RetirementNotice { identity });
    }
};

}

BOOST_AUTO_TEST_CASE(half_of_an_even_group_is_a_quorum_once_a_voter_is_retired)
{
    auto group = makeGroup({ "a", "b", "c", "d", "e", "f" });
    BOOST_TEST(!isQuorumOf(group, {}, { "a", "b", "c" }));
    BOOST_TEST(isQuorumOf(group, {}, { "a", "b", "c", "d" }));
    BOOST_TEST(isQuorumOf(group, { "f" }, { "a", "b", "c" }));
    BOOST_TEST(isQuorumOf(group, { "e", "f" }, { "a", "b", "c" }));
    BOOST_TEST(!isQuorumOf(group, { "e", "f" }, { "a", "b" }));
    BOOST_TEST(!isQuorumOf(group, { "f" }, { "a", "b", "f" }));
    BOOST_TEST(!isQuorumOf(group, { "stranger" }, { "a", "b", "c" }));
}

BOOST_AUTO_TEST_CASE(odd_group_keeps_its_quorum_whoever_is_retired)
{
    auto group = makeGroup({ "a", "b", "c", "d", "e" });
    BOOST_TEST(!isQuorumOf(group, { "d", "e" }, { "a", "b" }));
    BOOST_TEST(isQuorumOf(group, { "d", "e" }, { "a", "b", "c" }));
    BOOST_TEST(!isQuorumOf({}, {}, {}));
}

BOOST_AUTO_TEST_CASE(transition_takes_a_quorum_of_both_groups)
{
    auto former = makeGroup({ "a", "b", "c", "d" });
    auto membership = makeGroup({ "a", "b", "c" }).following(former);
    BOOST_REQUIRE(membership.isTransition());
    BOOST_TEST(!isQuorumOf(membership, {}, { "a", "b" }));
    BOOST_TEST(!isQuorumOf(membership, {}, { "a", "d" }));
    BOOST_TEST(isQuorumOf(membership, {}, { "a", "b", "c" }));
    BOOST_TEST(isQuorumOf(membership, {}, { "a", "b", "d" }));
    BOOST_TEST(isQuorumOf(membership.settled(), {}, { "a", "b" }));
    BOOST_TEST(!former.with({ "e", "host-e", MemberRole::Learner }).following(former).isTransition());
}

// Guards against two leaders in one term: the replica that has retired since may have voted for another candidate of this term.
BOOST_AUTO_TEST_CASE(replica_that_retires_during_an_election_does_not_count_as_retired_in_it)
{
    CandidateOfFour candidate;
    candidate.waitFor(Role::PreCandidate);
    candidate.grant("b", VoteStage::PreVote);
    candidate.grant("c", VoteStage::PreVote);
    BOOST_REQUIRE((candidate.replica.role() == Role::Candidate));
    candidate.grant("b", VoteStage::Vote);
    candidate.retire("d");
    BOOST_TEST((candidate.replica.role() == Role::Candidate));
    // The next election begins after it.
    candidate.waitFor(Role::PreCandidate);
    candidate.grant("b", VoteStage::PreVote);
    BOOST_REQUIRE((candidate.replica.role() == Role::Candidate));
    candidate.grant("b", VoteStage::Vote);
    BOOST_TEST((candidate.replica.role() == Role::Leader));
}

BOOST_AUTO_TEST_CASE(notice_of_another_host_retires_nobody)
{
    CandidateOfFour candidate;
    candidate.waitFor(Role::PreCandidate);
    candidate.receive("new-d", "host-c", RetirementNotice { "d" });
    candidate.receive("d", "host-d", RetirementNotice { "d" });
    candidate.receive("new-x", "host-x", RetirementNotice { "x" });
    candidate.grant("b", VoteStage::PreVote);
    BOOST_TEST((candidate.replica.role() == Role::PreCandidate));
}

BOOST_AUTO_TEST_CASE(host_answers_a_pre_vote_request_for_its_former_identity)
{
    CandidateOfFour host;
    auto ask = [&](VoteStage stage, const std::string& to, const std::string& toHost) {
        BOOST_TEST(host.replica.receive(Message { 0, "b", "host-b", to, toHost, VoteRequest { stage, 1, 0, 0 } }, host.now));
        return host.replica.takeEffects().immediateMessages;
    };
    auto answers = ask(VoteStage::PreVote, "former-a", "host-a");
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers.front() == Message { 0, "a", "host-a", "b", "host-b", RetirementNotice { "former-a" } }));
    BOOST_TEST(ask(VoteStage::PreVote, "former-a", "host-z").empty());
    BOOST_TEST(ask(VoteStage::Vote, "former-a", "host-a").empty());
}
