#pragma once

#include <LibBase/Random.h>
#include <LibDispatch/JobRunner.h>
#include <LibDurableState/DurableState.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace Sassafrasshift::Dispatch {

/// A mistake that is made on purpose, to show that the checks catch it.
enum class JobMistake {
    None,
    /// A task is sent when its attempt is proposed, not when it is recorded.
    SendBeforeRecording,
    /// A worker forgets that it has said of an attempt that it never started.
    ForgottenRefusal,
    /// A refusal is told to the caller without asking the ledger.
    RefusalWithoutLedger,
};

/// Runs one job through several owners that fail, with messages that are delayed and lost, a ledger, and workers that
/// start tasks. One seed gives one schedule; the checks run at every start and every answer.
class SimulatedJobs {
public:
    SimulatedJobs(uint64_t seed, JobMistake);

    void step();
    /// Ends the faults and checks that the job comes to an outcome, if it was accepted.
    void settle();

    [[nodiscard]] const std::optional<std::string>& violation() const { return this->firstViolation; }
    [[nodiscard]] bool isComplete() const { return this->sawComplete; }

private:
    struct Owner {
        std::string host;
        std::string incarnation;
        std::unique_ptr<JobRunner> runner;
        /// Tells one runner from the next, also where both lie at the same address.
        uint64_t generation { 0 };
    };

    struct Worker {
        std::string incarnation;
        std::map<std::pair<uint32_t, uint32_t>, std::string> attempts;
        std::set<std::pair<uint32_t, uint32_t>> refused;
        uint64_t highestEpoch { 0 };
    };

    void setRunner(Owner&, std::unique_ptr<JobRunner>);
    void submit(Owner&);
    void pump(Owner&);
    void carryOut(Owner&, const JobCommand&);
    void startTask(Owner&, const DurableState::Intent&);
    void resolve(Owner&, const DurableState::Intent&);
    void crash(Owner&);
    void superviseLedger();
    /// Calls a function at some later step, or never.
    void later(std::function<void()>, bool mayBeLost = true);
    void toOwner(Owner&, std::function<void(JobRunner&)>, bool mayBeLost = true);
    DurableState::JobUpdateResult apply(const DurableState::Command&);
    void fail(std::string);
    [[nodiscard]] uint64_t draw(uint64_t bound) { return this->random() % bound; }
    [[nodiscard]] JobContent makeContent() const;
    [[nodiscard]] int64_t milliseconds() const { return toUnixMilliseconds(this->clock.wallNow()); }

    Random random;
    JobMistake mistake;
    ManualClock clock;
    DurableState::DurableState ledger { std::chrono::hours(1), {} };
    std::vector<Owner> owners;
    std::vector<Worker> workers;
    std::vector<std::function<void()>> pending;
    std::map<uint32_t, int> starts;
    std::optional<std::string> firstViolation;
    bool calm { false };
    bool sawComplete { false };
    bool refusedForGood { false };
    uint64_t nextIncarnation { 1 };
    uint64_t nextGrant { 1 };
};

}
