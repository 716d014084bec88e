#pragma once

#include "ClusterContext.h"
#include <LibDurableState/EvacuationView.h>
#include <set>

namespace Sassafrasshift::Daemon {

/// Holds the set of evacuated failure domains in force on this member in memory, and distributes it to other members.
class EvacuationStore {
public:
    explicit EvacuationStore(ClusterContext&);

    enum class Distribution {
        None,
        /// The set is sent to all live members at once.
        ToAllMembers,
    };
    /// Puts a set in force that the ledger has committed. A set whose revision is not higher than the one in force is ignored.
    void activateIfNewer(const DurableState::EvacuatedDomains&, Distribution);
    /// Requests the set of a member that has a newer one.
    void synchronize(Instant now);

    void onMessage(const std::string& from, const EvacuationRequest&);
    void onMessage(const std::string& from, const EvacuationTransfer&);

    [[nodiscard]] bool isKnown() const { return this->view.isKnown(); }
    [[nodiscard]] const DurableState::EvacuatedDomains& evacuated() const { return this->view.evacuated(); }
    /// The domains on whose targets no task may be started; null while this member has to wait for the set of another one.
    [[nodiscard]] const std::set<std::string>* domainsForDispatch() const { return this->view.mayDispatch() ? &this->evacuated().domains : nullptr; }

private:
    ClusterContext& context;
    DurableState::EvacuationView view;
    Instant nextComparison {};
};

}
