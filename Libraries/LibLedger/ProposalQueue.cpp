#include <LibLedger/ProposalQueue.h>
#include <utility>

namespace Sassafrasshift::Ledger {

// The delay before a command is sent again after a host reported a failure or that it is not the leader.
static constexpr Milliseconds failureRetryDelay { 50 };
// The delays after which the error of a refused or expired command advises the caller to retry.
static constexpr Milliseconds retryAfterOverload { 200 };
static constexpr Milliseconds retryAfterExpiry { 1000 };

ProposalQueue::ProposalQueue(Options options)
    : options(options)
{
}

void ProposalQueue::add(std::string command, Milliseconds timeout, Completion completion, Instant now)
{
    if (this->proposals.size() >= this->options.maximumProposals) {
        completion(tl::unexpected(Error::notRun(Reason::Overloaded, "too many commands are waiting for the ledger").withRetryAfter(retryAfterOverload)));
        return;
    }
    this->proposals.emplace(this->nextNumber++, Proposal { std::move(command), std::move(completion), now + timeout, now, {} });
}

std::vector<ProposalQueue::OutgoingProposal> ProposalQueue::takeDue(const std::string& leader, Instant now)
{
    std::vector<OutgoingProposal> due;
    if (leader.empty())
        return due;
    for (auto& [number, proposal] : this->proposals) {
        if (now < proposal.nextSendTime && leader == proposal.sentTo)
            continue;
        due.push_back(OutgoingProposal { leader, number, proposal.command, !proposal.sentTo.empty() });
        proposal.sentTo = leader;
        proposal.nextSendTime = now + this->options.resendInterval;
    }
    return due;
}

void ProposalQueue::complete(uint64_t number, ErrorOr<std::string> result)
{
    auto position = this->proposals.find(number);
    if (position == this->proposals.end())
        return;
    auto completion = std::move(position->second.completion);
    this->proposals.erase(position);
    completion(std::move(result));
}

void ProposalQueue::onResult(uint64_t number, std::string result)
{
    this->complete(number, std::move(result));
}

void ProposalQueue::onFailure(const std::string& from, uint64_t number, Error error, Instant now)
{
    auto position = this->proposals.find(number);
    if (position == this->proposals.end())
        return;
    if (error.reason != Reason::NotLeader && !this->options.retriesFailedCommands)
        return this->complete(number, tl::unexpected(std::move(error)));
    if (position->second.sentTo == from)
        position->second.nextSendTime = now + failureRetryDelay;
}

void ProposalQueue::expire(Instant now)
{
    std::vector<uint64_t> expired;
    for (const auto& [number, proposal] : this->proposals) {
        if (now >= proposal.deadline)
            expired.push_back(number);
    }
    for (auto number : expired) {
        bool wasSent = !this->proposals.at(number).sentTo.empty();
        auto error = wasSent ? Error::mayHaveRun(Reason::NoQuorum, "the ledger did not confirm the command before its timeout") : Error::notRun(Reason::NoQuorum, "no leader of the ledger is reachable");
        this->complete(number, tl::unexpected(error.withRetryAfter(retryAfterExpiry)));
    }
}

}
