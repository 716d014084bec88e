#include <LibScheduler/EntryInbox.h>
#include <algorithm>
#include <utility>

namespace Sassafrasshift::Scheduler {

static constexpr Milliseconds requestRetryInterval { 50 };
static constexpr Milliseconds newEntryRetention { 10'000 };
static constexpr size_t maximumHeldSubmissions = 1000;

EntryInbox::EntryInbox(Milliseconds maximumTransitTime)
    : maximumTransitTime(maximumTransitTime)
{
}

bool EntryInbox::isOnTime(const Sender& sender, Milliseconds::rep sentAt, Instant now)
{
    this->lastExcess = this->transitTimes.excessTransitTime(sender.first, sender.second, Milliseconds(sentAt), now);
    return this->lastExcess <= this->maximumTransitTime;
}

void EntryInbox::observe(const std::string& member, uint64_t incarnation, Milliseconds sentAt, Instant now)
{
    (void)this->transitTimes.excessTransitTime(member, incarnation, sentAt, now);
}

EntryInbox::NewEntry& EntryInbox::request(const Sender& sender, Instant now)
{
    std::erase_if(this->newEntries, [&](const auto& known) { return now - known.second.lastRequestAt > newEntryRetention; });
    auto number = static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count());
    auto [position, isNew] = this->newEntries.try_emplace(sender, NewEntry { number, now, {} });
    auto& entry = position->second;
    if (!isNew && now - entry.lastRequestAt < requestRetryInterval)
        return entry;
    entry.lastRequestAt = now;
    this->requests.push_back(Request { sender.first, number });
    return entry;
}

EntryInbox::Result EntryInbox::submit(TaskScheduler& scheduler, const std::string& entry, const Submission& submission, Instant now)
{
    Sender sender { entry, submission.entryIncarnation };
    bool isOnTime = this->isOnTime(sender, submission.sentAt, now);
    if (!this->transitTimes.hasRoundTrip(sender.first, sender.second)) {
        auto& held = this->request(sender, now).held;
        if (held.size() >= maximumHeldSubmissions)
            return Result::Late;
        held.push_back(HeldSubmission { submission, now });
        return Result::Held;
    }
    if (!isOnTime)
        return Result::Late;
    scheduler.submit(entry, submission, now);
    return Result::Accepted;
}

// Passes on what was held, but for the jobs that the entry host has withdrawn meanwhile. A round trip that took too long bounds the
// transit times too loosely; the next message asks for another one.
void EntryInbox::recordRoundTrip(TaskScheduler& scheduler, const Sender& sender, const RenewSubmissions& renewal, Instant now)
{
    auto position = this->newEntries.find(sender);
    Instant requestedAt { Milliseconds(renewal.answeredRequest) };
    if (position == this->newEntries.end() || renewal.answeredRequest < position->second.firstRequest || now - requestedAt > this->maximumTransitTime)
        return;
    this->transitTimes.recordRoundTrip(sender.first, sender.second, Milliseconds(renewal.sentAt), requestedAt);
    auto held = std::move(position->second.held);
    this->newEntries.erase(position);
    for (const auto& [submission, receivedAt] : held) {
        bool isStillHere = std::find(renewal.jobs.begin(), renewal.jobs.end(), submission.job) != renewal.jobs.end();
        if (isStillHere && this->isOnTime(sender, submission.sentAt, receivedAt))
            scheduler.submit(sender.first, submission, receivedAt);
    }
}

std::optional<std::vector<std::string>> EntryInbox::renew(TaskScheduler& scheduler, const std::string& entry, const RenewSubmissions& renewal, Instant now)
{
    Sender sender { entry, renewal.entryIncarnation };
    (void)this->isOnTime(sender, renewal.sentAt, now);
    if (!this->transitTimes.hasRoundTrip(sender.first, sender.second))
        this->recordRoundTrip(scheduler, sender, renewal, now);
    if (!this->transitTimes.hasRoundTrip(sender.first, sender.second)) {
        (void)this->request(sender, now);
        return {};
    }
    if (!this->isOnTime(sender, renewal.sentAt, now))
        return {};
    return scheduler.renew(entry, renewal.jobs, now, renewal.kind, renewal.answeredRequest);
}

std::vector<EntryInbox::Request> EntryInbox::takeRequests()
{
    return std::exchange(this->requests, {});
}

}
