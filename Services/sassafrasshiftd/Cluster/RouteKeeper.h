#pragma once

#include "ClusterContext.h"
#include <LibCatalog/RouteTable.h>
#include <LibDurableState/DurableState.h>
#include <memory>

namespace Sassafrasshift::Daemon {

/// Holds the published document in force on this member. Its version never goes back while the process lives.
class RouteKeeper {
public:
    explicit RouteKeeper(ClusterContext&);

    /// Puts a published document in force. One that is not newer is ignored.
    void offer(const DurableState::PublishedDocument&);
    /// Tells other members of a new document, and asks a member whose document is newer for it.
    void synchronize(Instant now);

    void onMessage(const std::string& from, const DocumentRequest&);
    void onMessage(const std::string& from, const DocumentTransfer&);

    /// Null where there is none.
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
