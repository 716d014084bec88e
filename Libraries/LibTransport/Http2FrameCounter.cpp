#include <LibTransport/Http2FrameCounter.h>
#include <algorithm>
#include <cstring>

namespace Sassafrasshift::Transport {

enum FrameType : uint8_t {
    Data = 0,
    Headers = 1,
    ResetStream = 3,
    Settings = 4,
    Ping = 6,
    Continuation = 9,
};

static constexpr uint8_t endStreamFlag = 0x1;
static constexpr uint8_t endHeadersFlag = 0x4;
static constexpr uint32_t streamMask = 0x7fff'ffff;
// A field takes at least one byte of a compressed head. h2o stores it in 32 bytes of a vector that doubles and does not free its former
// storage before the request ends.
static constexpr size_t storedBytesPerHeadByte = 64;
// What h2o allocates for each request.
static constexpr size_t bytesPerStream = 2048;
// h2o allows 100 streams, and tracks more for their priorities.
static constexpr size_t maximumUnfinished = 256;
// Clients that give up a request reset its stream, so that some resets are expected.
static constexpr uint64_t toleratedResets = 256;

void Http2FrameCounter::feed(std::string_view bytes)
{
    auto skip = std::min(this->prefaceLeft, bytes.size());
    if (preface.substr(preface.size() - this->prefaceLeft, skip) != bytes.substr(0, skip))
        this->hasWrongPreface = true;
    this->prefaceLeft -= skip;
    bytes.remove_prefix(skip);
    while (!bytes.empty()) {
        if (this->payloadLeft > 0) {
            auto taken = std::min(this->payloadLeft, bytes.size());
            this->payloadLeft -= taken;
            bytes.remove_prefix(taken);
            continue;
        }
        auto taken = std::min(this->header.size() - this->headerSize, bytes.size());
        std::memcpy(this->header.data() + this->headerSize, bytes.data(), taken);
        this->headerSize += taken;
        bytes.remove_prefix(taken);
        if (this->headerSize == this->header.size())
            this->beginFrame();
    }
}

void Http2FrameCounter::addUnknown(size_t bytes)
{
    this->unfinished += bytes * storedBytesPerHeadByte;
}

bool Http2FrameCounter::isAbusive() const
{
    return this->hasWrongPreface || this->streams.size() > maximumUnfinished || (this->resets > toleratedResets && this->resets > this->opened / 2);
}

void Http2FrameCounter::beginFrame()
{
    const auto& bytes = this->header;
    size_t length = static_cast<size_t>(bytes[0]) << 16U | static_cast<size_t>(bytes[1]) << 8U | bytes[2];
    auto stream = (static_cast<uint32_t>(bytes[5]) << 24U | static_cast<uint32_t>(bytes[6]) << 16U | static_cast<uint32_t>(bytes[7]) << 8U | bytes[8]) & streamMask;
    this->headerSize = 0;
    this->payloadLeft = length;
    switch (bytes[3]) {
    case Data:
        return this->addData(stream, bytes[4], length);
    case Headers:
        return this->beginHead(stream, bytes[4], length, false);
    case Continuation:
        return this->beginHead(stream, bytes[4], length, true);
    case ResetStream:
        ++this->resets;
        return this->erase(stream);
    case Settings:
    case Ping:
        this->answerable += this->header.size() + length;
        return;
    default:
        return;
    }
}

// The whole frame counts as soon as its header has arrived, since h2o keeps an unfinished frame in its buffer.
void Http2FrameCounter::beginHead(uint32_t stream, uint8_t flags, size_t length, bool isContinuation)
{
    auto [position, isNew] = this->streams.try_emplace(stream);
    if (isNew) {
        ++this->opened;
        position->second.headBytes = bytesPerStream;
        this->unfinished += bytesPerStream;
    }
    auto added = length * storedBytesPerHeadByte;
    position->second.headBytes += added;
    this->unfinished += added;
    if (!isContinuation && (flags & endStreamFlag) != 0)
        position->second.isEnded = true;
    if (position->second.isEnded && (flags & endHeadersFlag) != 0)
        this->erase(stream);
}

void Http2FrameCounter::addData(uint32_t stream, uint8_t flags, size_t length)
{
    auto position = this->streams.find(stream);
    if (position == this->streams.end())
        return;
    position->second.bodyBytes += length;
    this->unfinished += length;
    if ((flags & endStreamFlag) != 0 || position->second.bodyBytes > this->maximumBody)
        this->erase(stream);
}

void Http2FrameCounter::erase(uint32_t stream)
{
    auto position = this->streams.find(stream);
    if (position == this->streams.end())
        return;
    this->unfinished -= position->second.headBytes + position->second.bodyBytes;
    this->streams.erase(position);
}

}
