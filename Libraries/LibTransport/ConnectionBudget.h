#pragma once

#include <LibBase/Clock.h>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Sassafrasshift::Transport {

/// Accounts for the connections of one listening port and the memory that they hold, and chooses which of them to close when they exceed
/// a limit. It makes decisions only; the server measures the connections and closes them.
///
/// It addresses the load of clients that open many connections, and of those that send requests without completing them or do not read
/// the answers.
class ConnectionBudget {
public:
    /// Identifies a connection while it is open.
    using Key = const void*;

    /// 0 means no limit.
    struct Limits {
        /// The memory in bytes that all connections may hold.
        size_t memory { 0 };
        size_t connections { 0 };
        size_t connectionsPerAddress { 0 };
    };

    enum class Admission {
        Admitted,
        /// The limit of all connections is reached.
        TotalLimit,
        /// The limit of connections from one address is reached.
        AddressLimit,
    };

    /// What a connection is doing, in the order in which connections are closed when memory is short.
    enum class Stage {
        /// It waits for a request, receives one, or has an answer that its client does not read.
        Waiting,
        /// A request is being handled, and the client has sent more than that request.
        HandlingWithMore,
        /// A request is being handled. Such a connection is never chosen.
        Handling,
    };

    explicit ConnectionBudget(Limits limits)
        : limits(limits)
    {
    }

    /// Whether a further connection from an address is within the limits.
    [[nodiscard]] Admission admission(uint32_t address) const;

    void add(Key, uint32_t address, Instant now);
    void remove(Key);

    /// Records the state of a connection. `hasProgressed` says that bytes were received or sent since the last call.
    void update(Key, Stage, size_t heldBytes, bool hasProgressed, Instant now);

    void setStage(Key, Stage);

    /// Reserves memory that belongs to no single connection, such as requests that are being handled.
    void reserve(size_t bytes) { this->reserved += bytes; }
    void release(size_t bytes) { this->reserved -= bytes; }

    [[nodiscard]] bool isMemoryShort() const { return this->limits.memory > 0 && this->heldBytes() > this->limits.memory; }

    /// Chooses connections to close until seven eighths of the memory limit are in use, so that the next choice, which costs as much
    /// as there are connections, is not due at once. The largest connections are chosen first, and of those of a similar size, the
    /// ones without progress for the longest time. The memory of chosen connections no longer counts.
    [[nodiscard]] std::vector<Key> takeEvictions();

    /// Chooses a connection to close in favor of a new one: the one that has made no progress for the longest time, and of the
    /// address if that one has reached its limit. Empty if requests are being handled on those that were examined, or if a quarter of the
    /// limit was chosen and is not closed yet.
    [[nodiscard]] std::optional<Key> takeReplaced(Admission, uint32_t address);

    [[nodiscard]] size_t heldBytes() const { return this->held + this->reserved; }
    [[nodiscard]] size_t connectionCount() const { return this->connections.size() - this->closing; }

private:
    struct Connection {
        uint32_t address { 0 };
        Stage stage { Stage::Waiting };
        size_t heldBytes { 0 };
        Instant lastProgressAt {};
        /// Whether the connection was chosen to be closed.
        bool isClosing { false };
        std::list<Key>::iterator position {};
    };

    void markClosing(Connection&);
    [[nodiscard]] size_t maximumClosing() const;

    Limits limits;
    std::unordered_map<Key, Connection> connections;
    std::unordered_map<uint32_t, size_t> connectionsByAddress;
    /// The connections in the order of their last progress, except those that are closing.
    std::list<Key> byProgress;
    size_t held { 0 };
    size_t reserved { 0 };
    size_t closing { 0 };
    /// Whether a connection that may be chosen has been recorded since a search found none. It saves searches while the requests that are
    /// being handled take the memory.
    bool mayHaveCandidates { true };
};

}
