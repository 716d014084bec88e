#include <LibScheduler/Relay/RelayedCalls.h>
#include <utility>

namespace Sassafrasshift::Scheduler {

uint64_t RelayedCalls::insert(Call call, Milliseconds answerTimeout, Instant now)
{
    call.expiresAt = now + answerTimeout + relayTime;
    auto number = this->nextNumber++;
    this->calls.emplace_hint(this->calls.end(), number, std::move(call));
    return number;
}

uint64_t RelayedCalls::open(const HoldOrder& order, const std::string& relay, Milliseconds answerTimeout, Instant now)
{
    return this->insert(Call { Kind::Hold, relay, order.instance, order.number, {}, {} }, answerTimeout, now);
}

uint64_t RelayedCalls::open(const StartOrder& order, const std::string& relay, Milliseconds answerTimeout, Instant now)
{
    return this->insert(Call { Kind::Start, relay, order.instance, 0, order.run, {} }, answerTimeout, now);
}

uint64_t RelayedCalls::open(const StopOrder& order, const std::string& relay, Milliseconds answerTimeout, Instant now)
{
    return this->insert(Call { Kind::Stop, relay, order.instance, 0, order.run, {} }, answerTimeout, now);
}

std::optional<RelayedCalls::Call> RelayedCalls::close(uint64_t answeredProcess, uint64_t number, const std::string& relay)
{
    if (answeredProcess != this->process)
        return {};
    auto position = this->calls.find(number);
    if (position == this->calls.end() || position->second.relay != relay)
        return {};
    auto call = std::move(position->second);
    this->calls.erase(position);
    return call;
}

std::vector<RelayedCalls::Call> RelayedCalls::takeExpired(Instant now)
{
    auto latest = std::exchange(this->lastCheck, now);
    std::erase_if(this->lostUntil, [&](const auto& entry) { return now >= entry.second; });
    for (const auto& [number, call] : this->calls) {
        if (call.expiresAt > latest)
            continue;
        if (this->lostUntil.emplace(call.relay, now + lostRelayPause).second)
            this->newlyLost.push_back(call.relay);
    }
    std::vector<Call> expired;
    for (auto position = this->calls.begin(); position != this->calls.end();) {
        auto& call = position->second;
        bool isExpired = call.expiresAt <= latest || (call.kind == Kind::Hold && this->lostUntil.contains(call.relay));
        if (isExpired)
            expired.push_back(std::move(call));
        position = isExpired ? this->calls.erase(position) : std::next(position);
    }
    return expired;
}

bool RelayedCalls::isLost(const std::string& relay, Instant now) const
{
    auto position = this->lostUntil.find(relay);
    return position != this->lostUntil.end() && now < position->second;
}

std::vector<std::string> RelayedCalls::takeLostRelays()
{
    return std::exchange(this->newlyLost, {});
}

// The decoder casts any number to an enumeration. Only a known verdict says that nothing was sent.
static Unanswered checked(Unanswered unanswered)
{
    return unanswered.verdict == Verdict::NotRun ? unanswered : Unanswered { Verdict::MayHaveRun };
}

OrderAnswer toOrderAnswer(RelayedAnswer answer)
{
    if (const auto* acknowledged = std::get_if<Acknowledged>(&answer.answer))
        return *acknowledged;
    if (const auto* refused = std::get_if<Refused>(&answer.answer))
        return *refused;
    const auto* unanswered = std::get_if<Unanswered>(&answer.answer);
    return unanswered ? checked(*unanswered) : Unanswered { Verdict::MayHaveRun };
}

HoldAnswer toHoldAnswer(RelayedAnswer answer)
{
    if (auto* list = std::get_if<RunList>(&answer.answer))
        return std::move(*list);
    if (const auto* refused = std::get_if<Refused>(&answer.answer))
        return *refused;
    const auto* unanswered = std::get_if<Unanswered>(&answer.answer);
    return unanswered ? checked(*unanswered) : Unanswered { Verdict::MayHaveRun };
}

}
