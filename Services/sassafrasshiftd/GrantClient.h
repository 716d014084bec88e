#pragma once

#include "Context.h"
#include <LibDispatch/Types.h>
#include <functional>
#include <map>
#include <unordered_map>

namespace Sassafrasshift::Daemon {

/// Asks the dispatcher of this failure domain for grants, and gives them back.
class GrantClient {
public:
    struct Callbacks {
        std::function<void(const Dispatch::Grant&)> granted;
        std::function<void(const Dispatch::Refusal&)> refused;
    };

    explicit GrantClient(Context&);

    /// Asks for grants and returns the request's number. The callbacks are called later, never from within.
    [[nodiscard]] uint64_t ask(Dispatch::GrantRequest, Callbacks);
    /// Withdraws a request; none of its callbacks is called any more.
    void withdraw(uint64_t number);
    void release(const Dispatch::Grant&, Dispatch::WorkResult, Microseconds runTime);

    void onGrant(const Dispatch::Grant&);
    void onRefusal(const Dispatch::Refusal&);
    /// Asks again where the dispatcher has changed or stays silent, and names the grants that are held for long.
    void tick();

    [[nodiscard]] size_t pendingRequests() const { return this->pending.size(); }
    [[nodiscard]] size_t heldGrants() const { return this->held.size(); }

private:
    struct Pending {
        Dispatch::GrantRequest request;
        Callbacks callbacks;
        uint32_t missing { 0 };
        std::string dispatcher;
        Instant sentAt;
        Instant deadline;
    };

    struct HeldGrant {
        Dispatch::Grant grant;
        std::string pool;
        Catalog::Resources needs;
        Instant since;
    };

    void sendRequest(Pending&);
    void nameHeldGrants();

    Context& context;
    uint64_t nextNumber;
    std::unordered_map<uint64_t, Pending> pending;
    std::map<std::pair<std::string, uint64_t>, HeldGrant> held;
    Instant nextNaming {};
};

}
