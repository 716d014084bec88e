#include <LibTransport/ConnectionBudget.h>
#include <LibTransport/Http2FrameCounter.h>
#include <algorithm>
#include <array>
#include <cstdint>
#include <string>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Transport;

static constexpr size_t maximumBody = 262'144;

// Feeds the input as the frames of an HTTP/2 client, whole and in pieces. What counts as held must not depend on the pieces, and must be
// nothing once all streams were reset.
static void followFrames(std::string_view frames, size_t piece)
{
    Http2FrameCounter whole(maximumBody);
    Http2FrameCounter inPieces(maximumBody);
    auto input = std::string(Http2FrameCounter::preface) + std::string(frames);
    whole.feed(input);
    for (size_t start = 0; start < input.size(); start += piece)
        inPieces.feed(std::string_view(input).substr(start, piece));
    if (whole.unfinishedBytes() != inPieces.unfinishedBytes() || whole.isAbusive() != inPieces.isAbusive())
        __builtin_trap();
    if (whole.hasUnfinished() != (whole.unfinishedBytes() > 0))
        __builtin_trap();
}

// Takes each pair of bytes as an event of one of 16 connections: opened, closed, and the attack patterns of Tests/HostileClients (bodies
// that stop, requests in progress with more behind them, unread answers). The budget must stay within its limits after each choice.
static void useBudget(const uint8_t* data, size_t size)
{
    static constexpr size_t memoryLimit = 1'000'000;
    std::array<char, 16> keys {};
    std::array<bool, 16> isOpen {};
    std::array<bool, 16> isProtected {};
    ConnectionBudget budget({ memoryLimit, 8, 4 });
    Instant now {};
    for (size_t i = 0; i + 1 < size; i += 2) {
        auto number = static_cast<size_t>(data[i] & 15U);
        const void* key = &keys.at(number);
        auto kind = data[i] >> 4U;
        now += Milliseconds(data[i + 1] & 7U);
        if (!isOpen.at(number)) {
            auto address = static_cast<uint32_t>(number % 3);
            auto admission = budget.admission(address);
            if (admission != ConnectionBudget::Admission::Admitted && !budget.takeReplaced(admission, address))
                continue;
            budget.add(key, address, now);
            isOpen.at(number) = true;
            isProtected.at(number) = false;
        } else if (kind == 0) {
            budget.remove(key);
            isOpen.at(number) = false;
        } else {
            auto stage = static_cast<ConnectionBudget::Stage>(kind % 3);
            isProtected.at(number) = stage == ConnectionBudget::Stage::Handling;
            budget.update(key, stage, size_t(data[i + 1]) << (kind / 2 + 4), (kind & 4) != 0, now);
        }
        for (auto chosen : budget.takeEvictions()) {
            if (isProtected.at(static_cast<size_t>(static_cast<const char*>(chosen) - keys.data())))
                __builtin_trap();
        }
        if (budget.connectionCount() > 8)
            __builtin_trap();
        bool mayExceed = std::any_of(isProtected.begin(), isProtected.end(), [](bool isOne) { return isOne; });
        if (budget.isMemoryShort() && !mayExceed)
            __builtin_trap();
    }
    for (size_t number = 0; number < keys.size(); ++number) {
        if (isOpen.at(number))
            budget.remove(&keys.at(number));
    }
    if (budget.heldBytes() != 0 || budget.connectionCount() != 0)
        __builtin_trap();
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    if (size < 1)
        return 0;
    followFrames(std::string_view(reinterpret_cast<const char*>(data) + 1, size - 1), size_t(data[0]) + 1);
    useBudget(data, size);
    return 0;
}
