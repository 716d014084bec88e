#pragma once

#include "Cluster/ClusterContext.h"
#include <LibScheduler/Relay/RelayAssignment.h>
#include <LibScheduler/Relay/RelayedCalls.h>
#include <LibScheduler/Target/TargetSession.h>
#include <map>
#include <platform/TargetClient.h>

namespace Sassafrasshift::Daemon {

/// Sends the orders of a dispatcher to targets, directly or through relays, and passes on the answers.
class OrderSender {
public:
    /// Called with the answers in a later turn of the event loop.
    struct AnswerHandlers {
        std::function<void(const Scheduler::TargetInstance&, uint64_t number, const Scheduler::HoldAnswer&)> onHoldAnswer;
        std::function<void(const Scheduler::TargetInstance&, const Scheduler::RunId&, const Scheduler::OrderAnswer&)> onStartAnswer;
        std::function<void(const Scheduler::TargetInstance&, const Scheduler::RunId&, const Scheduler::OrderAnswer&)> onStopAnswer;
    };

    OrderSender(ClusterContext&, Transport::HttpClient&, AnswerHandlers);

    /// How long the answer to a hold order may take in addition to the wait that it asks for.
    [[nodiscard]] static Milliseconds holdAnswerTimeout(const Settings::ClusterSettings&);

    /// Sends each order through the relay of its target, or directly if the target has none.
    void send(Scheduler::TargetSession::Orders);
    /// Passes on the answers of a relay. Answers to calls that have expired are ignored.
    void onMessage(const std::string& from, const Scheduler::RelayedAnswers&);
    /// Handles the expiry of calls, and chooses the relays for this number of targets. To be called in each tick while the
    /// dispatcher is active.
    void tick(const std::string& shard, size_t targetCount, Instant now);

private:
    template <typename Order>
    void dispatch(Order);
    void sendDirectly(Scheduler::HoldOrder);
    void sendDirectly(Scheduler::StartOrder);
    void sendDirectly(Scheduler::StopOrder);
    void sendBatches();
    void complete(const Scheduler::RelayedCalls::Call&, Scheduler::RelayedAnswer);
    void expireCalls(Instant now);
    void updateRelays(const std::string& shard, size_t targetCount, Instant now);

    ClusterContext& context;
    Platform::TargetClient targets;
    AnswerHandlers handlers;
    Scheduler::RelayAssignment assignment;
    Scheduler::RelayedCalls calls;
    /// The orders of the present iteration of the event loop, by relay.
    std::map<std::string, std::vector<Scheduler::RelayedOrder>> batches;
};

}
