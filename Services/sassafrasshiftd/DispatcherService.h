#pragma once

#include "ConfigurationStore.h"
#include "Context.h"
#include <LibDispatch/Dispatcher.h>

namespace Sassafrasshift::Daemon {

/// Runs the dispatcher of this host, and sends what it decides. Only the one that peers have chosen gets requests; the
/// others of the failure domain hear the announcements too, so that they can take its place at once.
class DispatcherService {
public:
    DispatcherService(Context&, ConfigurationStore&);

    /// Takes in a target's announcement and passes it to the other hosts of its failure domain.
    [[nodiscard]] ErrorOr<void> announce(const Membership::TargetReport&);
    /// Takes in an announcement that another host has passed on.
    void onTargetReport(const Membership::TargetReport&);

    void onMessage(const std::string& from, const Dispatch::GrantRequest&);
    void onMessage(const std::string& from, const CancelGrantRequest&);
    void onMessage(const std::string& from, const Dispatch::Release&);
    void onMessage(const std::string& from, const HeldGrants&);
    void onMessage(const std::string& from, const Dispatch::DomainView&);
    void onMessage(const std::string& from, const Dispatch::HandOver&);
    void onMessage(const std::string& from, const Dispatch::HandOverResult&);
    void tick();

    [[nodiscard]] const Dispatch::Dispatcher& dispatcher() const { return this->core; }

private:
    void executeCommands();
    void send(const Dispatch::Grant&);
    void send(const Dispatch::Refusal&);
    void send(const Dispatch::SendToDispatcher&);
    void send(const Dispatch::DomainView&);
    void refreshOtherDispatchers();

    Context& context;
    ConfigurationStore& configuration;
    Dispatch::Dispatcher core;
    /// The dispatchers of the other failure domains, by domain.
    std::map<std::string, std::string> otherDispatchers;
};

}
