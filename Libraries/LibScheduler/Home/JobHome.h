#pragma once

#include <LibBase/Clock.h>
#include <LibScheduler/Dispatcher/RenewSubmissions.h>
#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <LibScheduler/Home/HomeEvent.h>
#include <LibScheduler/Home/HomeReadiness.h>
#include <LibScheduler/Home/HomeTerms.h>
#include <LibScheduler/Home/PlacedJobs.h>
#include <LibScheduler/Home/PlacementRegistry.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Decides, at the dispatcher that is the home of its entry hosts' jobs, which shard gets each of them: queues those that stay here, and
/// tells the entry host of each other one where to submit it. For the homes of other shards, it tells which of their jobs are here, and
/// refuses what homes of lower terms have placed here. It performs no I/O.
class JobHome {
public:
    /// An answer, and the member that it is sent to: the entry host, or the dispatcher that has relayed its request.
    struct Answer {
        std::string to;
        Placement placement;
    };

    /// A question to the dispatcher of another shard.
    struct Question {
        std::string to;
        PlacedJobsRequest request;
    };

    explicit JobHome(PlacementRegistry::Options, HomeReadiness::Options = {});

    /// Starts deciding for a shard, or goes on in a higher term.
    void begin(std::string shard, uint64_t term, Instant now);
    void end();
    /// Replaces the lists of the members that a new home waits for; see HomeReadiness.
    void setEntries(std::vector<HomeReadiness::Contact> contacts) { this->readiness.setEntries(std::move(contacts)); }
    void setDispatchers(std::vector<HomeReadiness::Contact> contacts) { this->readiness.setDispatchers(std::move(contacts)); }
    void setHasAllDispatchers(bool hasAll) { this->readiness.setHasAllDispatchers(hasAll); }
    /// Records the term of the home of any shard, as far as it is known from the members.
    void observeTerm(const std::string& homeShard, uint64_t term);
    [[nodiscard]] const HomeReadiness& state() const { return this->readiness; }
    [[nodiscard]] bool isHomeOf(const std::string& entryShard) const { return this->registry.isHomeOf(entryShard); }

    /// Queues a job that was placed here, or decides about one that is to be placed. `from` is the entry host, or the dispatcher that has
    /// relayed its request. While it is not known what a former home has decided, the submission is held. `leaseAge` is what is used up of the
    /// entry lease already.
    void submit(TaskScheduler&, const std::string& from, const Submission&, Instant now, Milliseconds leaseAge = Milliseconds(0));
    /// Whether a submission from its entry host is the first one of its job as far as is known here, so that it can be refused as not run
    /// without any record.
    [[nodiscard]] bool isFirst(const TaskScheduler&, const std::string& from, const Submission&) const;
    /// Withdraws a job. If nothing of it has run, its place is forgotten, too.
    void cancel(TaskScheduler&, const std::string& entry, const std::string& job, bool hasNotRun, Instant now);
    /// Returns the listed jobs that are unknown here.
    [[nodiscard]] std::vector<std::string> renew(TaskScheduler&, const std::string& entry, const RenewSubmissions&, Instant now, Milliseconds leaseAge = Milliseconds(0));
    /// Those of the jobs of which something may have been started, here or in another shard.
    [[nodiscard]] std::vector<std::string> withRecords(const TaskScheduler&, const std::vector<std::string>& jobs) const;
    /// Answers the home of another shard, unless no scheduler is active here.
    [[nodiscard]] std::optional<PlacedJobsResponse> onPlacedJobsRequest(const TaskScheduler&, const PlacedJobsRequest&, Instant now);
    void onPlacedJobsResponse(const std::string& from, const PlacedJobsResponse&, Instant now);
    void tick(TaskScheduler&, Instant now);
    [[nodiscard]] std::vector<Question> takeQuestions(Instant now);
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
        Milliseconds leaseAge { 0 };
    };

    [[nodiscard]] bool canDecide(const TaskScheduler&, const Submission&) const;
    void decide(TaskScheduler&, const std::string& from, const Submission&, Instant now, Milliseconds leaseAge);
    void hold(const std::string& from, const Submission&, Instant now, Milliseconds leaseAge);
    void decideHeld(TaskScheduler&);
    void recordReadiness(Instant now);
    void recordRefusal(const Placement&, Instant now);
    void recordRequest(const Placement&, const std::string& formerEntry, Instant now);

    PlacementRegistry registry;
    HomeReadiness readiness;
    HomeTerms terms;
    std::map<HeldKey, HeldSubmission> held;
    std::vector<Answer> answers;
    /// The jobs that other shards have, and that may be queued here from an earlier term.
    std::vector<std::string> placedElsewhere;
    std::vector<HomeEvent> events;
    bool hasRecordedReadiness { false };
    Instant nextCleanup {};
};

}
