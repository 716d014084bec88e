#include <LibLedger/Frame.h>
#include <algorithm>
#include <cstring>
#include <xxhash.h>

namespace Sassafrasshift::Ledger::Frame {

static constexpr uint32_t headMark = 0x53534c31;
static constexpr uint32_t tailMark = 0xa5c33c5a;

struct Head {
    uint32_t mark;
    uint32_t length;
    uint64_t checksum;
};

static constexpr size_t overhead = sizeof(Head) + sizeof(tailMark);

std::string encode(std::string_view payload)
{
    Head head { headMark, static_cast<uint32_t>(payload.size()), XXH3_64bits(payload.data(), payload.size()) };
    std::string result(payload.size() + overhead, '\0');
    std::memcpy(result.data(), &head, sizeof(head));
    std::memcpy(result.data() + sizeof(head), payload.data(), payload.size());
    std::memcpy(result.data() + sizeof(head) + payload.size(), &tailMark, sizeof(tailMark));
    return result;
}

static bool isZero(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](char byte) { return byte == '\0'; });
}

Reading read(std::string_view bytes)
{
    if (isZero(bytes.substr(0, sizeof(Head))))
        return { isZero(bytes) ? Condition::End : Condition::Damaged, {}, 0 };
    Head head {};
    if (bytes.size() < sizeof(Head))
        return { Condition::Torn, {}, 0 };
    std::memcpy(&head, bytes.data(), sizeof(head));
    if (head.mark != headMark)
        return { Condition::Damaged, {}, 0 };
    if (bytes.size() < overhead + head.length)
        return { Condition::Torn, {}, 0 };
    auto payload = bytes.substr(sizeof(Head), head.length);
    auto tail = bytes.substr(sizeof(Head) + head.length, sizeof(tailMark));
    if (isZero(tail))
        return { Condition::Torn, {}, 0 };
    if (std::memcmp(tail.data(), &tailMark, sizeof(tailMark)) != 0 || XXH3_64bits(payload.data(), payload.size()) != head.checksum)
        return { Condition::Damaged, {}, 0 };
    return { Condition::Valid, payload, overhead + head.length };
}

bool hasLaterValidFrame(std::string_view bytes)
{
    const std::string mark(reinterpret_cast<const char*>(&headMark), sizeof(headMark));
    for (auto position = bytes.find(mark, 1); position != std::string_view::npos; position = bytes.find(mark, position + 1)) {
        if (read(bytes.substr(position)).condition == Condition::Valid)
            return true;
    }
    return false;
}

}
