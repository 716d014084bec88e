#pragma once

#include "ConfigurationStore.h"
#include "Context.h"
#include "GrantClient.h"
#include <LibDispatch/RetryBudget.h>
#include <LibTransport/HttpServer.h>
#include <map>
#include <memory>
#include <unordered_map>

namespace Sassafrasshift::Daemon {

/// Forwards callers' requests to executors and returns their complete responses.
class RequestForwarder {
public:
    RequestForwarder(Context&, ConfigurationStore&, GrantClient&);

    /// Handles a request for /v1/services/NAME/...
    void handle(const std::shared_ptr<Transport::HttpExchange>&);

    [[nodiscard]] size_t requestsInProgress() const { return this->inProgressByNumber.size(); }

private:
    /// A caller's request that is in progress.
    struct Forwarding {
        uint64_t number { 0 };
        std::shared_ptr<Transport::HttpExchange> exchange;
        std::string requestId;
        std::string service;
        bool idempotent { false };
        /// The fraction of a retry that each success adds to the retry budget of the service.
        double retryShare { 0 };
        Dispatch::GrantRequest grantRequest;
        std::optional<uint64_t> pendingGrant;
        std::optional<Dispatch::Grant> grant;
        std::unique_ptr<Transport::HttpCall> call;
        /// The identifier of the current attempt, which is unique across hosts and restarts.
        std::string attempt;
        uint32_t attempts { 0 };
        Instant arrivedAt {};
        Instant deadline {};
        Instant sentAt {};
    };

    using ForwardingPointer = std::shared_ptr<Forwarding>;

    /// Validates a request and sets up its forwarding.
    [[nodiscard]] ErrorOr<ForwardingPointer> prepare(const std::shared_ptr<Transport::HttpExchange>&);
    void requestGrant(const ForwardingPointer&);
    void sendAttempt(const ForwardingPointer&, const Dispatch::Grant&);
    [[nodiscard]] Transport::HttpRequest makeTargetRequest(const Forwarding&) const;
    void onTargetResponse(const ForwardingPointer&, ErrorOr<Transport::HttpResponse>);
    /// Retries the request on another target if that is safe and the retry budget allows it; otherwise responds with the error.
    void onAttemptFailed(const ForwardingPointer&, const Error&);
    /// Releases the resources of a request whose caller has disconnected.
    void onAbandoned(const ForwardingPointer&);
    void releaseGrant(Forwarding&, Dispatch::WorkResult);
    void finish(const ForwardingPointer&, Transport::HttpResponse, std::string_view event);
    void refuse(const ForwardingPointer&, const Error&);
    [[nodiscard]] Milliseconds remainingTime(const Forwarding&) const;

    Context& context;
    ConfigurationStore& configuration;
    GrantClient& grants;
    std::unordered_map<uint64_t, ForwardingPointer> inProgressByNumber;
    /// By service.
    std::map<std::string, Dispatch::RetryBudget> retryBudgets;
    uint64_t nextNumber { 1 };
};

}
