#pragma once

#include "SimulatedTargets.h"
#include <LibScheduler/JobOwner.h>
#include <LibScheduler/TransitTimes.h>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Simulates an entry host, the dispatchers of several shards, and their targets, with one simulated clock. Links can be cut in
/// each direction separately, processes can be paused, and dispatchers can be replaced.
class SimulatedShards {
public:
    SimulatedShards(size_t shards, size_t targetsPerShard, unsigned seed);

    /// Cuts the link from one process to another. Dispatchers are named by their addresses, targets by their identities.
    void cutLink(const std::string& from, const std::string& to) { this->cutLinks.insert({ from, to }); }
    void restoreAllLinks() { this->cutLinks.clear(); }
    void pauseProcess(const std::string& process, Milliseconds);
    /// Ends the dispatcher of a shard, and starts another one after the delay.
    void replaceDispatcher(size_t shard, Milliseconds delay);
    void submit(const Submission&);
    void run(Milliseconds);

    [[nodiscard]] std::string dispatcherOf(size_t shard) const { return this->shards[shard].address; }
    [[nodiscard]] const JobOwner::Answer* answer(const std::string& job) const;
    [[nodiscard]] size_t maximumConcurrentRuns() const { return this->maximumRunsSeen; }
    [[nodiscard]] bool anyOvercommitted() const { return Scheduler::anyOvercommitted(this->targets); }
    /// The number of runs that have started on the targets of a shard.
    [[nodiscard]] uint64_t startsOn(size_t shard) const;

    Instant now { std::chrono::hours(1) };
    JobOwner owner;
    SimulatedTargets targets;
    Milliseconds runTime { 100 };

    static constexpr const char* entry = "entry";

private:
    struct Shard {
        std::string name;
        std::string address;
        std::unique_ptr<TaskScheduler> scheduler;
        std::unique_ptr<TransitTimes> transitTimes;
        std::vector<std::string> targets;
        uint64_t fence { 0 };
        uint32_t generation { 0 };
        Instant startsAt {};
    };

    [[nodiscard]] bool isCut(const std::string& from, const std::string& to) const { return this->cutLinks.contains({ from, to }); }
    void schedule(Instant, std::function<void()>);
    /// Executes the function at the receiving process when a message arrives there; never if the message is lost.
    void deliver(const std::string& from, const std::string& to, Instant sentAt, std::function<void()>);
    /// Executes the function at a process, after the end of its pause if it is paused.
    void runWhenResumed(const std::string& process, std::function<void()>);
    [[nodiscard]] Shard* find(const std::string& address);
    [[nodiscard]] bool detectPause(const std::string& process);
    /// Called before the entry host or a dispatcher does anything: notifies it of a pause, if it was paused.
    void activateEntry();
    Shard* activateShard(const std::string& address);
    void startDispatcher(Shard&);
    void executeEntryEffects();
    void executeEffects(Shard&);
    void tickShard(Shard&);
    void step();

    std::mt19937 random;
    std::vector<Shard> shards;
    std::set<std::pair<std::string, std::string>> cutLinks;
    std::map<std::string, Instant> pausedUntil;
    std::map<std::string, Instant> lastActive;
    std::multimap<Instant, std::function<void()>> events;
    std::map<std::string, Submission> submissions;
    std::map<std::string, JobOwner::Answer> answersByJob;
    size_t maximumRunsSeen { 0 };
};

}
