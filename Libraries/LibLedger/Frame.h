#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Sassafrasshift::Ledger {

/// The format of the frames in a log file: a header with the length and checksum of the payload, the payload, and a trailer.
/// One frame is written per sync. The trailer is never zero, whereas the space after the last frame is all zeros, so that a
/// torn write can be distinguished from later damage to a complete frame.
namespace Frame {

enum class Condition {
    Valid,
    /// Only zeros follow.
    End,
    /// The frame was not written completely.
    Torn,
    /// The frame was written completely, but its content has changed since.
    Damaged,
};

struct ReadResult {
    Condition condition { Condition::End };
    std::string_view payload;
    /// The size of the encoded frame in bytes; zero unless the frame is valid.
    size_t size { 0 };
};

[[nodiscard]] std::string encode(std::string_view payload);

/// Reads the frame at the start of the buffer.
[[nodiscard]] ReadResult read(std::string_view bytes);

/// Whether the buffer contains a valid frame anywhere after its first byte.
[[nodiscard]] bool hasLaterValidFrame(std::string_view bytes);

}

}
