#include <LibScheduler/Home/HomeReadiness.h>
#include <algorithm>
#include <utility>

namespace Sassafrasshift::Scheduler {

HomeReadiness::HomeReadiness(Options options)
    : options(options)
{
}

void HomeReadiness::begin(std::string newShard, uint64_t term, Instant now)
{
    if (newShard != this->shard)
        this->highestTerm = 0;
    this->shard = std::move(newShard);
    this->currentTerm = term;
    this->observeTerm(term);
    this->begunAt = now;
    this->readyCause.reset();
    this->answeredDispatchers.clear();
    this->listedEntries.clear();
    this->dispatchers.clear();
    this->entries.clear();
    this->survey.begin({});
}

void HomeReadiness::end()
{
    this->begin({}, 0, {});
}

void HomeReadiness::setDispatchers(std::vector<Contact> contacts)
{
    auto former = std::exchange(this->dispatchers, std::move(contacts));
    // One that has ended has left runs, and its successor is not known yet.
    for (auto& lost : former) {
        bool isListed = std::any_of(this->dispatchers.begin(), this->dispatchers.end(), [&](const auto& dispatcher) { return dispatcher.address == lost.address; });
        if (isListed || this->answeredDispatchers.contains(lost.address))
            continue;
        lost.sinceHeartbeat = Milliseconds::max();
        this->dispatchers.push_back(std::move(lost));
    }
    for (const auto& dispatcher : this->dispatchers)
        this->survey.include(dispatcher.address);
}

void HomeReadiness::setEntries(std::vector<Contact> contacts)
{
    this->entries = std::move(contacts);
}

void HomeReadiness::observeTerm(uint64_t term)
{
    this->highestTerm = std::max(this->highestTerm, term);
}

void HomeReadiness::update(bool hasClaimedTargets, Instant now)
{
    if (!this->readyCause)
        this->readyCause = this->findCause(hasClaimedTargets, now);
}

void HomeReadiness::onAnswer(const std::string& dispatcher, bool knowsRuns)
{
    this->answeredDispatchers.insert(dispatcher);
    if (knowsRuns)
        this->survey.onAnswer(dispatcher, this->survey.number());
}

bool HomeReadiness::areRunsKnown() const
{
    return this->hasAllDispatchers && std::all_of(this->dispatchers.begin(), this->dispatchers.end(), [this](const auto& dispatcher) { return this->survey.isComplete({ dispatcher.address }); });
}

// Whether all members are among those that were heard, but for those that have been silent for longer than the timeout.
static bool areAllHeard(const std::vector<HomeReadiness::Contact>& members, const std::set<std::string>& heard, Milliseconds contactTimeout)
{
    return std::all_of(members.begin(), members.end(), [&](const auto& member) { return member.sinceHeartbeat > contactTimeout || heard.contains(member.address); });
}

// A host that is not heard of any more may still extend runs for some time, so that it counts as lost only after the longest time that runs
// may continue.
std::optional<std::string_view> HomeReadiness::findCause(bool hasClaimedTargets, Instant now) const
{
    // One shard has all targets: there is no other one that a job could be in.
    if (this->shard.empty())
        return "only-shard";
    bool haveRunsEnded = this->haveUnknownRunsEnded(now);
    auto contactTimeout = haveRunsEnded ? this->options.contactTimeout : Milliseconds::max();
    bool haveDispatchersAnswered = areAllHeard(this->dispatchers, this->answeredDispatchers, contactTimeout);
    bool haveEntriesListed = areAllHeard(this->entries, this->listedEntries, contactTimeout);
    if (haveDispatchersAnswered && hasClaimedTargets && this->areRunsKnown())
        return "targets-answered";
    if (haveDispatchersAnswered && haveEntriesListed)
        return "entries-listed";
    if (haveDispatchersAnswered && haveRunsEnded)
        return "dispatchers-answered";
    if (haveEntriesListed && haveRunsEnded)
        return "dispatchers-missing";
    if (now - this->begunAt >= this->options.longestWait)
        return "time";
    return {};
}

std::vector<std::string> HomeReadiness::unheard() const
{
    std::vector<std::string> found;
    for (const auto& dispatcher : this->dispatchers) {
        if (!this->answeredDispatchers.contains(dispatcher.address))
            found.push_back(dispatcher.address);
    }
    for (const auto& entry : this->entries) {
        if (!this->listedEntries.contains(entry.address))
            found.push_back(entry.address);
    }
    return found;
}

}
