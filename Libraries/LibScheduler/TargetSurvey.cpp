#include <LibScheduler/TargetSurvey.h>
#include <algorithm>

namespace Sassafrasshift::Scheduler {

static constexpr Milliseconds retryInterval { 200 };

void TargetSurvey::begin(const std::vector<std::string>& hosts)
{
    ++this->currentNumber;
    this->nextAskByHost.clear();
    for (const auto& host : hosts)
        this->nextAskByHost.emplace(host, Instant {});
}

std::vector<std::string> TargetSurvey::takeHostsToAsk(Instant now)
{
    std::vector<std::string> due;
    for (auto& [host, nextAsk] : this->nextAskByHost) {
        if (now < nextAsk)
            continue;
        nextAsk = now + retryInterval;
        due.push_back(host);
    }
    return due;
}

void TargetSurvey::onAnswer(const std::string& host, uint64_t number)
{
    if (number == this->currentNumber)
        this->nextAskByHost.erase(host);
}

bool TargetSurvey::isComplete(const std::vector<std::string>& hosts) const
{
    return std::none_of(hosts.begin(), hosts.end(), [this](const auto& host) { return this->nextAskByHost.contains(host); });
}

}
