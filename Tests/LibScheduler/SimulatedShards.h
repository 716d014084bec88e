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

/// An entry, the dispatchers of some shards, and their targets, under one simulated clock. Links can be cut in each
/// direction, and processes stand still or end.
class SimulatedShards {
public:
    SimulatedShards(size_t shards, size_t targetsPerShard, unsigned seed);

    /// Between one process and another; targets are named by their identities.
    void cut(const std::string& from, const std::string& to) { this->cuts.insert({ from, to }); }
    void healAll() { this->cuts.clear(); }
    void freeze(const std::string& process, Milliseconds);
    /// The dispatcher of a shard ends; another one follows it after some time.
    void replaceDispatcher(size_t shard, Milliseconds until);
    void submit(const Submission&);
    void run(Milliseconds);

    [[nodiscard]] std::string dispatcherOf(size_t shard) const { return this->shards[shard].address; }
    [[nodiscard]] const JobOwner::Answer* answer(const std::string& job) const;
    [[nodiscard]] size_t maximumConcurrentRuns() const { return this->maximumRunsSeen; }
    [[nodiscard]] bool anyOvercommitted() const { return Scheduler::anyOvercommitted(this->targets); }
    /// How many runs have begun on the targets of a shard.
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
        std::unique_ptr<TransitTimes> transit;
        std::vector<std::string> targets;
        uint64_t fence { 0 };
        uint32_t generation { 0 };
        Instant startsAt {};
    };

    [[nodiscard]] bool isCut(const std::string& from, const std::string& to) const { return this->cuts.contains({ from, to }); }
    void at(Instant, std::function<void()>);
    /// Calls a function at the process that a message reaches, or never.
    void deliver(const std::string& from, const std::string& to, Instant sentAt, std::function<void()>);
    /// Calls a function at a process once it does not stand still.
    void runUnlessFrozen(const std::string& process, std::function<void()>);
    [[nodiscard]] Shard* find(const std::string& address);
    [[nodiscard]] bool detectPause(const std::string& process);
    void activateEntry();
    Shard* activateShard(const std::string& address);
    void startDispatcher(Shard&);
    void carryOutEntry();
    void carryOut(Shard&);
    void tickShard(Shard&);
    void step();

    std::mt19937 random;
    std::vector<Shard> shards;
    std::set<std::pair<std::string, std::string>> cuts;
    std::map<std::string, Instant> frozenUntil;
    std::map<std::string, Instant> lastActive;
    std::multimap<Instant, std::function<void()>> events;
    std::map<std::string, Submission> submissions;
    std::map<std::string, JobOwner::Answer> answersByJob;
    size_t maximumRunsSeen { 0 };
};

}
