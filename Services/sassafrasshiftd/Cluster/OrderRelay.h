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

    void onMessage(const std::string& from, const Scheduler::RelayedOrders&);
    /// Records the transit time of a message that every member sends, with which the transit times of orders are compared.
    void observeTransitTime(const std::string& from, const Gossip&);

private:
    /// A process of a dispatcher, by its address and number.
    using Dispatcher = std::pair<std::string, uint64_t>;
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
