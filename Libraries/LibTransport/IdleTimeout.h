#pragma once

#include <LibBase/Clock.h>
#include <algorithm>

namespace Sassafrasshift::Transport {

/// The time after which connections without any transfer are closed. When it is shortened, it is counted from that moment at the earliest, so
/// that the clients of connections that were idle for longer are not all cut off at once.
class IdleTimeout {
public:
    explicit IdleTimeout(Milliseconds duration)
        : duration(duration)
    {
    }

    void set(Milliseconds newDuration, Instant now)
    {
        if (newDuration < this->duration)
            this->countedFrom = now;
        this->duration = newDuration;
    }

    [[nodiscard]] bool hasExpired(Instant lastActivityAt, Instant now) const { return now - std::max(lastActivityAt, this->countedFrom) >= this->duration; }

private:
    Milliseconds duration;
    Instant countedFrom {};
};

}
