#pragma once

#include "SimulatedHosts.h"
#include <set>

namespace Sassafrasshift::Ledger {

/// Draws what happens to the hosts of a group: power losses, cuts, lost disks, restarts, and replacements with and without notice,
/// one after the other and at once. Keeps account of the disks that may still be lost, and checks after each moment that any loss
/// of these leaves a group that elects a leader with all accepted commands once its hosts are back.
///
/// A lost disk, or a host that is gone for good, counts until its host or its successor has been back for the catch-up time, while no
/// more hosts than tolerated were lost. A host that is replaced as planned does not count, since its successor had that time before.
class LossSchedule {
public:
    static constexpr Milliseconds catchUpTime { 4000 };
    static constexpr Milliseconds recoveryTime { 12'000 };

    LossSchedule(uint64_t seed, size_t hostCount, size_t toleratedDiskLosses);

    /// Takes one random step, and lets some time pass.
    void step();
    /// Ends all faults, lets the recovery time pass, and checks that the hosts are the voters and have all accepted commands.
    void recoverAndVerify();

    /// The first violation, with the steps that led to it.
    [[nodiscard]] const std::optional<std::string>& violation() const { return this->firstViolation; }

private:
    // A host that is part of the installation, or was.
    struct Machine {
        /// Whether the host has been taken away for good.
        bool isGone { false };
        /// The number of the host that takes the place of one that is gone.
        std::optional<size_t> successor;
        /// Whether the loss of the disk counts, and for how long the host or its successor has been back.
        bool countsAsLost { false };
        Milliseconds backFor { 0 };
        /// Whether the host was asked to end for good, and whether all was calm since.
        bool isBeingReplaced { false };
        bool isCalm { true };
    };

    // What is on the disk of a host, as far as an election depends on it.
    struct Candidate {
        std::string identity;
        std::string host;
        Membership membership;
        bool standsForElection { false };
        Term lastTerm { 0 };
        Index lastIndex { 0 };
        bool hasAcceptedCommands { false };
    };

    void powerOff(size_t host);
    void loseDisk(size_t host);
    void takeAway(size_t host);
    void replaceAsPlanned();
    void restart(size_t host);
    void propose(size_t host);
    void startOne();

    void advance(Milliseconds);
    void settleReplacements();
    void updateAccount(Milliseconds elapsed);
    [[nodiscard]] size_t countedDiskLosses() const;
    /// The hosts that are down or cut off, without those whose loss counts as that of a disk.
    [[nodiscard]] size_t downCount() const;
    [[nodiscard]] bool isBack(size_t host) const;

    void checkAllowedLosses();
    [[nodiscard]] std::vector<Candidate> readDisks() const;
    /// The identities in a membership whose hosts are present under another identity, or would be after the loss of some disks.
    [[nodiscard]] static std::set<std::string> retiredIdentities(const Membership&, const std::vector<Candidate>&, const std::set<size_t>& lost);
    /// Describes what is wrong if the hosts of some candidates are lost; empty if nothing is.
    [[nodiscard]] std::string findFault(const std::vector<Candidate>&, const std::set<size_t>& lost) const;
    [[nodiscard]] std::string describe(const std::vector<Candidate>&) const;
    [[nodiscard]] std::string hostOf(const std::string& identity) const;
    [[nodiscard]] std::set<std::string> acceptedCommands() const;

    /// The numbers of the hosts that are part of the installation.
    [[nodiscard]] std::vector<size_t> present() const;
    [[nodiscard]] std::optional<size_t> drawRunning();
    [[nodiscard]] uint64_t randomBelow(uint64_t bound) { return this->random() % bound; }
    void note(const std::string& step);
    void fail(const std::string&);

    Random random;
    size_t toleratedDiskLosses;
    SimulatedHosts hosts;
    std::vector<Machine> machines;
    std::vector<std::shared_ptr<const Outcome>> outcomes;
    std::string steps;
    std::optional<std::string> firstViolation;
};

}
