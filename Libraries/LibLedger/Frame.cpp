#include <LibLedger/Frame.h>
#include <algorithm>
#include <cstring>
#include <xxhash.h>

namespace Sassafrasshift::Ledger::Frame {

static constexpr uint32_t headerMagic = 0x53534c31;
static constexpr uint32_t trailerMagic = 0xa5c33c5a;

struct Header {
    uint32_t magic;
    uint32_t length;
    uint64_t checksum;
};

static constexpr size_t frameOverhead = sizeof(Header) + sizeof(trailerMagic);

std::string encode(std::string_view payload)
{
    Header header { headerMagic, static_cast<uint32_t>(payload.size()), XXH3_64bits(payload.data(), payload.size()) };
    std::string result(payload.size() + frameOverhead, '\0');
    std::memcpy(result.data(), &header, sizeof(header));
    std::memcpy(result.data() + sizeof(header), payload.data(), payload.size());
    std::memcpy(result.data() + sizeof(header) + payload.size(), &trailerMagic, sizeof(trailerMagic));
    return result;
}

static bool isZero(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](char byte) { return byte == '\0'; });
}

ReadResult read(std::string_view bytes)
{
    if (isZero(bytes.substr(0, sizeof(Header))))
        return { isZero(bytes) ? Condition::End : Condition::Damaged, {}, 0 };
    Header header {};
    if (bytes.size() < sizeof(Header))
        return { Condition::Torn, {}, 0 };
    std::memcpy(&header, bytes.data(), sizeof(header));
    if (header.magic != headerMagic)
        return { Condition::Damaged, {}, 0 };
    if (bytes.size() < frameOverhead + header.length)
        return { Condition::Torn, {}, 0 };
    auto payload = bytes.substr(sizeof(Header), header.length);
    auto trailer = bytes.substr(sizeof(Header) + header.length, sizeof(trailerMagic));
    if (isZero(trailer))
        return { Condition::Torn, {}, 0 };
    if (std::memcmp(trailer.data(), &trailerMagic, sizeof(trailerMagic)) != 0 || XXH3_64bits(payload.data(), payload.size()) != header.checksum)
        return { Condition::Damaged, {}, 0 };
    return { Condition::Valid, payload, frameOverhead + header.length };
}

bool hasLaterValidFrame(std::string_view bytes)
{
    const std::string magic(reinterpret_cast<const char*>(&headerMagic), sizeof(headerMagic));
    for (auto position = bytes.find(magic, 1); position != std::string_view::npos; position = bytes.find(magic, position + 1)) {
        if (read(bytes.substr(position)).condition == Condition::Valid)
            return true;
    }
    return false;
}

}
