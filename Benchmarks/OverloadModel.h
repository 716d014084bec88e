#pragma once

#include <LibScheduler/Dispatcher/AdmissionController.h>
#include <LibScheduler/Dispatcher/LoadMonitor.h>
#include <LibScheduler/Entry/LocalAdmission.h>
#include <deque>
#include <map>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// A dispatcher with little CPU time and its entry hosts, on a fake clock: each message costs the dispatcher CPU time, and what arrives
/// while it is busy waits. Submissions that have waited for too long are ignored and sent again, as by JobOwner.
class OverloadModel {
public:
    struct Options {
        bool controlsAdmission { true };
        /// The CPU time of the dispatcher, in cores.
        double cores { 0.12 };
        /// The period of the CPU quota: once its share is used up, the process is stopped until the next one.
        Milliseconds quotaPeriod { 100 };
        size_t entries { 42 };
    };

    struct Result {
        size_t offered { 0 };
        size_t served { 0 };
        size_t refusedLocally { 0 };
        size_t refusedByDispatcher { 0 };
        /// Jobs that had no end within their time.
        size_t unanswered { 0 };
        /// The longest time until a refusal.
        Milliseconds longestRefusal { 0 };
        Milliseconds longestLag { 0 };
    };

    explicit OverloadModel(Options);

    /// Offers a multiple of the jobs that the dispatcher can handle, for some time. Returns what becomes of these jobs, which later calls
    /// complete.
    const Result& run(double load, Milliseconds duration);
    /// Stops the dispatcher for some time.
    void pause(Milliseconds);
    [[nodiscard]] const AdmissionLevel& level() const { return this->controller.level(); }

private:
    using Micros = std::chrono::microseconds;

    struct Job {
        Instant arrivedAt {};
        Instant sentAt {};
        size_t entry { 0 };
        int64_t priority { 0 };
        std::string name;
        Result* result { nullptr };
    };

    enum class Kind {
        Renewal,
        Submission,
        TargetAnswer,
    };

    struct Message {
        Kind kind { Kind::Renewal };
        Job job {};
        size_t answersLeft { 0 };
    };

    void arrive(Job);
    void handle(const Message&);
    void handleSubmission(const Job&);
    void spend(Micros cpuTime);
    void advance(double load, Instant until, Result&);
    void refuse(const Job&);

    Options options;
    Instant now { std::chrono::hours(1) };
    Instant quotaBegin { this->now };
    Micros quotaUsed { 0 };
    Instant nextTick { this->now };
    Instant nextRenewal { this->now };
    double arrivalCredit { 0 };
    Instant lastArrivals { this->now };
    size_t arrivals { 0 };
    std::multimap<Instant, Message> inTransit;
    LoadMonitor monitor { LoadMonitor::Options {} };
    AdmissionController controller { AdmissionController::Options {} };
    std::vector<LocalAdmission> known;
    std::deque<Result> results;
};

}
