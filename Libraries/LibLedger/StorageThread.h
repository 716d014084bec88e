#pragma once

#include <LibLedger/DiskStore.h>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Sassafrasshift::Ledger {

/// Stores operations on a dedicated thread. Operations that are submitted while a sync is in progress share the next sync
/// (group commit).
class StorageThread {
public:
    /// All callbacks are called on the storage thread.
    struct Callbacks {
        /// Called when the operations up to a ticket are durable.
        std::function<void(uint64_t ticket)> stored;
        /// Called with true when the disk is full and the thread starts to retry, and with false when a retry has succeeded.
        std::function<void(bool full)> storageFullChanged;
        /// Called when storing has failed permanently. The thread stores nothing after this.
        std::function<void(Error)> failed;
    };

    StorageThread(std::unique_ptr<DiskStore>, Callbacks);
    ~StorageThread();
    StorageThread(const StorageThread&) = delete;
    StorageThread& operator=(const StorageThread&) = delete;

    void submit(uint64_t ticket, std::vector<StoreOperation>);

    [[nodiscard]] uint64_t batchesStored() const { return this->batchCount; }

private:
    void run();
    /// Stores a batch, and retries while the disk is full. Returns false if storing has failed or the thread is stopping.
    [[nodiscard]] bool storeBatch(const std::vector<StoreOperation>&);

    std::unique_ptr<DiskStore> store;
    Callbacks callbacks;
    std::mutex mutex;
    std::condition_variable stateChanged;
    std::vector<StoreOperation> queuedOperations;
    uint64_t queuedTicket { 0 };
    bool stopping { false };
    std::atomic<uint64_t> batchCount { 0 };
    std::thread thread;
};

}
