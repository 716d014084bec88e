#pragma once

#include <LibBase/Clock.h>
#include <LibBase/Error.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Sassafrasshift::Ledger {

/// The commands that a host has proposed: each goes to the leader, and again until it is confirmed or its time is over. A
/// command may be applied more than once. It does no input or output.
class ProposalQueue {
public:
    /// Called once with the encoded result. The verdict of a failure says whether the command may still be applied.
    using Completion = std::function<void(ErrorOr<std::string>)>;

    struct Options {
        /// Between two sendings of a command to the same leader.
        Milliseconds resendInterval { 400 };
        size_t maximumProposals { 4096 };
        /// Whether a command that a leader failed to carry out is sent again, beside those that reached no leader.
        bool retriesFailedCommands { false };
    };

    struct OutgoingProposal {
        std::string leader;
        uint64_t number { 0 };
        std::string command;
        /// Whether it had been sent before.
        bool isResend { false };

        friend auto operator<=>(const OutgoingProposal&, const OutgoingProposal&) = default;
    };

    explicit ProposalQueue(Options);

    void add(std::string command, Milliseconds timeout, Completion, Instant now);
    /// What has to be sent now, where a leader is known.
    [[nodiscard]] std::vector<OutgoingProposal> takeDue(const std::string& leader, Instant now);
    void onResult(uint64_t number, std::string result);
    void onFailure(const std::string& from, uint64_t number, Error, Instant now);
    /// Completes the commands whose time is over.
    void expire(Instant now);

private:
    struct Proposal {
        std::string command;
        Completion completion;
        Instant deadline {};
        Instant nextSendTime {};
        std::string sentTo;
    };

    void complete(uint64_t number, ErrorOr<std::string>);

    Options options;
    std::map<uint64_t, Proposal> proposals;
    uint64_t nextNumber { 1 };
};

}
