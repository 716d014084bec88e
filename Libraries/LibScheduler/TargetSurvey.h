#pragma once

#include <LibBase/Clock.h>
#include <map>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Asks all hosts that take reports which targets there are. A dispatcher that begins does so, since what it was told before
/// may be incomplete: messages to a host that has just started can be lost.
class TargetSurvey {
public:
    /// Begins anew; answers to an earlier survey have no effect.
    void begin(const std::vector<std::string>& hosts);
    /// The hosts to be asked now, for the first time or again.
    [[nodiscard]] std::vector<std::string> takeHostsToAsk(Instant now);
    void onAnswer(const std::string& host, uint64_t number);

    [[nodiscard]] uint64_t number() const { return this->currentNumber; }
    /// Whether every one of the hosts has answered that is still there.
    [[nodiscard]] bool isComplete(const std::vector<std::string>& hosts) const;

private:
    uint64_t currentNumber { 0 };
    /// The hosts that have not answered, and when each is to be asked next.
    std::map<std::string, Instant> nextAskByHost;
};

}
