#pragma once

#include <LibBase/Error.h>
#include <LibBase/Random.h>
#include <LibLedger/Types.h>
#include <memory>
#include <span>
#include <string>

namespace Sassafrasshift::Ledger {

/// Durable storage for the identity, log, hard state and snapshot of one replica in its data folder.
///
/// The log is a sequence of segment files. Each segment starts with the complete state at its beginning, so that recovery
/// reads only the latest one.
class DiskStore {
public:
    /// Opens a data folder, creating the folder and a new identity if they do not exist. Removes an incomplete frame at the
    /// end of the log, which a crash during a write leaves behind. Fails with Reason::Damaged if the stored data is corrupt in
    /// any other way, with Reason::StorageFull if the disk is full, and with Reason::StorageFailed if the folder cannot be used.
    [[nodiscard]] static ErrorOr<std::unique_ptr<DiskStore>> open(const std::string& folder, Random&);
    ~DiskStore();
    DiskStore(const DiskStore&) = delete;
    DiskStore& operator=(const DiskStore&) = delete;

    [[nodiscard]] const std::string& identity() const { return this->replicaIdentity; }

    /// The state that was recovered when the folder was opened.
    [[nodiscard]] const StoredState& recovered() const { return this->recoveredState; }

    /// Whether the recovered state contains a membership or a log entry. A new replica has neither until it is given an initial
    /// membership or receives the log.
    [[nodiscard]] bool isInitialized() const { return !this->recoveredState.snapshot.membership.members.empty() || !this->recoveredState.entries.empty(); }

    /// Stores operations durably. Fails with Reason::StorageFull if the disk is full; the same call must then be repeated until it
    /// succeeds, before any other. Any other failure is final, because the content of the disk is unknown: a failed fsync must
    /// not be retried (Rebello et al., "Can Applications Recover from fsync Failures?", 2020).
    [[nodiscard]] ErrorOr<void> store(std::span<const StoreOperation>);

    /// The number of bytes that this store has written to the log since it was opened.
    [[nodiscard]] uint64_t bytesWritten() const { return this->writtenByteCount; }

private:
    explicit DiskStore(std::string folder);

    [[nodiscard]] ErrorOr<void> loadOrCreateIdentity(Random&);
    [[nodiscard]] ErrorOr<void> recover();
    [[nodiscard]] ErrorOr<void> replay(const std::string& bytes, size_t& validByteCount);
    [[nodiscard]] ErrorOr<void> startSegment(const SnapshotOperation&);
    [[nodiscard]] ErrorOr<void> appendFrame(const std::string& payload);
    [[nodiscard]] ErrorOr<void> preallocate(size_t bytes);
    [[nodiscard]] std::string segmentPath(uint64_t number) const;
    void removeSegmentsBefore(uint64_t number);

    std::string folder;
    std::string replicaIdentity;
    StoredState recoveredState;
    int descriptor { -1 };
    uint64_t segmentNumber { 0 };
    /// The offset in the current segment at which the next frame is written.
    size_t writeOffset { 0 };
    /// The size of the current segment, including the preallocated space.
    size_t allocatedBytes { 0 };
    uint64_t writtenByteCount { 0 };
};

/// Applies an operation to an in-memory state. Recovery replays the log with this function.
void applyOperation(StoredState&, const StoreOperation&);

}
