#pragma once

#include "SimulatedTargets.h"
#include <LibScheduler/Dispatcher/EntryInbox.h>
#include <LibScheduler/Entry/ClockEchoes.h>
#include <LibScheduler/Entry/JobOwner.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Simulates entry hosts, the dispatchers of several shards, and their targets, with one simulated clock. Links can be cut in each
/// direction separately, processes can be paused, dispatchers can be replaced, and entry hosts can be killed.
class SimulatedShards {
public:
    /// A shard has up to two dispatchers at once, on different hosts. Unless a test says otherwise, it has the first one, and all members
    /// see it at once.
    enum class Role {
        First,
        Second,
    };

    SimulatedShards(size_t shards, size_t targetsPerShard, unsigned seed, size_t entries = 1);

    /// Cuts the link from one process to another. Dispatchers are named by their addresses, targets by their identities.
    void cutLink(const std::string& from, const std::string& to) { this->cutLinks.insert({ from, to }); }
    void restoreAllLinks() { this->cutLinks.clear(); }
    void pauseProcess(const std::string& process, Milliseconds);
    /// From now on, the messages of the entry hosts to a dispatcher take this long.
    void delayMessagesTo(const std::string& dispatcher, Milliseconds delay) { this->transitDelays[dispatcher] = delay; }
    /// The entry host stands still for this long after it has read the clock in its next tick, before it sends anything.
    void haltEntryWithinTick(Milliseconds duration, size_t number = 0) { this->entries[number].haltWithinTick = duration; }
    /// The dispatcher stands still for this long after it has read the clock for the next message of an entry host.
    void haltDispatcherWithinMessage(const std::string& dispatcher, Milliseconds duration) { this->haltsWithinMessage[dispatcher] = duration; }
    /// Ends the dispatcher of a shard, and starts another one after the delay.
    void replaceDispatcher(size_t shard, Milliseconds delay);
    /// Like replaceDispatcher(), but on a host whose process has just started, and has received no messages yet.
    void replaceDispatcherHost(size_t shard, Milliseconds delay);
    /// The host in that role claims the shard, with a fencing token above all others of the shard. Nobody learns of the claim yet; the other
    /// dispatcher goes on until it does.
    void claim(size_t shard, Role);
    /// Like claim(), but with a token below that of the other dispatcher.
    void claimBelow(size_t shard, Role);
    /// After the delay, a member takes the host in that role for the dispatcher of the shard. A member that dispatches the shard itself, in
    /// the other role, stops.
    void setView(const std::string& member, size_t shard, Role, Milliseconds delay);
    /// From now on, a member learns nothing of another one. Their links are not cut.
    void hideMember(const std::string& observer, const std::string& member) { this->hiddenSince.try_emplace({ observer, member }, this->now); }
    void showAllMembers() { this->hiddenSince.clear(); }
    /// All members learn of the dispatcher with the highest claim to the shard, each within the time given.
    void announceHighestClaim(size_t shard, Milliseconds maximumDelay);
    [[nodiscard]] std::string dispatcherOf(size_t shard, Role role) const { return this->dispatcher(shard, role).address; }
    [[nodiscard]] bool isDispatching(size_t shard, Role role) const { return isActive(this->dispatcher(shard, role)); }
    [[nodiscard]] uint64_t fenceOf(size_t shard, Role role) const { return this->dispatcher(shard, role).fence; }
    /// Tells the dispatcher of a shard that the failure domain of all its targets is evacuated.
    void evacuate(size_t shard)
    {
        const std::set<std::string> domains { "" };
        this->shards[shard].scheduler->setEvacuatedDomains(&domains);
    }
    /// Ends an entry host, and starts another process there after the delay. Its callers submit their open jobs again through the
    /// next entry host, `callerRetryDelay` after the loss of their connections.
    void killEntry(size_t entry, Milliseconds restartDelay);
    /// Closes the connections of all callers of an entry host, which goes on. It sees that after the delay, and only while it is not
    /// paused. The callers submit their open jobs again as after its end.
    void loseCallers(size_t entry, Milliseconds detectionDelay);
    /// Closes the connection of the caller of a job, which submits the job again after the delay, through another entry host. The first
    /// one sees the loss after its delay, and only while it is not paused; never if none is given.
    void moveCaller(const std::string& job, size_t nextEntry, Milliseconds retryDelay, std::optional<Milliseconds> detectionDelay);
    /// From now on, messages from one process to another take this much longer. To be called before any message was sent.
    void delayLink(const std::string& from, const std::string& to, Milliseconds delay) { this->linkDelays[{ from, to }] = delay; }
    void submit(const Submission&, size_t entry = 0);
    void run(Milliseconds);

    [[nodiscard]] std::string dispatcherOf(size_t shard) const { return this->shards[shard].address; }
    [[nodiscard]] std::string nameOfEntry(size_t number) const { return this->entries[number].name; }
    /// The entry host to which the caller of a job is connected, if it is.
    [[nodiscard]] std::optional<size_t> entryOfCaller(const std::string& job) const;
    /// The number of jobs whose callers have no answer yet, or are to submit them again.
    [[nodiscard]] size_t waitingCallers() const { return this->entryByJob.size() + this->resubmissions; }
    /// The jobs of which a task has had two runs at once.
    [[nodiscard]] const std::set<std::string>& jobsRunTwice() const { return this->jobsSeenTwice; }
    [[nodiscard]] const JobOwner::Answer* answer(const std::string& job) const;
    [[nodiscard]] size_t maximumConcurrentRuns() const { return this->maximumRunsSeen; }
    [[nodiscard]] bool anyOvercommitted() const { return Scheduler::anyOvercommitted(this->targets); }
    /// The number of runs that have started on the targets of a shard.
    [[nodiscard]] uint64_t startsOn(size_t shard) const;

    Instant now { std::chrono::hours(1) };
    SimulatedTargets targets;
    Milliseconds runTime { 100 };
    /// Whether callers submit a job again that was answered as unknown.
    bool callersRetryUnknownJobs { false };
    /// Whether entry hosts echo the clocks of dispatchers; those of earlier versions do not.
    bool echoesClocks { true };
    /// Whether callers submit jobs again through an entry host of the same shard, not through the next one.
    bool callersStayInShard { false };
    /// How many stop orders are executed 2 to 12 s late or never, in percent.
    unsigned delayedStopPercent { 0 };
    unsigned lostStopPercent { 0 };

    /// The names of the entry hosts.
    static constexpr const char* entry = "entry";
    static constexpr const char* secondEntry = "entry-1";
    static constexpr Milliseconds callerRetryDelay { 1300 };

private:
    struct Entry {
        std::string name;
        /// Null while the process is not running.
        std::unique_ptr<JobOwner> owner;
        uint64_t incarnation { 1 };
        Instant startsAt {};
        Instant nextGossip {};
        Milliseconds haltWithinTick { 0 };
        ClockEchoes clockEchoes {};
    };

    /// A dispatcher of a shard.
    struct Shard {
        size_t number { 0 };
        Role role { Role::First };
        std::string name;
        std::string address;
        std::unique_ptr<TaskScheduler> scheduler;
        /// Of the host that runs all dispatchers of the shard.
        EntryInbox inbox { JobOwner::Options {}.scheduler.maximumTransitTime, 1 };
        uint64_t hostIncarnation { 1 };
        Instant nextClock {};
        JobHome home { PlacementRegistry::Options {} };
        std::vector<std::string> targets;
        uint64_t fence { 0 };
        uint32_t generation { 0 };
        Instant startsAt {};
        Instant nextRaise {};
        uint64_t raiseStep { 1 };
    };

    [[nodiscard]] static bool isActive(const Shard& shard) { return shard.scheduler && shard.scheduler->isActive(); }
    [[nodiscard]] const Shard& dispatcher(size_t shard, Role role) const { return role == Role::First ? this->shards[shard] : this->seconds[shard]; }
    [[nodiscard]] Shard& dispatcher(size_t shard, Role role) { return role == Role::First ? this->shards[shard] : this->seconds[shard]; }
    /// The dispatcher of a shard that a member takes for it; null if there is none.
    [[nodiscard]] const Shard* dispatcherSeenBy(const std::string& member, size_t shard) const;
    [[nodiscard]] Milliseconds sinceHeartbeat(const std::string& observer, const std::string& member) const;
    [[nodiscard]] uint64_t highestFence(size_t shard) const;
    void claimWith(Shard&, uint64_t fence);
    void observeTerms(Shard&);
    void raiseTermIfOutranked(Shard&);
    [[nodiscard]] bool isCut(const std::string& from, const std::string& to) const { return this->cutLinks.contains({ from, to }); }
    void schedule(Instant, std::function<void()>);
    /// Executes the function at the receiving process when a message arrives there; never if the message is lost.
    void deliver(const std::string& from, const std::string& to, Instant sentAt, std::function<void()>);
    /// Executes the function at a process, after the end of its pause if it is paused.
    void runWhenResumed(const std::string& process, std::function<void()>);
    [[nodiscard]] Shard* find(const std::string& address);
    [[nodiscard]] bool detectPause(const std::string& process);
    /// Called before the entry host or a dispatcher does anything: notifies it of a pause, if it was paused.
    Entry* activateEntry(size_t number, uint64_t incarnation);
    Shard* activateShard(const std::string& address);
    void startDispatcher(Shard&);
    void startEntry(Entry&);
    void submitAgain(const std::string& job, size_t entry);
    void recordConcurrentRuns();
    void sendGossip(Entry&);
    void sendClock(Shard&);
    [[nodiscard]] ClockEcho echoFor(const Entry&, const std::string& dispatcher, Milliseconds::rep sentAt) const;
    void tickEntry(size_t number);
    void executeEntryEffects(size_t number);
    [[nodiscard]] Milliseconds transitDelay(const std::string& dispatcher) const;
    [[nodiscard]] Milliseconds linkDelay(const std::string& from, const std::string& to) const;
    void sendPlacement(const std::string& from, const std::string& to, const Placement&);
    void submitTo(Shard&, const std::string& from, const Submission&, Instant receivedAt);
    [[nodiscard]] std::vector<HomeReadiness::Contact> entriesOf(const Shard&) const;
    [[nodiscard]] std::vector<HomeReadiness::Contact> otherDispatchers(const Shard&) const;
    void askDispatchers(Shard&);
    void haltWithinMessage(Shard&, std::function<void(Shard&, Instant now)>);
    void recordAnswer(const JobOwner::Answer&, size_t entry);
    [[nodiscard]] std::optional<Milliseconds> drawStopDelay();
    void executeEffects(Shard&);
    void tickShard(Shard&);
    void step();

    std::mt19937 random;
    std::vector<Entry> entries;
    std::vector<Shard> shards;
    std::vector<Shard> seconds;
    std::map<std::pair<std::string, size_t>, Role> views;
    std::map<std::pair<std::string, std::string>, Instant> hiddenSince;
    std::set<std::pair<std::string, std::string>> cutLinks;
    std::map<std::string, Instant> pausedUntil;
    std::map<std::string, Milliseconds> transitDelays;
    std::map<std::pair<std::string, std::string>, Milliseconds> linkDelays;
    std::map<std::string, Milliseconds> haltsWithinMessage;
    std::map<std::string, Instant> lastActive;
    std::multimap<Instant, std::function<void()>> events;
    std::map<std::string, Submission> submissions;
    std::map<std::string, JobOwner::Answer> answersByJob;
    /// The entry host to which the caller of each open job is connected.
    std::map<std::string, size_t> entryByJob;
    /// The number of callers that are to submit their jobs again.
    size_t resubmissions { 0 };
    size_t maximumRunsSeen { 0 };
    std::set<std::string> jobsSeenTwice;
};

}
