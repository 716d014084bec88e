#pragma once

#include <LibLedger/DiskStore.h>
#include <LibLedger/Storage.h>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace Sassafrasshift::Ledger {

/// Stores operations on a dedicated thread. Operations that are submitted while a sync is in progress share the next sync
/// (group commit).
class StorageThread final : public Storage {
public:
    explicit StorageThread(std::unique_ptr<DiskStore>);
    ~StorageThread() override;
    StorageThread(const StorageThread&) = delete;
    StorageThread& operator=(const StorageThread&) = delete;

    /// The callbacks are called on the storage thread.
    void start(Callbacks) override;
    void submit(uint64_t ticket, std::vector<StoreOperation>) override;

    [[nodiscard]] uint64_t batchesStored() const override { return this->batchCount; }

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
