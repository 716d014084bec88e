#pragma once

#include <LibDispatch/Types.h>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace Sassafrasshift::Dispatch {

/// Queue of the requests that wait for grants in one pool. It orders them by priority, then by weighted fair share among
/// the teams of one priority, then by arrival within a team. The sharing is start-time fair queueing (Goyal et al.,
/// 1996) with the requested cores as the cost.
class FairQueue {
public:
    using Deadlines = std::set<std::pair<Instant, RequestId>>;

    struct WaitingRequest {
        GrantRequest request;
        Instant deadline;
        Deadlines::iterator deadlinePosition;
        uint64_t arrival { 0 };
        /// Set when another dispatcher has returned the request, so that it is not handed over again immediately.
        Instant handOverNotBefore {};
    };

    /// Appends a request to the queue of its team.
    void push(GrantRequest, Instant deadline);

    /// Returns the request to serve next, or null if no request is waiting or all waiting teams are throttled.
    [[nodiscard]] WaitingRequest* front();

    /// Records one grant for a request, at the head of its queue or not, and removes the request once it has all its
    /// grants.
    void recordGrant(const RequestId&);

    /// Returns the request with this id, or null if it is not waiting here.
    [[nodiscard]] WaitingRequest* find(const RequestId&);

    /// Removes a request in constant time. Returns the number of grants that it was still waiting for.
    uint32_t remove(const RequestId&);

    /// Excludes the requests of a team from service if `throttled` is true, and readmits them otherwise.
    void setTeamThrottled(const std::string& team, bool throttled);

    /// Removes and returns one request whose deadline has passed, if there is any.
    [[nodiscard]] std::optional<GrantRequest> popExpired(Instant now);

    /// Returns the number of grants that all queued requests together are waiting for.
    [[nodiscard]] size_t waitingGrantCount() const { return this->waitingGrants; }
    [[nodiscard]] bool isEmpty() const { return this->requests.empty(); }
    /// Returns the number of grants that requests of this priority or a higher one are waiting for.
    [[nodiscard]] size_t grantsWaitingAtOrAbove(Catalog::Priority) const;

private:
    struct TeamQueue {
        /// In order of arrival. Ids of removed requests stay here until they reach the front.
        std::deque<RequestId> requestIds;
        /// The start tag of the team's next grant.
        double virtualTime { 0 };
        double weight { 1 };
        /// Whether the team has waiting requests and is not throttled.
        bool active { false };
    };

    struct PriorityLevel {
        std::map<std::string, TeamQueue> teams;
        /// The active teams in order of their virtual times.
        std::set<std::pair<double, std::string>> active;
        /// The highest start tag that has been served.
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
    /// Advances the virtual time of a team by the cost of one grant.
    void charge(const WaitingRequest&);
    void erase(std::unordered_map<RequestId, WaitingRequest, RequestIdHash>::iterator);

    PriorityLevel levels[levelCount];
    std::unordered_map<RequestId, WaitingRequest, RequestIdHash> requests;
    Deadlines deadlines;
    std::set<std::string> throttledTeams;
    size_t waitingGrants { 0 };
    uint64_t nextArrival { 0 };
};

}
