#pragma once

#include <LibTransport/Endpoint.h>
#include <LibTransport/EventLoop.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Sassafrasshift::Transport {

/// The version of the protocol between the processes; a receiver refuses others.
inline constexpr std::string_view peerProtocolVersion = "1";

/// The path to which batches of messages are posted.
inline constexpr std::string_view peerMessagesPath = "/peer/messages";

/// The names of the headers that form the greeting of every batch.
inline constexpr std::string_view peerVersionHeader = "sassafrasshift-protocol";
inline constexpr std::string_view peerSenderHeader = "sassafrasshift-sender";

/// A one-way link to another process, which carries encoded messages in batches over HTTP/2 streams.
///
/// Delivery is at most once. A batch that is not acknowledged in time ends the connection, and a new one is opened;
/// what was under way is lost, and the protocols above it recover.
class PeerLink {
public:
    struct Counters {
        uint64_t messagesSent { 0 };
        uint64_t batchesSent { 0 };
        uint64_t bytesSent { 0 };
        uint64_t messagesDropped { 0 };
        uint64_t connectionsOpened { 0 };
        uint64_t connectionsLost { 0 };
    };

    [[nodiscard]] static std::unique_ptr<PeerLink> create(EventLoop&, const Endpoint&, std::string senderName);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /// Queues a message; it leaves with the next batch. The oldest is dropped where the queue is full.
    void send(std::string encodedMessage);

    [[nodiscard]] const Counters& counters() const;

    /// Whether everything that was sent has been acknowledged.
    [[nodiscard]] bool isDrained() const;

    /// The state that the callbacks of the underlying library share; its definition is private.
    struct Implementation;

private:
    PeerLink();

    std::unique_ptr<Implementation> implementation;
};

}
