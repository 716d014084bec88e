#pragma once

#include "ClusterContext.h"
#include <LibCatalog/RouteTable.h>
#include <LibDurableState/DurableState.h>
#include <memory>

namespace Sassafrasshift::Daemon {

/// Holds the published document in force on this member, and distributes it. Its version never decreases while the process
/// runs.
class RouteKeeper {
public:
    explicit RouteKeeper(ClusterContext&);

    /// Puts a published document in force, unless its version is not higher than the present one.
    void offer(const DurableState::PublishedDocument&);
    /// Sends a new document to other members, and requests the document of a member that has a newer one.
    void synchronize(Instant now);

    void onMessage(const std::string& from, const DocumentRequest&);
    void onMessage(const std::string& from, const DocumentTransfer&);

    /// The routes in force; null if no document is in force.
    [[nodiscard]] const Catalog::RouteTable* routes() const { return this->table.get(); }
    [[nodiscard]] const DurableState::PublishedDocument& document() const { return this->inForce; }

private:
    void sendToMembers(Instant now);

    ClusterContext& context;
    DurableState::PublishedDocument inForce;
    std::unique_ptr<const Catalog::RouteTable> table;
    Instant nextDocumentRequest {};
    bool hasUnsentDocument { false };
};

}
