#include "Cluster/OrderRelay.h"
#include <algorithm>

namespace Sassafrasshift::Daemon {

// How long answers are collected for one dispatcher. Each batch costs the dispatcher a request, whatever it contains.
static constexpr Milliseconds collectionTime { 3 };
// Orders that were in transit for longer are not sent to targets: the dispatcher has given up on starts by then, and a process that has
// replaced a target would grant a late start a lease on its own clock.
static constexpr Milliseconds maximumTransitTime { 250 };
// The open orders of a relay; further ones are answered as not sent. A dispatcher needs a few hundred for 30 targets.
static constexpr size_t maximumOpenCalls = 4096;
static constexpr Milliseconds maximumAnswerTimeout { 2000 };

OrderRelay::OrderRelay(ClusterContext& context, Transport::HttpClient& client)
    : context(context)
    , targets(context.loop, client)
{
}

void OrderRelay::observeTransitTime(const std::string& from, const Gossip& gossip)
{
    (void)this->transitTimes.excessTransitTime(from, gossip.senderIncarnation, Milliseconds(gossip.sentAt), this->context.now());
}

bool OrderRelay::isLate(const std::string& from, const Scheduler::RelayedOrders& message)
{
    return this->transitTimes.excessTransitTime(from, message.process, Milliseconds(message.sentAt), this->context.now()) > maximumTransitTime;
}

void OrderRelay::onMessage(const std::string& from, const Scheduler::RelayedOrders& message)
{
    Dispatcher dispatcher { from, message.process };
    bool late = this->isLate(from, message);
    this->context.metrics.count(late ? "relay_orders_late_total" : "relay_orders_total", message.orders.size());
    for (const auto& order : message.orders) {
        if (late || this->openCalls >= maximumOpenCalls)
            this->addAnswer(dispatcher, order.call, Scheduler::Unanswered { Verdict::NotRun });
        else
            this->execute(dispatcher, order);
    }
}

void OrderRelay::execute(const Dispatcher& dispatcher, const Scheduler::RelayedOrder& relayed)
{
    ++this->openCalls;
    auto timeout = std::clamp(relayed.answerTimeout, Milliseconds(0), maximumAnswerTimeout);
    auto complete = [this, dispatcher, call = relayed.call](const auto& answer) {
        --this->openCalls;
        std::visit([&](const auto& outcome) { this->addAnswer(dispatcher, call, outcome); }, answer);
    };
    std::visit([&](const auto& order) { this->targets.send(order, timeout, complete); }, relayed.order);
}

void OrderRelay::addAnswer(const Dispatcher& dispatcher, uint64_t call, Answer answer)
{
    auto& batch = this->batches[dispatcher];
    batch.answers.push_back(Scheduler::RelayedAnswer { call, std::move(answer) });
    if (!batch.timer)
        batch.timer = this->context.loop.after(collectionTime, [this, dispatcher] { this->sendAnswers(dispatcher); });
}

void OrderRelay::sendAnswers(const Dispatcher& dispatcher)
{
    auto batch = this->batches.extract(dispatcher);
    if (batch.empty())
        return;
    this->context.send(dispatcher.address, Scheduler::RelayedAnswers { dispatcher.process, std::move(batch.mapped().answers) });
}

}
