#pragma once

#include <LibCatalog/Objects.h>
#include <LibScheduler/Dispatcher/JobRank.h>
#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// The jobs that have waiting tasks, grouped by what decides whether a target has room for one of their tasks. If there is none for a
/// job, there is none for the rest of its group either, so that a pass over the queue costs as many searches as there are groups.
template <typename Job>
class WaitingJobs {
public:
    /// What a task needs of a target, apart from the number of tasks per target.
    struct Shape {
        Catalog::Resources needs;
        std::string pool;
        std::string requiredLabel;

        /// Shapes that need fewer cores come first.
        friend auto operator<=>(const Shape&, const Shape&) = default;
    };
    using Group = std::map<JobRank, Job*>;

    void add(const Shape& shape, const JobRank& rank, Job* job) { this->groups[shape].insert_or_assign(rank, job); }

    void remove(const Shape& shape, const JobRank& rank)
    {
        auto group = this->groups.find(shape);
        if (group != this->groups.end() && group->second.erase(rank) > 0 && group->second.empty())
            this->groups.erase(group);
    }

    void clear() { this->groups.clear(); }
    [[nodiscard]] bool isEmpty() const { return this->groups.empty(); }

    /// What became of one job in a pass.
    enum class Result {
        /// Jobs of the same shape may have room on a target.
        Continue,
        /// No job of the same shape has room on any target.
        ShapeHasNoRoom,
        /// No further job is visited.
        PassIsOver,
    };

    /// Visits jobs in the order of their ranks, until `largestFree()` is 0. Jobs that need more cores than that are left out. The visitor
    /// may remove the job that it is given, and no other, and adds none. It also gets a reference to a time,
    /// initially zero, that is kept for the jobs of the same shape during the pass.
    template <typename LargestFree, typename Visit>
    void visit(const LargestFree& largestFree, const Visit& visitor)
    {
        std::vector<Cursor> cursors;
        for (auto group = this->groups.begin(); group != this->groups.end() && group->first.needs.milliCores <= largestFree(); ++group)
            cursors.push_back(Cursor { group->first.needs.milliCores, group->second.begin(), group->second.end() });
        std::make_heap(cursors.begin(), cursors.end(), isServedLater);
        while (!cursors.empty() && largestFree() > 0) {
            std::pop_heap(cursors.begin(), cursors.end(), isServedLater);
            auto& cursor = cursors.back();
            bool hasMore = false;
            if (cursor.milliCores <= largestFree()) {
                auto& job = *cursor.position->second;
                hasMore = ++cursor.position != cursor.end;
                auto result = visitor(job, cursor.time);
                if (result == Result::PassIsOver)
                    return;
                hasMore = result == Result::Continue && hasMore;
            }
            if (hasMore)
                std::push_heap(cursors.begin(), cursors.end(), isServedLater);
            else
                cursors.pop_back();
        }
    }

private:
    struct Cursor {
        int64_t milliCores { 0 };
        typename Group::iterator position;
        typename Group::iterator end;
        Instant time {};
    };

    static bool isServedLater(const Cursor& left, const Cursor& right) { return right.position->first < left.position->first; }

    std::map<Shape, Group> groups;
};

}
