#pragma once

#include "ClusterContext.h"
#include <LibCatalog/RouteTable.h>
#include <LibDurableState/DurableState.h>
#include <memory>

namespace Sassafrasshift::Daemon {

/// Holds the published document in force on this member in memory, and distributes it to other members. The version in force
/// never decreases while the process runs.
class DocumentStore {
public:
    explicit DocumentStore(ClusterContext&);

    /// Puts a published document in force. A document that is not newer than the one in force is ignored; an invalid one is logged
    /// and ignored.
    void activateIfNewer(const DurableState::PublishedDocument&);
    /// On the leader of the ledger: sends a new document to the members without a replica. On every member: requests the
    /// document of a member that has a newer one.
    void synchronize(Instant now);

    void onMessage(const std::string& from, const DocumentRequest&);
    void onMessage(const std::string& from, const DocumentTransfer&);

    /// The routes of the document in force; null if no document is in force.
    [[nodiscard]] const Catalog::RouteTable* routeTable() const { return this->currentRouteTable.get(); }
    [[nodiscard]] const DurableState::PublishedDocument& published() const { return this->inForce; }

private:
    void sendToMembers(Instant now);

    ClusterContext& context;
    DurableState::PublishedDocument inForce;
    std::unique_ptr<const Catalog::RouteTable> currentRouteTable;
    Instant nextDocumentRequest {};
    bool hasUnsentDocument { false };
};

}
