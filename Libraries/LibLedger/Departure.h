#pragma once

#include <LibBase/Clock.h>
#include <LibLedger/Replica.h>

namespace Sassafrasshift::Ledger {

/// How a replica leaves its group before its process ends: it asks the leader for its removal until that is committed, or until it
/// may end as a voter. The owner sends the requests and bounds the time that the departure may take. The class performs no I/O.
class Departure {
public:
    /// Begins to leave. From then on the replica must not ask to join.
    void begin() { this->begun = true; }
    [[nodiscard]] bool hasBegun() const { return this->begun; }

    /// Whether the process may end as far as the group is concerned.
    [[nodiscard]] bool isFinished() const { return this->finished; }

    /// Whether the owner has to ask the leader for the removal now. The next request is due after an interval.
    [[nodiscard]] bool takeRequest(const Replica&, Instant now);

    /// Handles the leader's response to a request.
    void onOutcome(LeaveOutcome);

private:
    bool begun { false };
    bool finished { false };
    Instant nextRequest {};
};

}
