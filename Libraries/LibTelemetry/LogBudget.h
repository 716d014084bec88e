#pragma once

#include <LibBase/Clock.h>

namespace Sassafrasshift::Telemetry {

/// Limits the number of log lines of one kind of event in each second, so that a burst of events does not fill the log.
class LogBudget {
public:
    explicit LogBudget(unsigned linesPerSecond)
        : linesPerSecond(linesPerSecond)
    {
    }

    /// Returns whether a line may be written now, and counts it if so.
    [[nodiscard]] bool take(Instant now)
    {
        if (now >= this->nextSecond) {
            this->nextSecond = now + std::chrono::seconds(1);
            this->remaining = this->linesPerSecond;
        }
        if (this->remaining == 0)
            return false;
        --this->remaining;
        return true;
    }

private:
    unsigned linesPerSecond { 0 };
    unsigned remaining { 0 };
    Instant nextSecond {};
};

}
