#include <LibBase/Clock.h>
#include <LibLedger/StorageThread.h>

namespace Sassafrasshift::Ledger {

static constexpr Milliseconds storageFullRetryInterval { 200 };

StorageThread::StorageThread(std::unique_ptr<DiskStore> store)
    : store(std::move(store))
{
}

void StorageThread::start(Callbacks newCallbacks)
{
    this->callbacks = std::move(newCallbacks);
    this->thread = std::thread([this] { this->run(); });
}

StorageThread::~StorageThread()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->stateChanged.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

void StorageThread::submit(uint64_t ticket, std::vector<StoreOperation> operations)
{
    {
        std::lock_guard lock(this->mutex);
        this->queuedOperations.insert(this->queuedOperations.end(), std::make_move_iterator(operations.begin()), std::make_move_iterator(operations.end()));
        this->queuedTicket = ticket;
    }
    this->stateChanged.notify_all();
}

void StorageThread::run()
{
    while (true) {
        std::vector<StoreOperation> batch;
        uint64_t ticket = 0;
        {
            std::unique_lock lock(this->mutex);
            this->stateChanged.wait(lock, [this] { return this->stopping || this->queuedTicket != 0; });
            if (this->queuedTicket == 0)
                return;
            batch.swap(this->queuedOperations);
            ticket = std::exchange(this->queuedTicket, 0);
        }
        if (!this->storeBatch(batch))
            return;
        ++this->batchCount;
        this->callbacks.stored(ticket);
    }
}

bool StorageThread::storeBatch(const std::vector<StoreOperation>& batch)
{
    bool wasFull = false;
    while (true) {
        auto result = this->store->store(batch);
        if (result.has_value()) {
            if (wasFull)
                this->callbacks.storageFullChanged(false);
            return true;
        }
        if (result.error().reason != Reason::StorageFull) {
            this->callbacks.failed(result.error());
            return false;
        }
        if (!wasFull)
            this->callbacks.storageFullChanged(true);
        wasFull = true;
        std::unique_lock lock(this->mutex);
        if (this->stateChanged.wait_for(lock, storageFullRetryInterval, [this] { return this->stopping; }))
            return false;
    }
}

}
