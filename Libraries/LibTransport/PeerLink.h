#pragma once

#include <LibTransport/Endpoint.h>
#include <LibTransport/EventLoop.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Sassafrasshift::Transport {

/// The version of the protocol between the processes. A receiver refuses batches of any other version.
inline constexpr std::string_view peerProtocolVersion = "1";

/// The path that batches of messages are posted to.
inline constexpr std::string_view peerMessagesPath = "/peer/messages";

/// The headers of every batch: the protocol version and the name of the sender.
inline constexpr std::string_view peerVersionHeader = "sassafrasshift-protocol";
inline constexpr std::string_view peerSenderHeader = "sassafrasshift-sender";

/// A one-way link to another process. It sends encoded messages in batches, each of which is a request on an HTTP/2 connection.
///
/// Delivery is at most once. The response to a batch acknowledges it. If the connection fails or no batch is acknowledged in
/// time, the link closes the connection, and opens a new one for later messages. The messages that were queued or in flight are
/// lost; the protocols above the link recover from that.
class PeerLink {
public:
    struct Counters {
        /// Messages, batches and bytes of batches for which a request was submitted, whether or not it was acknowledged.
        uint64_t messagesSent { 0 };
        uint64_t batchesSent { 0 };
        uint64_t bytesSent { 0 };
        /// Messages that were removed from a full queue, could not be submitted, were refused by the receiver, or were queued
        /// or in flight when the connection failed.
        uint64_t messagesDropped { 0 };
        uint64_t connectionsOpened { 0 };
        /// Connections that were closed after they had been established.
        uint64_t connectionsLost { 0 };
    };

    [[nodiscard]] static std::unique_ptr<PeerLink> create(EventLoop&, const Endpoint&, std::string senderName);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /// Queues a message for the next batch. If the queue is full, the oldest messages are dropped.
    void send(std::string encodedMessage);

    [[nodiscard]] const Counters& counters() const;

    /// Whether no message is queued or waits for an acknowledgement.
    [[nodiscard]] bool isDrained() const;

    /// The state that the link shares with the callbacks of h2o and nghttp2; it is defined in the implementation file.
    struct Implementation;

private:
    PeerLink();

    std::unique_ptr<Implementation> implementation;
};

}
