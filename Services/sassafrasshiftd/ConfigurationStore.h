#pragma once

#include "Context.h"
#include <LibCatalog/Catalog.h>
#include <LibDurableState/DurableState.h>
#include <memory>

namespace Sassafrasshift::Daemon {

/// Holds the configuration in force. Its version never goes back: it is kept on disk before it is put in force.
class ConfigurationStore {
public:
    explicit ConfigurationStore(Context&);

    /// Puts back in force what was in force before a restart.
    [[nodiscard]] ErrorOr<void> load();

    /// Takes in a published configuration. Versions that are not newer are ignored.
    void activateIfNewer(const DurableState::PublishedConfiguration&);

    /// Null where there is none.
    [[nodiscard]] const Catalog::Catalog* catalog() const { return this->currentCatalog.get(); }
    [[nodiscard]] const DurableState::PublishedConfiguration& published() const { return this->inForce; }
    [[nodiscard]] uint64_t version() const { return this->inForce.version; }

    /// Called whenever another version has come into force.
    void whenChanged(std::function<void()> function) { this->onChange = std::move(function); }

private:
    [[nodiscard]] std::string path() const;
    [[nodiscard]] bool activate(const DurableState::PublishedConfiguration&);

    Context& context;
    DurableState::PublishedConfiguration inForce;
    std::unique_ptr<const Catalog::Catalog> currentCatalog;
    std::function<void()> onChange;
};

}
