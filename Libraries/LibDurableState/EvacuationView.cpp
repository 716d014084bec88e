#include <LibDurableState/EvacuationView.h>

namespace Sassafrasshift::DurableState {

static constexpr Milliseconds requestInterval { 200 };
// Without a limit, no task would start after the ledger was lost for good.
static constexpr Milliseconds maximumWaitForSet { 2000 };

EvacuationView::EvacuationView(Instant now)
    : lastHeardOfSet(now)
{
}

bool EvacuationView::activateIfNewer(const EvacuatedDomains& evacuated)
{
    if (evacuated.revision <= this->inForce.revision)
        return false;
    this->inForce = evacuated;
    return true;
}

std::optional<std::string> EvacuationView::update(const std::vector<Peer>& peers, Instant now)
{
    std::vector<const Peer*> newer;
    for (const auto& peer : peers) {
        if (peer.revision > 0)
            this->lastHeardOfSet = now;
        if (peer.revision > this->inForce.revision)
            newer.push_back(&peer);
    }
    this->hasWaited = this->hasWaited || now - this->lastHeardOfSet >= maximumWaitForSet;
    if (newer.empty() || now < this->nextRequest)
        return {};
    this->nextRequest = now + requestInterval;
    return newer[this->requests++ % newer.size()]->address;
}

}
