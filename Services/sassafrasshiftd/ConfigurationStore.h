#pragma once

#include "Context.h"
#include <LibCatalog/Catalog.h>
#include <LibDurableState/DurableState.h>
#include <memory>

namespace Sassafrasshift::Daemon {

/// Holds the configuration that is in force on this host. A configuration is written to disk before it is put in force, so
/// that a restart never reverts to an older version.
class ConfigurationStore {
public:
    explicit ConfigurationStore(Context&);

    /// Restores the configuration that was in force before a restart, if one is stored. Fails with Reason::Damaged if the
    /// stored file is damaged or does not pass validation.
    [[nodiscard]] ErrorOr<void> load();

    /// Stores a published configuration and puts it in force. A version that is not newer than the one in force is ignored.
    void activateIfNewer(const DurableState::PublishedConfiguration&);

    /// Returns the catalog of the configuration in force, or null if no configuration is in force.
    [[nodiscard]] const Catalog::Catalog* catalog() const { return this->currentCatalog.get(); }
    [[nodiscard]] const DurableState::PublishedConfiguration& published() const { return this->inForce; }
    [[nodiscard]] uint64_t version() const { return this->inForce.version; }

    /// Sets the function that is called each time another version has been put in force.
    void setChangeHandler(std::function<void()> handler) { this->changeHandler = std::move(handler); }

private:
    [[nodiscard]] std::string path() const;
    /// Validates a configuration and puts it in force. Logs the faults and returns false if it is invalid.
    [[nodiscard]] bool activate(const DurableState::PublishedConfiguration&);

    Context& context;
    DurableState::PublishedConfiguration inForce;
    std::unique_ptr<const Catalog::Catalog> currentCatalog;
    std::function<void()> changeHandler;
};

}
