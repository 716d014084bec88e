#pragma once

#include <LibBase/Error.h>
#include <LibLedger/Types.h>
#include <functional>
#include <vector>

namespace Sassafrasshift::Ledger {

/// Stores the operations of one replica durably, in the order in which they are submitted.
class Storage {
public:
    /// The storage may call the callbacks on any thread, but calls them one at a time.
    struct Callbacks {
        /// Called when the operations up to a ticket are durable.
        std::function<void(uint64_t ticket)> stored;
        /// Called with true when the disk is full and the storage starts to retry, and with false when a retry has succeeded.
        std::function<void(bool full)> storageFullChanged;
        /// Called when storing has failed permanently. Nothing is stored after this.
        std::function<void(Error)> failed;
    };

    virtual ~Storage() = default;

    /// Must be called once, before the first call of submit().
    virtual void start(Callbacks) = 0;
    /// Queues operations. Tickets increase.
    virtual void submit(uint64_t ticket, std::vector<StoreOperation>) = 0;
    /// The number of batches that have been stored, each with one sync.
    [[nodiscard]] virtual uint64_t batchesStored() const = 0;
};

}
