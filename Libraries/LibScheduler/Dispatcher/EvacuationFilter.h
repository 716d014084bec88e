#pragma once

#include <set>
#include <string>

namespace Sassafrasshift::Scheduler {

/// The failure domains on whose targets a dispatcher starts no tasks, or the fact that it does not know them yet.
class EvacuationFilter {
public:
    /// Null if the domains are not known. Returns whether that is a change.
    bool set(const std::set<std::string>* newDomains)
    {
        bool known = newDomains != nullptr;
        bool isChange = known != this->known || (known && *newDomains != this->domains);
        this->known = known;
        if (isChange)
            this->domains = known ? *newDomains : std::set<std::string> {};
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
