#pragma once

#include "ConfigurationStore.h"
#include "Context.h"
#include "DispatcherService.h"
#include "JobService.h"
#include "LedgerService.h"
#include "RequestForwarder.h"
#include <LibTransport/HttpServer.h>
#include <memory>

namespace Sassafrasshift::Daemon {

/// The HTTP interface for callers, targets, the platform and operators. docs/api.md describes it.
class HttpApi {
public:
    struct Components {
        ConfigurationStore& configuration;
        DispatcherService& dispatcher;
        GrantClient& grants;
        LedgerService& ledger;
        RequestForwarder& requests;
        JobService& jobs;
        PeerNetwork& network;
    };

    HttpApi(Context&, Components);

    void handle(const std::shared_ptr<Transport::HttpExchange>&);

    /// Makes the host report itself as not ready from now on.
    void startLeaving() { this->leaving = true; }

private:
    using Exchange = std::shared_ptr<Transport::HttpExchange>;

    void handleTargets(const Exchange&);
    void handleConfiguration(const Exchange&);
    void publish(const Exchange&);
    void handleHistory(const Exchange&);
    void handleReadiness(const Exchange&);
    void handleStatus(const Exchange&);
    void handleMetrics(const Exchange&);
    void handleTimeLine(const Exchange&);

    Context& context;
    Components components;
    bool leaving { false };
};

}
