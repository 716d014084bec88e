#pragma once

#include <LibBase/Clock.h>
#include <LibTransport/CodecFields.h>
#include <compare>
#include <cstdint>

namespace Sassafrasshift::Scheduler {

/// What the sender of a message has last read of the clock of its receiver. The receiver gets from it the earliest moment at which the
/// message can have been sent, by its own clock alone.
struct ClockEcho {
    /// The process of the receiver that the clock was read of; zero if the sender has not heard it lately, or is of an earlier version.
    uint64_t incarnation { 0 };
    /// The clock of that process, in milliseconds.
    Milliseconds::rep reading { 0 };
    /// The time from the receipt of the reading to the stamp of the message, by the clock of the sender, in milliseconds.
    Milliseconds::rep age { 0 };

    [[nodiscard]] bool isEmpty() const { return this->incarnation == 0; }
    /// The earliest time on the clock of the receiver at which the message can have been stamped.
    [[nodiscard]] Milliseconds earliestSentAt() const;

    CODEC_FIELDS(incarnation, reading, age);
    friend auto operator<=>(const ClockEcho&, const ClockEcho&) = default;
};

}
