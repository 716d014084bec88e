#pragma once

#include <LibBase/Error.h>
#include <LibBase/Random.h>
#include <LibLedger/Types.h>
#include <memory>
#include <span>
#include <string>

namespace Sassafrasshift::Ledger {

/// The log and the snapshots of one replica in its data folder.
///
/// The log is a sequence of segments. Each starts with the state at its beginning, so that only the latest is read.
class DiskStore {
public:
    /// Opens a folder, and makes a new identity where it holds none. A frame that was cut short at the end is removed.
    /// Fails with Reason::Damaged where anything else is wrong with what was stored, with Reason::StorageFailed where
    /// the folder cannot be used.
    [[nodiscard]] static ErrorOr<std::unique_ptr<DiskStore>> open(const std::string& folder, Random&);
    ~DiskStore();
    DiskStore(const DiskStore&) = delete;
    DiskStore& operator=(const DiskStore&) = delete;

    [[nodiscard]] const std::string& identity() const { return this->replicaIdentity; }

    /// What the folder held when it was opened.
    [[nodiscard]] const StoredState& recovered() const { return this->recoveredState; }

    /// Whether the folder holds the beginning of a log: a membership was set or received.
    [[nodiscard]] bool isInitialized() const { return !this->recoveredState.snapshot.membership.members.empty() || !this->recoveredState.entries.empty(); }

    /// Stores operations durably. Fails with Reason::StorageFull where there is no room: nothing was stored, and the
    /// same call may be made again. Any other failure is final: what is on the disk is unknown (a failed sync must not
    /// be tried again, see Rebello et al., "Can Applications Recover from fsync Failures?", 2020).
    [[nodiscard]] ErrorOr<void> store(std::span<const StoreOperation>);

    /// Bytes written to the log so far by this process.
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
    size_t writeOffset { 0 };
    size_t allocatedBytes { 0 };
    uint64_t writtenByteCount { 0 };
};

/// Applies an operation to a state in memory, as the store would read it back.
void applyOperation(StoredState&, const StoreOperation&);

}
