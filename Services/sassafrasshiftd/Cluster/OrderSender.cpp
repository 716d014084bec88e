#include "Cluster/OrderSender.h"
#include <LibTelemetry/Log.h>

namespace Sassafrasshift::Daemon {

using Scheduler::RelayedAnswer;
using Scheduler::RelayedCalls;
using Telemetry::LogLevel;

// Two ticks: a call expires only in the second check after its time.
static constexpr Milliseconds expiryDelay { 40 };

OrderSender::OrderSender(ClusterContext& context, Transport::HttpClient& client, AnswerHandlers handlers)
    : context(context)
    , targets(context.loop, client)
    , handlers(std::move(handlers))
    , calls(context.cluster.processIncarnation())
{
}

Milliseconds OrderSender::holdAnswerTimeout(const Settings::ClusterSettings& settings)
{
    return Platform::TargetClient::holdTimeout + (settings.usesOrderRelays() ? RelayedCalls::relayTime + expiryDelay : Milliseconds(0));
}

void OrderSender::sendDirectly(Scheduler::HoldOrder order)
{
    this->targets.send(order, Platform::TargetClient::answerTimeout(order), [this, instance = order.instance, number = order.number](const auto& answer) { this->handlers.onHoldAnswer(instance, number, answer); });
}

void OrderSender::sendDirectly(Scheduler::StartOrder order)
{
    this->targets.send(order, Platform::TargetClient::answerTimeout(order), [this, instance = order.instance, run = order.run](const auto& answer) { this->handlers.onStartAnswer(instance, run, answer); });
}

void OrderSender::sendDirectly(Scheduler::StopOrder order)
{
    this->targets.send(order, Platform::TargetClient::answerTimeout(order), [this, instance = order.instance, run = order.run](const auto& answer) { this->handlers.onStopAnswer(instance, run, answer); });
}

template <typename Order>
void OrderSender::dispatch(Order order)
{
    const auto* relay = this->assignment.relayFor(order.instance.identity);
    if (!relay || !this->calls.hasRoom())
        return this->sendDirectly(std::move(order));
    auto timeout = Platform::TargetClient::answerTimeout(order);
    auto number = this->calls.open(order, *relay, timeout, this->context.now());
    this->batches[*relay].push_back(Scheduler::RelayedOrder { number, timeout, std::move(order) });
}

void OrderSender::send(Scheduler::TargetSession::Orders orders)
{
    // Starts first: they are what callers wait for.
    for (auto& order : orders.starts)
        this->dispatch(std::move(order));
    for (auto& order : orders.stops)
        this->dispatch(std::move(order));
    for (auto& order : orders.holds)
        this->dispatch(std::move(order));
    this->sendBatches();
}

void OrderSender::sendBatches()
{
    auto sentAt = std::chrono::duration_cast<Milliseconds>(this->context.now().time_since_epoch()).count();
    for (auto& [relay, orders] : std::exchange(this->batches, {})) {
        this->context.metrics.count("relayed_orders_total", orders.size());
        this->context.send(relay, Scheduler::RelayedOrders { this->context.cluster.processIncarnation(), sentAt, std::move(orders) });
    }
}

void OrderSender::complete(const RelayedCalls::Call& call, RelayedAnswer answer)
{
    switch (call.kind) {
    case RelayedCalls::Kind::Hold:
        return this->handlers.onHoldAnswer(call.instance, call.holdNumber, Scheduler::toHoldAnswer(std::move(answer)));
    case RelayedCalls::Kind::Start:
        return this->handlers.onStartAnswer(call.instance, call.run, Scheduler::toOrderAnswer(std::move(answer)));
    case RelayedCalls::Kind::Stop:
        return this->handlers.onStopAnswer(call.instance, call.run, Scheduler::toOrderAnswer(std::move(answer)));
    }
}

void OrderSender::onMessage(const std::string& from, const Scheduler::RelayedAnswers& message)
{
    uint64_t ignored = 0;
    for (const auto& answer : message.answers) {
        if (auto call = this->calls.close(message.process, answer.call, from))
            this->complete(*call, answer);
        else
            ++ignored;
    }
    if (ignored > 0)
        this->context.metrics.count("relayed_answers_ignored_total", ignored);
}

void OrderSender::expireCalls(Instant now)
{
    for (const auto& call : this->calls.takeExpired(now)) {
        this->context.metrics.count("relayed_orders_unanswered_total");
        this->complete(call, RelayedAnswer { 0, Scheduler::Unanswered { Verdict::MayHaveRun } });
    }
    // A relay is lost once in `lostRelayPause` at most, which bounds the lines.
    for (const auto& relay : this->calls.takeLostRelays()) {
        this->context.metrics.count("order_relays_lost_total");
        Telemetry::log(LogLevel::Warning, "order-relay-lost", "a relay did not answer orders in time; it gets none for a while", { { "relay", relay } });
    }
}

void OrderSender::updateRelays(const std::string& shard, size_t targetCount, Instant now)
{
    const auto& self = this->context.cluster.self();
    std::vector<std::string> candidates;
    for (const auto* member : this->context.cluster.liveMembers(now)) {
        bool isCandidate = member != &self && member->isEntry && member->relaysOrders && member->state == Membership::HostState::Serving && member->failureDomain == self.failureDomain;
        if (isCandidate && !this->calls.isLost(member->address, now))
            candidates.push_back(member->address);
    }
    if (!this->assignment.update(candidates, shard, targetCount))
        return;
    std::string relays;
    for (const auto& relay : this->assignment.relays())
        relays += (relays.empty() ? "" : " ") + relay;
    this->context.metrics.setGauge("order_relays", static_cast<double>(this->assignment.relays().size()));
    Telemetry::log(LogLevel::Information, "order-relays-changed", "the relays of this dispatcher's orders have changed", { { "shard", shard }, { "targets", std::to_string(targetCount) }, { "relays", relays } });
}

void OrderSender::tick(const std::string& shard, size_t targetCount, Instant now)
{
    this->expireCalls(now);
    // A member that does not dispatch has no targets.
    bool isIdle = targetCount == 0 && this->assignment.relays().empty();
    if (this->context.settings.usesOrderRelays() && !isIdle)
        this->updateRelays(shard, targetCount, now);
}

}
