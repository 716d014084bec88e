#include <LibLedger/Frame.h>
#include <cstdint>

using namespace Sassafrasshift::Ledger;

// Parses arbitrary bytes as a log file. Parsing must terminate and must not read past the end of the input.
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
