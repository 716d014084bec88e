#include <LibLedger/MessageValidation.h>
#include <LibTransport/Codec.h>
#include <algorithm>

namespace Sassafrasshift::Ledger {

// The highest term and index of a message. Replicas derive higher ones, which must not overflow.
static constexpr uint64_t maximumCounter = uint64_t { 1 } << 53;

static bool isWellFormed(const Membership& membership)
{
    auto isWellFormedMember = [](const auto& member) {
        return !member.identity.empty() && (member.role == MemberRole::Voter || member.role == MemberRole::Learner);
    };
    return std::all_of(membership.members.begin(), membership.members.end(), isWellFormedMember)
        && std::all_of(membership.formerVoters.begin(), membership.formerVoters.end(), isWellFormedMember);
}

static bool isWellFormed(const Entry& entry)
{
    switch (entry.kind) {
    case EntryKind::Command:
    case EntryKind::NoOperation:
        return true;
    case EntryKind::Membership: {
        auto membership = Transport::decodeValue<Membership>(entry.payload);
        return membership && isWellFormed(*membership);
    }
    }
    return false;
}

static bool isWellFormed(const VoteRequest& request)
{
    bool hasKnownStage = request.stage == VoteStage::PreVote || request.stage == VoteStage::Vote;
    return hasKnownStage && std::max({ request.term, request.lastTerm, request.lastIndex }) <= maximumCounter;
}

static bool isWellFormed(const VoteResponse& response)
{
    return (response.stage == VoteStage::PreVote || response.stage == VoteStage::Vote) && response.term <= maximumCounter;
}

static bool isWellFormed(const AppendRequest& request)
{
    if (std::max({ request.term, request.previousTerm, request.previousIndex, request.commitIndex }) > maximumCounter)
        return false;
    auto index = request.previousIndex;
    auto term = request.previousTerm;
    for (const auto& entry : request.entries) {
        if (entry.index != ++index || entry.term < term || entry.term > request.term || !isWellFormed(entry))
            return false;
        term = entry.term;
    }
    return true;
}

static bool isWellFormed(const AppendResponse& response)
{
    return std::max(response.term, response.matchIndex) <= maximumCounter;
}

static bool isWellFormed(const SnapshotRequest& request)
{
    const auto& snapshot = request.snapshot;
    return std::max(request.term, snapshot.index) <= maximumCounter && snapshot.term <= request.term && isWellFormed(snapshot.membership);
}

static bool isWellFormed(const RetirementNotice& notice)
{
    return !notice.retiredIdentity.empty();
}

bool isWellFormed(const Message& message)
{
    return std::visit([](const auto& body) { return isWellFormed(body); }, message.body);
}

}
