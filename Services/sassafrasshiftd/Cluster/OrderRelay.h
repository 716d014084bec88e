#pragma once

#include "Cluster/ClusterContext.h"
#include <LibScheduler/Dispatcher/TransitTimes.h>
#include <map>
#include <platform/TargetClient.h>
#include <utility>

namespace Sassafrasshift::Daemon {

/// Sends the orders of dispatchers to targets, and returns the answers in batches. It keeps no state but the open calls.
class OrderRelay {
public:
    OrderRelay(ClusterContext&, Transport::HttpClient&);

    /// Sends the orders to their targets. Orders that are late or exceed the limit of open calls are answered as not run.
    void onMessage(const std::string& from, const Scheduler::RelayedOrders&);
    /// Records the transit time of a message that every member sends, with which the transit times of orders are compared.
    void observeTransitTime(const std::string& from, const Gossip&);

private:
    /// A process of a dispatcher. A process that replaces it at the same address does not get its answers.
    struct Dispatcher {
        std::string address;
        uint64_t process { 0 };

        friend auto operator<=>(const Dispatcher&, const Dispatcher&) = default;
    };
    using Answer = decltype(Scheduler::RelayedAnswer::answer);

    [[nodiscard]] bool isLate(const std::string& from, const Scheduler::RelayedOrders&);
    void execute(const Dispatcher&, const Scheduler::RelayedOrder&);
    void addAnswer(const Dispatcher&, uint64_t call, Answer);
    void sendAnswers(const Dispatcher&);

    ClusterContext& context;
    Platform::TargetClient targets;
    Scheduler::TransitTimes transitTimes;
    size_t openCalls { 0 };
    /// The collected answers of each dispatcher, and the timer that sends them.
    struct Batch {
        std::vector<Scheduler::RelayedAnswer> answers;
        std::unique_ptr<Transport::Timer> timer;
    };
    std::map<Dispatcher, Batch> batches;
};

}
