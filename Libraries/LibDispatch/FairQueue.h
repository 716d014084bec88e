#pragma once

#include <LibDispatch/Types.h>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace Sassafrasshift::Dispatch {

/// Requests that wait for places in one pool: urgent ones first, then weighted fair shares of the teams, then in order
/// of arrival. Start-time fair queueing (Goyal et al., 1996), with the needs for cores as cost.
class FairQueue {
public:
    struct Waiting {
        GrantRequest request;
        Instant deadline;
        uint64_t arrival { 0 };
        /// Set where another dispatcher could not serve the request, so that it is not passed on again at once.
        Instant handOverNotBefore {};
    };

    /// Adds a request at the end of its team's line.
    void push(GrantRequest, Instant deadline);

    /// The request to serve next, or null where there is none or all teams are held back.
    [[nodiscard]] Waiting* front();

    /// Counts one grant against any request, and removes it once it has all.
    void recordGrant(const RequestId&);

    /// The request with this id, or null where it does not wait here.
    [[nodiscard]] Waiting* find(const RequestId&);

    /// Removes a request in constant time. Returns how many grants it still waited for.
    uint32_t remove(const RequestId&);

    /// Holds a team back, or lets it go on.
    void setTeamThrottled(const std::string& team, bool throttled);

    /// Removes and returns a request whose deadline has passed, if there is one.
    [[nodiscard]] std::optional<GrantRequest> popExpired(Instant now);

    /// Grants that are waited for.
    [[nodiscard]] size_t size() const { return this->waitingGrants; }
    [[nodiscard]] bool isEmpty() const { return this->requests.empty(); }
    /// Grants that are waited for at a priority and above it.
    [[nodiscard]] size_t grantsWaitingAtOrAbove(Catalog::Priority) const;

private:
    struct TeamQueue {
        std::deque<RequestId> order;
        double virtualTime { 0 };
        double weight { 1 };
        bool active { false };
    };

    struct PriorityLevel {
        std::map<std::string, TeamQueue> teams;
        std::set<std::pair<double, std::string>> active;
        double virtualTime { 0 };
        size_t waitingGrants { 0 };
    };

    struct RequestIdHash {
        size_t operator()(const RequestId&) const;
    };

    static constexpr size_t levelCount = 3;

    [[nodiscard]] PriorityLevel& levelOf(Catalog::Priority priority) { return this->levels[static_cast<size_t>(priority)]; }
    void activate(PriorityLevel&, const std::string& team);
    void deactivate(PriorityLevel&, const std::string& team);
    void dropRemovedFromFront(TeamQueue&);
    void charge(const Waiting&);
    void erase(const RequestId&);

    PriorityLevel levels[levelCount];
    std::unordered_map<RequestId, Waiting, RequestIdHash> requests;
    std::set<std::pair<Instant, RequestId>> deadlines;
    std::set<std::string> throttledTeams;
    size_t waitingGrants { 0 };
    uint64_t nextArrival { 0 };
};

}
