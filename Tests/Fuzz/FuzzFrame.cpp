#include <LibLedger/Frame.h>
#include <cstdint>

using namespace Sassafrasshift::Ledger;

// Reads any bytes as a log: whatever they are, reading ends, and never goes past them.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    std::string_view bytes(reinterpret_cast<const char*>(data), size);
    while (!bytes.empty()) {
        auto frame = Frame::read(bytes);
        if (frame.condition != Frame::Condition::Valid) {
            (void)Frame::hasLaterValidFrame(bytes);
            break;
        }
        if (frame.size == 0 || frame.size > bytes.size())
            __builtin_trap();
        bytes.remove_prefix(frame.size);
    }
    return 0;
}
