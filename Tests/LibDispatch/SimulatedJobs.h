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

/// A bug that the simulation injects to show that its checks detect it.
enum class InjectedBug {
    None,
    /// A task is sent as soon as its attempt is proposed, instead of after the attempt is recorded.
    SendBeforeRecording,
    /// A worker does not remember the attempts that it has reported as never started.
    ForgetRefusal,
    /// A caller gets a refusal that the ledger has not recorded.
    RefuseWithoutLedger,
};

/// Simulates one job with a ledger, workers that start its tasks, and several owner hosts that crash, while messages are
/// delayed and lost. A seed determines the schedule. The checks run at every task start and every answer to a caller.
class SimulatedJobs {
public:
    SimulatedJobs(uint64_t seed, InjectedBug);

    void step();
    /// Disables the faults and checks that the job reaches an outcome if it was accepted.
    void runToCompletion();

    [[nodiscard]] const std::optional<std::string>& violation() const { return this->firstViolation; }
    [[nodiscard]] bool isComplete() const { return this->sawComplete; }

private:
    struct Owner {
        std::string host;
        std::string incarnation;
        std::unique_ptr<JobRunner> runner;
        /// Distinguishes successive runners, which may be allocated at the same address.
        uint64_t generation { 0 };
    };

    struct Worker {
        std::string incarnation;
        /// The answers of the attempts that this worker has started, by task and attempt number.
        std::map<std::pair<uint32_t, uint32_t>, std::string> attempts;
        /// The attempts that this worker refuses to start.
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
    /// Queues a function that a later step calls. With `mayBeLost` it may be dropped, like a lost message.
    void schedule(std::function<void()>, bool mayBeLost = true);
    void deliverToOwner(Owner&, std::function<void(JobRunner&)>, bool mayBeLost = true);
    DurableState::JobUpdateResult apply(const DurableState::Command&);
    void fail(std::string);
    [[nodiscard]] uint64_t randomBelow(uint64_t bound) { return this->random() % bound; }
    [[nodiscard]] JobContent makeContent() const;
    [[nodiscard]] int64_t milliseconds() const { return toUnixMilliseconds(this->clock.wallNow()); }

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
