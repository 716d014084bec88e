#pragma once

#include "Context.h"
#include <LibDispatch/Types.h>
#include <functional>
#include <map>
#include <unordered_map>

namespace Sassafrasshift::Daemon {

/// Requests grants from the dispatcher of this failure domain and releases them.
class GrantClient {
public:
    struct Callbacks {
        std::function<void(const Dispatch::Grant&)> granted;
        std::function<void(const Dispatch::Refusal&)> refused;
    };

    explicit GrantClient(Context&);

    /// Requests grants and returns the number of the request. The callbacks are never called before this function returns.
    [[nodiscard]] uint64_t requestGrants(Dispatch::GrantRequest, Callbacks);
    /// Cancels a request; its callbacks are not called afterwards.
    void cancelRequest(uint64_t number);
    /// Returns a grant to its dispatcher, with the result and the run time of the work.
    void release(const Dispatch::Grant&, Dispatch::WorkResult, Microseconds runTime);

    void onGrant(const Dispatch::Grant&);
    void onRefusal(const Dispatch::Refusal&);
    /// Resends requests if the dispatcher has changed or has not responded, refuses those whose deadline has passed, and reports
    /// the grants that have been held for some time.
    void tick();

    [[nodiscard]] size_t pendingRequests() const { return this->pending.size(); }
    [[nodiscard]] size_t heldGrants() const { return this->held.size(); }

private:
    struct PendingRequest {
        Dispatch::GrantRequest request;
        Callbacks callbacks;
        /// The number of grants that have not arrived yet.
        uint32_t outstandingCount { 0 };
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

    void sendRequest(PendingRequest&);
    void reportHeldGrants();

    Context& context;
    uint64_t nextNumber;
    std::unordered_map<uint64_t, PendingRequest> pending;
    /// By dispatcher and grant number.
    std::map<std::pair<std::string, uint64_t>, HeldGrant> held;
    Instant nextReport {};
};

}
