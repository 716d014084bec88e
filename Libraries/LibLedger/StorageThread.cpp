#include <LibBase/Clock.h>
#include <LibLedger/StorageThread.h>

namespace Sassafrasshift::Ledger {

static constexpr Milliseconds fullRetryInterval { 200 };

StorageThread::StorageThread(std::unique_ptr<DiskStore> store, Reports reports)
    : store(std::move(store))
    , reports(std::move(reports))
    , thread([this] { this->run(); })
{
}

StorageThread::~StorageThread()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

void StorageThread::submit(uint64_t ticket, std::vector<StoreOperation> operations)
{
    {
        std::lock_guard lock(this->mutex);
        this->waiting.insert(this->waiting.end(), std::make_move_iterator(operations.begin()), std::make_move_iterator(operations.end()));
        this->waitingTicket = ticket;
    }
    this->changed.notify_all();
}

void StorageThread::run()
{
    while (true) {
        std::vector<StoreOperation> batch;
        uint64_t ticket = 0;
        {
            std::unique_lock lock(this->mutex);
            this->changed.wait(lock, [this] { return this->stopping || this->waitingTicket != 0; });
            if (this->waitingTicket == 0)
                return;
            batch.swap(this->waiting);
            ticket = std::exchange(this->waitingTicket, 0);
        }
        if (!this->storeBatch(batch))
            return;
        ++this->batchCount;
        this->reports.stored(ticket);
    }
}

bool StorageThread::storeBatch(const std::vector<StoreOperation>& batch)
{
    bool wasFull = false;
    while (true) {
        auto result = this->store->store(batch);
        if (result.has_value()) {
            if (wasFull)
                this->reports.fullnessChanged(false);
            return true;
        }
        if (result.error().reason != Reason::StorageFull) {
            this->reports.failed(result.error());
            return false;
        }
        if (!wasFull)
            this->reports.fullnessChanged(true);
        wasFull = true;
        std::unique_lock lock(this->mutex);
        if (this->changed.wait_for(lock, fullRetryInterval, [this] { return this->stopping; }))
            return false;
    }
}

}
