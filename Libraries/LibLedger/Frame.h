#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Sassafrasshift::Ledger {

/// A checksummed unit of a log file: what is synced at once. Its last bytes are never zero, so that a frame that was
/// cut short can be told from one that was damaged after it had been written whole.
namespace Frame {

enum class Condition {
    Valid,
    /// Nothing but zeros follows.
    End,
    /// The end of the frame was never written.
    Torn,
    /// The frame was written whole, and its content has changed since.
    Damaged,
};

struct ReadResult {
    Condition condition { Condition::End };
    std::string_view payload;
    /// Bytes that the frame takes up.
    size_t size { 0 };
};

[[nodiscard]] std::string encode(std::string_view payload);

/// Reads the frame at the start of the bytes.
[[nodiscard]] ReadResult read(std::string_view bytes);

/// Whether a whole frame stands anywhere behind the start of the bytes.
[[nodiscard]] bool hasLaterValidFrame(std::string_view bytes);

}

}
