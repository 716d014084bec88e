#pragma once

#include <LibBase/Clock.h>
#include <LibScheduler/HomeEvent.h>
#include <LibScheduler/PlacementRegistry.h>
#include <LibScheduler/RenewSubmissions.h>
#include <LibScheduler/TaskScheduler.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Decides, at the dispatcher that is the home of its entry hosts' jobs, which shard gets each of them: queues those that stay here, and
/// tells the entry host of each other one where to submit it. It performs no I/O.
class JobHome {
public:
    /// An answer, and the member that it is sent to: the entry host, or the dispatcher that has relayed its request.
    struct Answer {
        std::string to;
        Placement placement;
    };

    explicit JobHome(PlacementRegistry::Options);

    void begin(std::string shard, Instant now);
    void end();
    void setEntries(std::set<std::string> addresses) { this->registry.setEntries(std::move(addresses)); }
    /// Whether the list of entry hosts still matters: what a former home has decided may have an effect.
    [[nodiscard]] bool isNew(Instant now) const { return this->registry.isNew(now); }
    [[nodiscard]] bool isHomeOf(const std::string& entryShard) const { return this->registry.isHomeOf(entryShard); }

    /// Queues a job that was placed here, or decides about one that is to be placed. `from` is the entry host, or the dispatcher that has
    /// relayed its request. While it is not known what a former home has decided, the submission is held.
    void submit(TaskScheduler&, const std::string& from, const Submission&, Instant now);
    /// Withdraws a job. If nothing of it has run, its place is forgotten, too.
    void cancel(TaskScheduler&, const std::string& entry, const std::string& job, bool hasNotRun, Instant now);
    /// Returns the listed jobs that are unknown here.
    [[nodiscard]] std::vector<std::string> renew(TaskScheduler&, const std::string& entry, const RenewSubmissions&, Instant now);
    void tick(TaskScheduler&, Instant now);
    [[nodiscard]] std::vector<Answer> takeAnswers();
    /// Returns what has happened since the last call.
    [[nodiscard]] std::vector<HomeEvent> takeEvents();

private:
    struct HeldKey {
        std::string entry;
        std::string job;

        friend auto operator<=>(const HeldKey&, const HeldKey&) = default;
    };

    struct HeldSubmission {
        std::string from;
        Submission submission;
        Instant arrivedAt {};
        /// When the last message arrived that showed that the entry host still has the job here.
        Instant lastExtendedAt {};
    };

    void decide(TaskScheduler&, const std::string& from, const Submission&, Instant now);
    void hold(const std::string& from, const Submission&, Instant now);
    void decideHeld(TaskScheduler&, Instant now);
    void recordReadiness(Instant now);
    void recordRequest(const Placement&, const std::string& formerEntry, Instant now);

    PlacementRegistry registry;
    std::map<HeldKey, HeldSubmission> held;
    std::vector<Answer> answers;
    std::vector<HomeEvent> events;
    bool isReady { false };
    Instant nextCleanup {};
};

}
