#pragma once

#include <LibBase/Clock.h>
#include <LibScheduler/Dispatcher/HostSurvey.h>
#include <LibScheduler/Entry/DispatcherDirectory.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Tells when the home of its entry hosts' jobs may decide about them. Former homes, and one that does not know yet that it was replaced, may
/// have placed jobs that a new home does not know. It decides once the dispatchers of all other shards have told which jobs they have, and
/// accept no more from homes of lower terms. Besides, it needs to know the jobs of runs whose dispatcher was replaced: from the targets of all
/// shards, or from the entry hosts. It performs no I/O.
class HomeReadiness {
public:
    struct Options {
        /// How long runs may continue after the last message that extended them has left an entry host.
        Milliseconds longestRun { 1250 };
        /// A dispatcher or entry host counts as lost when nothing was heard of it for this long: its last message may have left a gossip
        /// round later.
        Milliseconds contactTimeout { 1500 };
        /// A home decides after this time although a host that is heard of does not answer it.
        Milliseconds longestWait { 5000 };
    };

    /// A member that the home waits for.
    struct Contact {
        std::string address;
        /// The time since the member's heartbeat last increased.
        Milliseconds sinceHeartbeat { 0 };

        friend auto operator<=>(const Contact&, const Contact&) = default;
    };

    explicit HomeReadiness(Options);

    /// Starts to wait in a new term. With a higher term of the same shard, other homes may have decided in between.
    void begin(std::string shard, uint64_t term, Instant now);
    void end();
    /// Replaces the lists of the dispatchers of other shards, and of the entry hosts whose jobs this home decides about.
    void setDispatchers(std::vector<Contact>);
    /// Sets whether each shard has a known dispatcher. The runs on the targets of one that has none are not known to anyone that can answer.
    void setHasAllDispatchers(bool hasAll) { this->hasAllDispatchers = hasAll; }
    void setEntries(std::vector<Contact>);

    /// Returns the dispatchers to ask now.
    [[nodiscard]] std::vector<std::string> takeDispatchersToAsk(Instant now) { return this->survey.takeHostsToAsk(now); }
    /// Records that a dispatcher has told which jobs it has, and whether it knows the runs on all of its targets; if not, it is asked again.
    void onAnswer(const std::string& dispatcher, bool knowsRuns);
    /// Records that an entry host has told which jobs it has.
    void onListed(const std::string& entry) { this->listedEntries.insert(entry); }
    /// Records that a home of that term is known. While it is higher than the own one, this home decides nothing.
    void observeTerm(uint64_t);
    /// Records whether all targets of the shard have accepted the fencing token of this term; to be called in each tick.
    void update(bool hasClaimedTargets, Instant now);

    [[nodiscard]] bool isReady() const { return this->readyCause.has_value() && !this->isSuperseded(); }
    [[nodiscard]] bool isSuperseded() const { return this->highestTerm > this->currentTerm; }
    [[nodiscard]] uint64_t term() const { return this->currentTerm; }
    [[nodiscard]] uint64_t highestKnownTerm() const { return this->highestTerm; }
    [[nodiscard]] Milliseconds sinceBegin(Instant now) const { return std::chrono::duration_cast<Milliseconds>(now - this->begunAt); }
    /// Whether all runs have ended that only an earlier dispatcher of this shard knew of.
    [[nodiscard]] bool haveUnknownRunsEnded(Instant now) const { return now - this->begunAt >= this->options.longestRun; }
    /// What ended the wait; the spelling is stable.
    [[nodiscard]] std::string_view cause() const { return this->readyCause.value_or(std::string_view()); }
    /// The dispatchers that have not answered, and the entry hosts that have not told which jobs they have.
    [[nodiscard]] std::vector<std::string> unheard() const;

private:
    [[nodiscard]] std::optional<std::string_view> findCause(bool hasClaimedTargets, Instant now) const;
    [[nodiscard]] bool areRunsKnown() const;

    Options options;
    std::string shard;
    uint64_t currentTerm { 0 };
    uint64_t highestTerm { 0 };
    Instant begunAt {};
    HostSurvey survey;
    bool hasAllDispatchers { true };
    std::vector<Contact> dispatchers;
    std::vector<Contact> entries;
    /// The dispatchers that have answered, and the entry hosts that have told which jobs they have.
    std::set<std::string> answeredDispatchers;
    std::set<std::string> listedEntries;
    std::optional<std::string_view> readyCause;
};

}
