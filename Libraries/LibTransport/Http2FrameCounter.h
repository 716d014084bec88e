#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace Sassafrasshift::Transport {

/// Follows the frames that a client sends on an HTTP/2 connection, to bound the memory that its unfinished requests hold. h2o does not
/// tell of requests before they are complete.
class Http2FrameCounter {
public:
    /// The first bytes of a connection that is used for HTTP/2 with prior knowledge (RFC 9113 section 3.4).
    static constexpr std::string_view preface { "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" };

    /// `maximumBody` is the length of a body from which h2o drops the request.
    explicit Http2FrameCounter(size_t maximumBody)
        : maximumBody(maximumBody)
    {
    }

    /// Takes the next bytes that were received, of which the first ones are the preface.
    void feed(std::string_view bytes);

    /// Counts bytes of which it is not known what they contain, as the heads of requests that do not end.
    void addUnknown(size_t bytes);

    /// An upper bound of the bytes that unfinished requests hold.
    [[nodiscard]] size_t unfinishedBytes() const { return this->unfinished; }
    [[nodiscard]] bool hasUnfinished() const { return !this->streams.empty(); }
    /// The stream of the request that has been unfinished for the longest time, or 0 if there is none.
    [[nodiscard]] uint32_t oldestUnfinished() const { return this->streams.empty() ? 0 : this->streams.begin()->first; }

    /// The bytes of the frames that h2o may have answered by itself, since the last call of clearAnswerable().
    [[nodiscard]] size_t answerableBytes() const { return this->answerable; }
    void clearAnswerable() { this->answerable = 0; }

    /// Whether the client did not begin with the preface, has reset most of its requests, or has more unfinished ones than h2o allows.
    [[nodiscard]] bool isAbusive() const;

private:
    struct Stream {
        size_t headBytes { 0 };
        size_t bodyBytes { 0 };
        bool isEnded { false };
    };

    void beginFrame();
    void beginHead(uint32_t stream, uint8_t flags, size_t length, bool isContinuation);
    void addData(uint32_t stream, uint8_t flags, size_t length);
    void erase(uint32_t stream);

    size_t maximumBody { 0 };
    size_t prefaceLeft { preface.size() };
    std::array<uint8_t, 9> header {};
    size_t headerSize { 0 };
    /// The part of the current frame's payload that has not arrived.
    size_t payloadLeft { 0 };
    // Clients number their streams in ascending order.
    std::map<uint32_t, Stream> streams;
    size_t unfinished { 0 };
    size_t answerable { 0 };
    uint64_t opened { 0 };
    uint64_t resets { 0 };
    bool hasWrongPreface { false };
};

}
