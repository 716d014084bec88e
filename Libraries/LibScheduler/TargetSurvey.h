#pragma once

#include <LibBase/Clock.h>
#include <map>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Tracks a survey in which a new dispatcher asks all hosts that receive target reports, and the other candidates for dispatching,
/// for the targets they know. The reports
/// that the dispatcher received itself may be incomplete, because messages to a host that has just started can be lost.
class TargetSurvey {
public:
    /// Starts a new survey of the hosts; answers to earlier surveys are ignored.
    void begin(const std::vector<std::string>& hosts);
    /// Returns the hosts to ask now, for the first time or again, and schedules their next request.
    [[nodiscard]] std::vector<std::string> takeHostsToAsk(Instant now);
    void onAnswer(const std::string& host, uint64_t number);

    [[nodiscard]] uint64_t number() const { return this->currentNumber; }
    /// Whether all of these hosts have answered. The caller passes only hosts that are still alive; the others cannot answer.
    [[nodiscard]] bool isComplete(const std::vector<std::string>& hosts) const;

private:
    uint64_t currentNumber { 0 };
    /// The hosts that have not answered, with the time of the next request to each.
    std::map<std::string, Instant> nextAskByHost;
};

}
