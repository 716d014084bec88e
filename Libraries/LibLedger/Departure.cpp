#include <LibLedger/Departure.h>

namespace Sassafrasshift::Ledger {

// A removal takes a sync on a quorum of disks.
static constexpr Milliseconds requestInterval { 50 };

bool Departure::takeRequest(const Replica& replica, Instant now)
{
    if (!this->begun || this->finished)
        return false;
    // A leader that was removed learns of it by itself; the leader of the others no longer sends it anything.
    this->finished = replica.hasLeft();
    if (this->finished || now < this->nextRequest)
        return false;
    this->nextRequest = now + requestInterval;
    return true;
}

void Departure::onOutcome(LeaveOutcome outcome)
{
    // A leader of a later version may send an outcome that this version does not know.
    if (outcome == LeaveOutcome::Left || outcome == LeaveOutcome::Kept)
        this->finished = this->begun;
}

}
