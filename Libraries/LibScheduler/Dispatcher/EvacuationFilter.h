#pragma once

#include <set>
#include <string>

namespace Sassafrasshift::Scheduler {

/// The failure domains on whose targets a dispatcher starts no tasks, or the fact that it does not know them yet.
class EvacuationFilter {
public:
    /// Sets the domains; null if they are not known. Returns whether that is a change.
    bool set(const std::set<std::string>* newDomains)
    {
        bool isNowKnown = newDomains != nullptr;
        bool isChange = isNowKnown != this->known || (isNowKnown && *newDomains != this->domains);
        this->known = isNowKnown;
        if (isChange)
            this->domains = isNowKnown ? *newDomains : std::set<std::string> {};
        return isChange;
    }

    [[nodiscard]] bool isKnown() const { return this->known; }
    [[nodiscard]] bool isEmpty() const { return this->domains.empty(); }
    [[nodiscard]] bool contains(const std::string& domain) const { return !this->domains.empty() && this->domains.contains(domain); }

private:
    bool known { true };
    std::set<std::string> domains;
};

}
