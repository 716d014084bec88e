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
enum class InjectedBug {
    None,
    /// A task is sent when its attempt is proposed, not when it is recorded.
    SendBeforeRecording,
    /// A worker forgets that it has said of an attempt that it never started.
    ForgetRefusal,
    /// A refusal is told to the caller without asking the ledger.
    RefuseWithoutLedger,
};

/// Runs one job through several owners that fail, with messages that are delayed and lost, a ledger, and workers that
/// start tasks. One seed gives one schedule; the checks run at every start and every answer.
class SimulatedJobs {
public:
    SimulatedJobs(uint64_t seed, InjectedBug);

    void step();
    /// Ends the faults and checks that the job comes to an outcome, if it was accepted.
    void runToCompletion();

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
    void executeCommands(Owner&);
    void execute(Owner&, const JobCommand&);
    void startTask(Owner&, const DurableState::Intent&);
    void resolve(Owner&, const DurableState::Intent&);
    void crash(Owner&);
    void superviseOwners();
    /// Calls a function at some later step, or never.
    void schedule(std::function<void()>, bool mayBeLost = true);
    void deliverToOwner(Owner&, std::function<void(JobRunner&)>, bool mayBeLost = true);
    DurableState::JobUpdateResult apply(const DurableState::Command&);
    void fail(std::string);
    [[nodiscard]] uint64_t randomBelow(uint64_t bound) { return this->random() % bound; }
    [[nodiscard]] JobContent makeContent() const;
    [[nodiscard]] int64_t milliseconds() const { return unixMilliseconds(this->clock.wallNow()); }

    Random random;
    InjectedBug bug;
    ManualClock clock;
    DurableState::DurableState ledger { std::chrono::hours(1), {} };
    std::vector<Owner> owners;
    std::vector<Worker> workers;
    std::vector<std::function<void()>> pending;
    std::map<uint32_t, int> startsByTask;
    std::optional<std::string> firstViolation;
    bool faultsDisabled { false };
    bool sawComplete { false };
    bool reportedAsNotRun { false };
    uint64_t nextIncarnation { 1 };
    uint64_t nextGrant { 1 };
};

}
