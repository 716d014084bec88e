#pragma once

#include <LibLedger/DiskStore.h>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Sassafrasshift::Ledger {

/// Stores operations in a thread of its own. All that has come in while a sync was under way shares the next one.
class StorageThread {
public:
    /// What the thread reports. All are called in the storage thread.
    struct Callbacks {
        std::function<void(uint64_t ticket)> stored;
        /// Storing waits for room, or goes on again.
        std::function<void(bool full)> storageFullChanged;
        /// Storing has ended for good.
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
