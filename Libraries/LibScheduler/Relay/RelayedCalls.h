#pragma once

#include <LibBase/Clock.h>
#include <LibScheduler/Relay/RelayMessages.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// The orders that a dispatcher has sent to relays and that are not answered yet. It finds the relays that give no answers. It performs no
/// I/O and is passed the time.
class RelayedCalls {
public:
    /// How much longer than the target a relay may take to answer, for both ways and for collecting answers.
    static constexpr Milliseconds relayTime { 100 };
    /// How long a relay that gave no answer gets no orders.
    static constexpr Milliseconds lostRelayPause { 2000 };
    /// Further orders are sent directly. A dispatcher has one hold order for each target and a start order for each run.
    static constexpr size_t maximumOpenCalls = 20'000;

    enum class Kind {
        Hold,
        Start,
        Stop,
    };

    /// An order without an answer.
    struct Call {
        Kind kind { Kind::Hold };
        std::string relay;
        TargetInstance instance;
        /// The number of a hold order, or the run of another one.
        uint64_t holdNumber { 0 };
        RunId run;
        Instant expiresAt {};
    };

    /// The number of this process, which the answers to its calls repeat.
    explicit RelayedCalls(uint64_t process)
        : process(process)
    {
    }

    /// Whether the limit of open calls permits another one.
    [[nodiscard]] bool hasRoom() const { return this->calls.size() < maximumOpenCalls; }
    /// Records an order that is sent to a relay, and returns its call number. The call expires `relayTime` after the timeout.
    uint64_t open(const HoldOrder&, const std::string& relay, Milliseconds answerTimeout, Instant now);
    uint64_t open(const StartOrder&, const std::string& relay, Milliseconds answerTimeout, Instant now);
    uint64_t open(const StopOrder&, const std::string& relay, Milliseconds answerTimeout, Instant now);

    /// Removes the call that a relay has answered. Returns nothing if the answer is for another process, or the call is not open or was
    /// sent to another relay.
    [[nodiscard]] std::optional<Call> close(uint64_t answeredProcess, uint64_t number, const std::string& relay);

    /// Removes the calls that have expired; their outcome is unknown. Their relays are lost for `lostRelayPause`, and the open hold orders of
    /// a lost relay expire with them, so that the leases can be renewed through another relay.
    ///
    /// A call expires in the second invocation after its time, so that answers that have arrived while this process could not read
    /// them are read first.
    [[nodiscard]] std::vector<Call> takeExpired(Instant now);

    [[nodiscard]] bool isLost(const std::string& relay, Instant now) const;
    /// The relays that were lost since the last invocation.
    [[nodiscard]] std::vector<std::string> takeLostRelays();
    [[nodiscard]] size_t openCalls() const { return this->calls.size(); }

private:
    uint64_t insert(Call, Milliseconds answerTimeout, Instant now);

    uint64_t process;
    std::map<uint64_t, Call> calls;
    uint64_t nextNumber { 1 };
    Instant lastCheck {};
    /// The relays that gave no answer, and until when they get no orders.
    std::map<std::string, Instant, std::less<>> lostUntil;
    std::vector<std::string> newlyLost;
};

/// The answer to a start or stop order as the session takes it. An answer of another kind leaves the outcome unknown.
[[nodiscard]] OrderAnswer toOrderAnswer(RelayedAnswer);
/// The answer to a hold order; the same applies.
[[nodiscard]] HoldAnswer toHoldAnswer(RelayedAnswer);

}
