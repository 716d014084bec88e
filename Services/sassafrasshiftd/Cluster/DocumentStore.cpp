#include "Cluster/DocumentStore.h"
#include <LibTelemetry/Log.h>
#include <platform/Decode.h>
#include <utility>

namespace Sassafrasshift::Daemon {

using Telemetry::LogLevel;

static constexpr Milliseconds documentRequestInterval { 200 };

DocumentStore::DocumentStore(ClusterContext& context)
    : context(context)
{
}

void DocumentStore::activateIfNewer(const DurableState::PublishedDocument& document)
{
    if (document.version <= this->inForce.version)
        return;
    auto routes = Platform::decodeConfiguration(document.text);
    if (!routes) {
        Telemetry::log(LogLevel::Error, "routes-unreadable", "a published document is invalid and was not put in force", { { "version", std::to_string(document.version) }, { "detail", routes.error().detail } });
        return;
    }
    this->inForce = document;
    this->currentRouteTable = std::make_unique<const Catalog::RouteTable>(std::move(routes).value());
    this->context.cluster.self().configurationVersion = document.version;
    Telemetry::log(LogLevel::Information, "routes-in-force", "this member put a published document in force", { { "version", std::to_string(document.version) }, { "routes", std::to_string(this->currentRouteTable->routes().size()) } });
    this->hasUnsentDocument = true;
}

// Ledger replicas receive a document through the log, and the leader sends it to the members without a replica. Of several
// documents that are applied between two ticks, for example after a restart, only the latest is sent.
void DocumentStore::sendToMembers(Instant now)
{
    const auto& self = this->context.cluster.self();
    if (!std::exchange(this->hasUnsentDocument, false) || self.replicaIdentity.empty() || self.ledgerLeader != this->context.ownAddress())
        return;
    for (const auto* member : this->context.cluster.liveMembers(now)) {
        if (member->replicaIdentity.empty())
            this->context.send(member->address, DocumentTransfer { this->inForce });
    }
}

void DocumentStore::synchronize(Instant now)
{
    this->sendToMembers(now);
    if (now < this->nextDocumentRequest)
        return;
    for (const auto* member : this->context.cluster.liveMembers(now)) {
        if (member->configurationVersion <= this->inForce.version)
            continue;
        this->nextDocumentRequest = now + documentRequestInterval;
        this->context.send(member->address, DocumentRequest { this->inForce.version });
        return;
    }
}

void DocumentStore::onMessage(const std::string& from, const DocumentRequest& request)
{
    if (this->inForce.version > request.knownVersion)
        this->context.send(from, DocumentTransfer { this->inForce });
}

void DocumentStore::onMessage(const std::string&, const DocumentTransfer& transfer)
{
    this->activateIfNewer(transfer.document);
}

}
