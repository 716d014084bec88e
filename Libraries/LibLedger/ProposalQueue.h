#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Error.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Sassafrasshift::Ledger {

/// The commands that a host has proposed and that are not confirmed yet. Each command is sent to the leader, and resent until
/// it is confirmed or its timeout expires, so a command may be applied more than once. The class performs no I/O.
class ProposalQueue {
public:
    /// Called once with the encoded result of the command. The verdict of an error says whether the command may still be
    /// applied.
    using Completion = std::function<void(ErrorOr<std::string>)>;

    struct Options {
        /// The time after which an unconfirmed command is sent again to the same leader.
        Milliseconds resendInterval { 400 };
        size_t maximumProposals { 4096 };
        /// Whether a command is also sent again when the leader reported an error other than Reason::NotLeader.
        bool retriesFailedCommands { false };
    };

    struct OutgoingProposal {
        std::string leader;
        uint64_t number { 0 };
        std::string command;
        /// Whether the command was sent before.
        bool isResend { false };

        friend auto operator<=>(const OutgoingProposal&, const OutgoingProposal&) = default;
    };

    explicit ProposalQueue(Options);

    /// Adds a command. Completes it immediately with Reason::Overloaded if the queue is full.
    void add(std::string command, Milliseconds timeout, Completion, Instant now);
    /// Returns the commands that are due to be sent to the leader now; none if the leader is unknown (empty).
    [[nodiscard]] std::vector<OutgoingProposal> takeDue(const std::string& leader, Instant now);
    void onResult(uint64_t number, std::string result);
    /// Handles an error that a host reported. A command that may be retried is sent again after a short delay; any other one
    /// is completed with the error.
    void onFailure(const std::string& from, uint64_t number, Error, Instant now);
    /// Completes the commands whose timeout has expired with Reason::NoQuorum.
    void expire(Instant now);

private:
    struct Proposal {
        std::string command;
        Completion completion;
        Instant deadline {};
        Instant nextSendTime {};
        /// The host that the command was last sent to; empty if it has not been sent.
        std::string sentTo;
    };

    void complete(uint64_t number, ErrorOr<std::string>);

    Options options;
    std::map<uint64_t, Proposal> proposals;
    uint64_t nextNumber { 1 };
};

}
