#include <LibScheduler/TargetSurvey.h>
#include <algorithm>

namespace Sassafrasshift::Scheduler {

static constexpr Milliseconds askAgainAfter { 200 };

void TargetSurvey::begin(const std::vector<std::string>& hosts)
{
    ++this->currentNumber;
    this->waiting.clear();
    for (const auto& host : hosts)
        this->waiting.emplace(host, Instant {});
}

std::vector<std::string> TargetSurvey::takeHostsToAsk(Instant now)
{
    std::vector<std::string> due;
    for (auto& [host, nextAsk] : this->waiting) {
        if (now < nextAsk)
            continue;
        nextAsk = now + askAgainAfter;
        due.push_back(host);
    }
    return due;
}

void TargetSurvey::onAnswer(const std::string& host, uint64_t number)
{
    if (number == this->currentNumber)
        this->waiting.erase(host);
}

bool TargetSurvey::isComplete(const std::vector<std::string>& hosts) const
{
    return std::none_of(hosts.begin(), hosts.end(), [this](const auto& host) { return this->waiting.contains(host); });
}

}
