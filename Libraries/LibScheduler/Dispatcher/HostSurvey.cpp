#include <LibScheduler/Dispatcher/HostSurvey.h>
#include <algorithm>
#include <iterator>

namespace Sassafrasshift::Scheduler {

static constexpr Milliseconds retryInterval { 200 };

void HostSurvey::begin(const std::vector<std::string>& surveyed)
{
    ++this->currentNumber;
    this->hosts.clear();
    for (const auto& host : surveyed)
        this->include(host);
}

void HostSurvey::include(const std::string& host)
{
    this->hosts.try_emplace(host);
}

std::vector<std::string> HostSurvey::takeHostsToAsk(Instant now)
{
    std::vector<std::string> due;
    for (auto& [name, host] : this->hosts) {
        if (host.hasAnswered || now < host.nextAsk)
            continue;
        host.nextAsk = now + retryInterval;
        due.push_back(name);
    }
    return due;
}

void HostSurvey::onAnswer(const std::string& name, uint64_t number)
{
    auto position = this->hosts.find(name);
    if (number == this->currentNumber && position != this->hosts.end())
        position->second.hasAnswered = true;
}

bool HostSurvey::isWaitedFor(const std::string& name) const
{
    auto position = this->hosts.find(name);
    return position != this->hosts.end() && !position->second.hasAnswered;
}

bool HostSurvey::isComplete(const std::vector<std::string>& waitedFor) const
{
    return this->unanswered(waitedFor).empty();
}

std::vector<std::string> HostSurvey::unanswered(const std::vector<std::string>& waitedFor) const
{
    std::vector<std::string> found;
    std::copy_if(waitedFor.begin(), waitedFor.end(), std::back_inserter(found), [this](const auto& host) { return this->isWaitedFor(host); });
    return found;
}

}
