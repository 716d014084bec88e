#include "../../Services/sassafrasshiftd/PeerMessages.h"
#include <LibTransport/Codec.h>
#include <cstdint>

using namespace Sassafrasshift;

// Decodes arbitrary bytes as a batch of peer messages. The batch is either rejected, or each message can be encoded again.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    auto batch = Transport::decodeMessages<Daemon::PeerMessage>(std::string_view(reinterpret_cast<const char*>(data), size));
    if (!batch)
        return 0;
    for (const auto& message : batch->messages)
        (void)Transport::encodeMessage(message);
    return 0;
}
