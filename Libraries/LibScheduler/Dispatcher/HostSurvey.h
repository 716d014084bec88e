#pragma once

#include <LibBase/Clock.h>
#include <map>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Tracks a survey in which a new dispatcher asks several hosts for what they know, because its own knowledge may be incomplete: the hosts
/// that receive target reports for the targets, and the dispatchers of other shards for the jobs that its entry hosts have there.
class HostSurvey {
public:
    /// Starts a new survey of the hosts; answers to earlier surveys are ignored.
    void begin(const std::vector<std::string>& hosts);
    /// Asks another host, too, unless it belongs to the survey.
    void include(const std::string& host);
    /// Returns the hosts to ask now, for the first time or again, and schedules their next request.
    [[nodiscard]] std::vector<std::string> takeHostsToAsk(Instant now);
    void onAnswer(const std::string& host, uint64_t number);

    [[nodiscard]] uint64_t number() const { return this->currentNumber; }
    /// Whether all of these hosts have answered. The caller passes only hosts that are still alive; the others cannot answer.
    [[nodiscard]] bool isComplete(const std::vector<std::string>& hosts) const;
    /// Those of the hosts that have not answered.
    [[nodiscard]] std::vector<std::string> unanswered(const std::vector<std::string>& hosts) const;

private:
    struct Host {
        bool hasAnswered { false };
        Instant nextAsk {};
    };

    [[nodiscard]] bool isWaitedFor(const std::string& host) const;

    uint64_t currentNumber { 0 };
    std::map<std::string, Host> hosts;
};

}
