#pragma once

#include <LibScheduler/Target/OrderAnswer.h>
#include <LibScheduler/Types.h>
#include <variant>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// An order that a relay sends to its target for a dispatcher.
struct RelayedOrder {
    /// Identifies the answer; unique within the process of the dispatcher.
    uint64_t call { 0 };
    /// How long the target may take to answer the relay.
    Milliseconds answerTimeout { 0 };
    std::variant<HoldOrder, StartOrder, StopOrder> order;

    CODEC_FIELDS(call, answerTimeout, order);
    friend auto operator<=>(const RelayedOrder&, const RelayedOrder&) = default;
};

/// Sent by a dispatcher to a relay.
struct RelayedOrders {
    /// The number of the dispatcher's process, which the answers repeat.
    uint64_t process { 0 };
    /// The time of sending on the clock of that process, in milliseconds.
    Milliseconds::rep sentAt { 0 };
    std::vector<RelayedOrder> orders;

    CODEC_FIELDS(process, sentAt, orders);
    friend auto operator<=>(const RelayedOrders&, const RelayedOrders&) = default;
};

/// A target's answer to a relayed order. `Unanswered` with Verdict::NotRun means that the relay has sent no byte of the order.
struct RelayedAnswer {
    uint64_t call { 0 };
    /// A list answers a hold order, an acknowledgment the other orders.
    std::variant<Unanswered, Refused, Acknowledged, RunList> answer;

    CODEC_FIELDS(call, answer);
    friend auto operator<=>(const RelayedAnswer&, const RelayedAnswer&) = default;
};

/// Sent by a relay to a dispatcher.
struct RelayedAnswers {
    /// As in the orders.
    uint64_t process { 0 };
    std::vector<RelayedAnswer> answers;

    CODEC_FIELDS(process, answers);
    friend auto operator<=>(const RelayedAnswers&, const RelayedAnswers&) = default;
};

}
