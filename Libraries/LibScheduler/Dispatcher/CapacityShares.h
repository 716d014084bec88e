#pragma once

#include <LibBase/Clock.h>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Sassafrasshift::Scheduler {

/// Shares the capacity of a dispatcher's targets while it is short, that is while the waiting work cannot all end within its objectives.
///
/// Within a priority, jobs are ordered by start-time fair queueing (Goyal et al., 1996) with their work as the cost, between the failure
/// domains that they come from, and between the queues of each domain. Shares that are not used are lent to the others. Across priorities,
/// each queue has a guaranteed minimum: jobs within it come before those of all priorities. Without shortage, all jobs get the same tag.
class CapacityShares {
public:
    struct Options {
        /// The guaranteed minimum of a queue, as a part of its share of the whole capacity by weight among the queues that ask.
        double guaranteedPart { 0.5 };
        /// The guarantee that a queue has not used is kept for this long, so that jobs with many tasks get it too.
        Milliseconds guaranteeRetention { 500 };
        /// Sharing ends when there has been no shortage for this long.
        Milliseconds calmTime { 1000 };
        /// Further shares are counted and served as one.
        size_t maximumShares { 256 };
        /// Sums of waiting work tell tags apart that differ by the work that the whole capacity does in this time.
        Milliseconds tagStep { 20 };
    };

    /// Jobs of one queue that come from one failure domain.
    struct Share {
        std::string domain;
        std::string queue;

        friend auto operator<=>(const Share&, const Share&) = default;
    };

    /// What a job gets when it is queued.
    struct Position {
        Share share;
        int64_t priority { 0 };
        double work { 0 };
        /// Whether the job is within the guaranteed minimum of its queue.
        bool isGuaranteed { false };
        /// Jobs of equal priority are served in the order of their tags.
        double tag { 0 };
        /// By how much the job has raised the finish tag of its flow; zero once it has started, or was refunded.
        double charge { 0 };
        /// The period of sharing in which the job was charged.
        uint64_t period { 0 };
    };

    /// What has become of the jobs of a share.
    struct Counts {
        uint64_t asked { 0 };
        /// Jobs of which some task has started.
        uint64_t admitted { 0 };
        /// Jobs that were refused or dropped before any task had started.
        uint64_t refused { 0 };
        /// Jobs that did not end within their objective although tasks had started.
        uint64_t late { 0 };

        friend auto operator<=>(const Counts&, const Counts&) = default;
    };

    enum class Change {
        None,
        Began,
        Ended,
    };

    explicit CapacityShares(Options);

    /// Sets the weights that differ from 1.
    void setWeights(std::map<std::string, double> domains, std::map<std::string, double> queues);

    /// To be called regularly. `capacity` is that of all targets, and `isShort` whether the waiting work cannot all end in time.
    Change observe(bool isShort, double capacity, Instant now);
    [[nodiscard]] bool isSharing() const { return this->sharing; }

    /// Queues a job. `work` has the unit of the capacity multiplied by milliseconds.
    [[nodiscard]] Position add(const Share&, int64_t priority, double work, Instant now);
    /// Returns where a job would be queued now, without queueing it.
    [[nodiscard]] Position preview(const Share&, int64_t priority, Instant now) const;
    /// Returns a tag as a number of steps, which is zero for all jobs without shortage.
    [[nodiscard]] int64_t stepsOf(double tag) const;
    /// To be called when the first task of a job starts.
    void onStarted(Position&);
    /// To be called when a job that has not started can no longer meet its objective: it is not charged.
    void onLate(Position&);
    /// To be called for each job that was added. A job that has not started is not charged.
    void onEnded(Position&);

    /// Adds to the counts of a share.
    void count(const Share&, const Counts&);
    /// Returns the counts since the last call.
    [[nodiscard]] std::map<Share, Counts> takeCounts();
    /// Forgets all jobs, and ends sharing.
    void clear();

private:
    /// The jobs of one share and priority.
    struct Flow {
        size_t openJobs { 0 };
        /// The finish tag of the last job.
        double finish { 0 };
    };

    struct Level {
        std::map<Share, Flow> flows;
        /// The tags of the jobs that wait and can still meet their objectives.
        std::multiset<double> waitingTags;
        /// The lowest of these tags. Not the highest one that was served: a job that fits into a gap is served before others with lower tags.
        double virtualTime { 0 };
    };

    struct Guarantee {
        size_t openJobs { 0 };
        /// The work that the share may still have done ahead of other priorities.
        double credit { 0 };
        Instant updatedAt {};
    };

    [[nodiscard]] Share bounded(const Share&) const;
    [[nodiscard]] static double weightOf(const std::map<std::string, double>&, const std::string& name);
    [[nodiscard]] double weightOf(const Level&, const Share&) const;
    void removeIdle();
    void removeWaiting(Position&);
    void refund(Position&);
    [[nodiscard]] double guaranteedRate(const Share&) const;
    [[nodiscard]] double guaranteedCredit(const Share&, Instant now) const;
    [[nodiscard]] bool takeGuarantee(const Share&, double work, Instant now);

    Options options;
    std::map<std::string, double> domainWeights;
    std::map<std::string, double> queueWeights;
    bool sharing { false };
    /// The number of periods of sharing so far.
    uint64_t period { 0 };
    double capacity { 0 };
    /// The width of a step of tags in the present period.
    double stepWidth { 1 };
    Instant lastShortAt {};
    std::map<int64_t, Level> levels;
    std::map<Share, Guarantee> guarantees;
    std::map<Share, Counts> counts;
};

}
