#include "Cluster/EvacuationStore.h"
#include <LibTelemetry/Log.h>
#include <vector>

namespace Sassafrasshift::Daemon {

using Telemetry::LogLevel;

static constexpr size_t maximumLoggedDomains = 20;
// Each comparison goes through the records of all members.
static constexpr Milliseconds comparisonInterval { 100 };

EvacuationStore::EvacuationStore(ClusterContext& context)
    : context(context)
    , view(context.now())
{
}

static std::string describe(const std::set<std::string>& domains)
{
    std::string text;
    size_t count = 0;
    for (const auto& domain : domains) {
        if (count++ == maximumLoggedDomains)
            return text + " ...";
        text += (text.empty() ? "" : " ") + domain;
    }
    return text;
}

void EvacuationStore::activateIfNewer(const DurableState::EvacuatedDomains& evacuated, Distribution distribution)
{
    if (!this->view.activateIfNewer(evacuated))
        return;
    this->context.cluster.self().evacuationRevision = evacuated.revision;
    this->context.metrics.setGauge("evacuation_revision", static_cast<double>(evacuated.revision));
    this->context.metrics.setGauge("evacuated_domains", static_cast<double>(evacuated.domains.size()));
    Telemetry::log(LogLevel::Information, "evacuation-in-force", "this member put a set of evacuated failure domains in force", { { "revision", std::to_string(evacuated.revision) }, { "count", std::to_string(evacuated.domains.size()) }, { "domains", describe(evacuated.domains) } });
    if (distribution == Distribution::None)
        return;
    for (const auto* member : this->context.cluster.liveMembers(this->context.now())) {
        if (member != &this->context.cluster.self())
            this->context.send(member->address, EvacuationTransfer { evacuated });
    }
}

void EvacuationStore::synchronize(Instant now)
{
    if (now < this->nextComparison)
        return;
    this->nextComparison = now + comparisonInterval;
    std::vector<DurableState::EvacuationView::Peer> peers;
    for (const auto* member : this->context.cluster.liveMembers(now)) {
        if (member != &this->context.cluster.self())
            peers.push_back({ member->address, member->evacuationRevision });
    }
    bool couldDispatch = this->view.mayDispatch();
    if (auto peer = this->view.update(peers, now))
        this->context.send(*peer, EvacuationRequest { this->evacuated().revision });
    if (!couldDispatch && this->view.mayDispatch())
        Telemetry::log(LogLevel::Warning, "evacuation-unknown", "no member has a set of evacuated failure domains; this member dispatches without one");
}

void EvacuationStore::onMessage(const std::string& from, const EvacuationRequest& request)
{
    if (this->evacuated().revision > request.knownRevision)
        this->context.send(from, EvacuationTransfer { this->evacuated() });
}

void EvacuationStore::onMessage(const std::string&, const EvacuationTransfer& transfer)
{
    this->activateIfNewer(transfer.evacuated, Distribution::None);
}

}
