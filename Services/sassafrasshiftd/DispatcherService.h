#pragma once

#include "ConfigurationStore.h"
#include "Context.h"
#include <LibDispatch/Dispatcher.h>

namespace Sassafrasshift::Daemon {

/// Runs the dispatcher of this host and sends its decisions. Only the active dispatcher of a failure domain receives
/// requests. The other hosts of the domain receive the target announcements as well, so that any of them can take over
/// immediately.
class DispatcherService {
public:
    DispatcherService(Context&, ConfigurationStore&);

    /// Processes a target's announcement and forwards it to the other live hosts of the target's failure domain. Fails with
    /// Reason::NoConfiguration, or with Reason::NotFound or Reason::InvalidInput if the pool does not exist or does not extend to
    /// that domain.
    [[nodiscard]] ErrorOr<void> announce(const Membership::TargetReport&);
    /// Processes an announcement that another host forwarded.
    void onTargetReport(const Membership::TargetReport&);

    void onMessage(const std::string& from, const Dispatch::GrantRequest&);
    void onMessage(const std::string& from, const CancelGrantRequest&);
    void onMessage(const std::string& from, const Dispatch::Release&);
    void onMessage(const std::string& from, const HeldGrants&);
    void onMessage(const std::string& from, const Dispatch::PoolAvailability&);
    void onMessage(const std::string& from, const Dispatch::HandOver&);
    void onMessage(const std::string& from, const Dispatch::HandOverResult&);
    void tick();

    [[nodiscard]] const Dispatch::Dispatcher& dispatcher() const { return this->localDispatcher; }

private:
    void executeCommands();
    void send(const Dispatch::Grant&);
    void send(const Dispatch::Refusal&);
    void send(const Dispatch::SendToDispatcher&);
    void send(const Dispatch::PoolAvailability&);
    /// Updates the list of other dispatchers, and announces the free capacity of this domain when it has changed.
    void refreshOtherDispatchers();

    Context& context;
    ConfigurationStore& configuration;
    Dispatch::Dispatcher localDispatcher;
    /// The active dispatchers of the other failure domains, by domain.
    std::map<std::string, std::string> otherDispatchers;
};

}
