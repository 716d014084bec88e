#include "LossSchedule.h"
#include <LibLedger/ReplicaLog.h>
#include <LibLedger/VoterQuorum.h>
#include <algorithm>

namespace Sassafrasshift::Ledger {

using namespace std::chrono_literals;

static constexpr Milliseconds timeSlice { 100 };
static constexpr size_t maximumReplacementsAtOnce = 3;

LossSchedule::LossSchedule(uint64_t seed, size_t hostCount, size_t toleratedDiskLosses)
    : random(seed)
    , toleratedDiskLosses(toleratedDiskLosses)
    , hosts(seed, hostCount, toleratedDiskLosses)
    , machines(hostCount)
{
    this->advance(3s);
}

void LossSchedule::note(const std::string& step)
{
    auto milliseconds = std::chrono::duration_cast<Milliseconds>(this->hosts.now().time_since_epoch()).count();
    this->steps += "\n  " + std::to_string(milliseconds) + " ms: " + step;
}

void LossSchedule::fail(const std::string& violation)
{
    if (this->firstViolation)
        return;
    this->note(violation);
    this->firstViolation = this->steps;
}

std::vector<size_t> LossSchedule::present() const
{
    std::vector<size_t> result;
    for (size_t host = 0; host < this->machines.size(); ++host) {
        if (!this->machines[host].isGone)
            result.push_back(host);
    }
    return result;
}

std::optional<size_t> LossSchedule::drawRunning()
{
    auto running = this->present();
    std::erase_if(running, [this](size_t host) { return !this->hosts.isRunning(host) || this->machines[host].isBeingReplaced; });
    if (running.empty())
        return std::nullopt;
    return running[this->randomBelow(running.size())];
}

void LossSchedule::step()
{
    auto choice = this->randomBelow(100);
    auto host = this->drawRunning();
    bool mayLoseDisk = this->countedDiskLosses() < this->toleratedDiskLosses;
    if (choice < 30) {
        this->startOne();
    } else if (choice < 45 && host) {
        this->propose(*host);
    } else if (choice < 57 && host) {
        this->powerOff(*host);
    } else if (choice < 64 && host) {
        this->hosts.setCutOff(*host, true);
        this->note("cut off " + std::to_string(*host));
    } else if (choice < 74 && host) {
        this->restart(*host);
    } else if (choice < 82 && host && mayLoseDisk) {
        this->loseDisk(*host);
    } else if (choice < 88 && host && mayLoseDisk) {
        this->takeAway(*host);
    } else if (choice < 97) {
        this->replaceAsPlanned();
    } else if (choice < 99) {
        for (auto each : this->present())
            this->powerOff(each);
    }
    this->advance(Milliseconds(100 + this->randomBelow(2500)));
}

void LossSchedule::powerOff(size_t host)
{
    this->hosts.stop(host);
    this->note("power off " + std::to_string(host));
}

void LossSchedule::loseDisk(size_t host)
{
    this->hosts.stop(host);
    this->hosts.loseDisk(host);
    this->machines[host].countsAsLost = true;
    this->machines[host].backFor = 0ms;
    this->note("disk of " + std::to_string(host) + " is lost");
}

void LossSchedule::takeAway(size_t host)
{
    this->hosts.stop(host);
    auto successor = this->hosts.addHost();
    this->machines.emplace_back();
    this->machines[host].isGone = true;
    this->machines[host].countsAsLost = true;
    this->machines[host].successor = successor;
    this->machines[host].backFor = 0ms;
    this->note(std::to_string(host) + " is gone, " + std::to_string(successor) + " takes its place");
}

// Hosts are replaced as planned only while none is lost or about to end.
void LossSchedule::replaceAsPlanned()
{
    auto hosts = this->present();
    bool isAnyEnding = std::any_of(hosts.begin(), hosts.end(), [this](size_t host) { return this->hosts.isEnding(host); });
    if (isAnyEnding || this->downCount() > 0 || this->countedDiskLosses() > 0)
        return;
    std::set<size_t> replaced;
    for (auto count = 1 + this->randomBelow(maximumReplacementsAtOnce); count > 0; --count) {
        if (auto host = this->drawRunning())
            replaced.insert(*host);
    }
    for (auto host : replaced) {
        auto successor = this->hosts.addHost();
        this->machines.emplace_back();
        this->machines[host].successor = successor;
        this->hosts.start(successor);
        this->note("start " + std::to_string(successor) + " in the place of " + std::to_string(host));
    }
    this->advance(catchUpTime);
    for (auto host : replaced) {
        this->machines[host].isBeingReplaced = true;
        this->hosts.terminate(host);
        this->note("SIGTERM to " + std::to_string(host) + " for good");
    }
}

// The host is started again by a later step.
void LossSchedule::restart(size_t host)
{
    this->hosts.terminate(host);
    this->note("SIGTERM to " + std::to_string(host));
}

void LossSchedule::propose(size_t host)
{
    this->outcomes.push_back(this->hosts.propose(host));
}

void LossSchedule::startOne()
{
    std::vector<size_t> absent;
    for (auto host : this->present()) {
        if (!this->hosts.isRunning(host) || this->hosts.isCutOff(host))
            absent.push_back(host);
    }
    if (absent.empty())
        return;
    auto host = absent[this->randomBelow(absent.size())];
    this->hosts.setCutOff(host, false);
    if (!this->hosts.isRunning(host))
        this->hosts.start(host);
    this->note("return of " + std::to_string(host));
}

void LossSchedule::advance(Milliseconds duration)
{
    for (auto remaining = duration; remaining > 0ms && !this->firstViolation; remaining -= timeSlice) {
        auto elapsed = std::min(remaining, timeSlice);
        this->hosts.runFor(elapsed);
        this->settleReplacements();
        this->updateAccount(elapsed);
        this->checkAllowedLosses();
    }
}

void LossSchedule::settleReplacements()
{
    for (size_t host = 0; host < this->machines.size(); ++host) {
        auto& machine = this->machines[host];
        if (!machine.isBeingReplaced)
            continue;
        machine.isCalm = machine.isCalm && this->downCount() == 0 && this->countedDiskLosses() == 0;
        if (this->hosts.isRunning(host))
            continue;
        machine.isBeingReplaced = false;
        machine.isGone = true;
        machine.countsAsLost = !machine.isCalm;
        this->note(std::to_string(host) + " has ended");
    }
}

bool LossSchedule::isBack(size_t host) const
{
    const auto& machine = this->machines[host];
    auto place = machine.isGone ? *machine.successor : host;
    return this->hosts.isRunning(place) && !this->hosts.isCutOff(place);
}

size_t LossSchedule::downCount() const
{
    auto hosts = this->present();
    return static_cast<size_t>(std::count_if(hosts.begin(), hosts.end(), [this](size_t host) {
        bool isAway = !this->hosts.isRunning(host) || this->hosts.isCutOff(host);
        return isAway && !this->machines[host].countsAsLost && !this->machines[host].isBeingReplaced;
    }));
}

size_t LossSchedule::countedDiskLosses() const
{
    return static_cast<size_t>(std::count_if(this->machines.begin(), this->machines.end(), [](const auto& machine) { return machine.countsAsLost; }));
}

void LossSchedule::updateAccount(Milliseconds elapsed)
{
    auto down = this->downCount();
    bool isOverloaded = down > 0 && down + this->countedDiskLosses() > this->toleratedDiskLosses;
    for (size_t host = 0; host < this->machines.size(); ++host) {
        auto& machine = this->machines[host];
        if (!machine.countsAsLost)
            continue;
        machine.backFor = this->isBack(host) && !isOverloaded ? machine.backFor + elapsed : 0ms;
        machine.countsAsLost = machine.backFor < catchUpTime;
    }
}

std::set<std::string> LossSchedule::acceptedCommands() const
{
    std::set<std::string> commands;
    for (const auto& outcome : this->outcomes) {
        if (outcome->isAccepted())
            commands.insert(outcome->command);
    }
    return commands;
}

std::vector<LossSchedule::Candidate> LossSchedule::readDisks() const
{
    std::vector<Candidate> candidates;
    auto accepted = this->acceptedCommands();
    for (auto host : this->present()) {
        const auto& content = this->hosts.disk(host).content;
        ReplicaLog log(content);
        CommandList commands;
        commands.restore(content.snapshot.state);
        for (const auto& entry : content.entries) {
            if (entry.kind == EntryKind::Command)
                commands.apply(entry.index, entry.payload);
        }
        bool hasAll = std::includes(commands.commands().begin(), commands.commands().end(), accepted.begin(), accepted.end());
        candidates.push_back(Candidate { this->hosts.identity(host), this->hosts.name(host), log.membership(), log.isVoterAtOrAfter(content.snapshot.index, this->hosts.identity(host)), log.lastTerm(), log.lastIndex(), hasAll });
    }
    return candidates;
}

// Hosts that are back without their disks say that their former replicas have ended. Hosts that are gone for good do not.
std::set<std::string> LossSchedule::retiredIdentities(const Membership& membership, const std::vector<Candidate>& candidates, const std::set<size_t>& lost)
{
    std::set<std::string> retired;
    for (const auto& member : membership.participants()) {
        for (size_t i = 0; i < candidates.size(); ++i) {
            bool isOfHost = member.host == candidates[i].host;
            if (isOfHost && (lost.contains(i) || member.identity != candidates[i].identity))
                retired.insert(member.identity);
        }
    }
    return retired;
}

std::string LossSchedule::findFault(const std::vector<Candidate>& candidates, const std::set<size_t>& lost) const
{
    bool isElectable = false;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const auto& candidate = candidates[i];
        if (lost.contains(i) || !candidate.standsForElection)
            continue;
        std::set<std::string> votes;
        for (size_t j = 0; j < candidates.size(); ++j) {
            const auto& voter = candidates[j];
            bool grants = std::pair(voter.lastTerm, voter.lastIndex) <= std::pair(candidate.lastTerm, candidate.lastIndex);
            if (!lost.contains(j) && grants)
                votes.insert(voter.identity);
        }
        if (!isQuorum(candidate.membership, this->retiredIdentities(candidate.membership, candidates, lost), [&](const auto& identity) { return votes.contains(identity); }))
            continue;
        isElectable = true;
        if (!candidate.hasAcceptedCommands)
            return "a replica without all accepted commands can be elected";
    }
    return isElectable ? "" : "no replica can be elected";
}

void LossSchedule::checkAllowedLosses()
{
    auto candidates = this->readDisks();
    auto allowed = this->toleratedDiskLosses - std::min(this->toleratedDiskLosses, this->countedDiskLosses());
    for (uint64_t set = 0; set < (uint64_t { 1 } << candidates.size()); ++set) {
        std::set<size_t> lost;
        for (size_t i = 0; i < candidates.size(); ++i) {
            if (((set >> i) & 1) != 0)
                lost.insert(i);
        }
        if (lost.size() > allowed)
            continue;
        auto fault = this->findFault(candidates, lost);
        if (fault.empty())
            continue;
        for (auto i : lost)
            fault += ", with the disk of " + std::to_string(this->present()[i]) + " lost";
        this->fail(fault + this->describe(candidates));
        return;
    }
}

std::string LossSchedule::describe(const std::vector<Candidate>& candidates) const
{
    std::string text;
    for (const auto& candidate : candidates) {
        text += "\n    log of " + this->hostOf(candidate.identity) + " to term " + std::to_string(candidate.lastTerm) + ", index " + std::to_string(candidate.lastIndex) + "; voters";
        for (const auto& member : candidate.membership.members) {
            if (member.role == MemberRole::Voter)
                text += " " + this->hostOf(member.identity);
        }
        if (candidate.membership.isTransition())
            text += "; former voters";
        for (const auto& voter : candidate.membership.formerVoters)
            text += " " + this->hostOf(voter.identity);
    }
    return text;
}

std::string LossSchedule::hostOf(const std::string& identity) const
{
    for (size_t host = 0; host < this->machines.size(); ++host) {
        if (this->hosts.identity(host) == identity)
            return std::to_string(host) + (this->machines[host].isGone ? " (gone)" : "");
    }
    return "(lost disk)";
}

void LossSchedule::recoverAndVerify()
{
    auto isEnding = [this](size_t host) { return this->hosts.isEnding(host); };
    for (auto hosts = this->present(); std::any_of(hosts.begin(), hosts.end(), isEnding);)
        this->advance(timeSlice);
    for (auto host : this->present()) {
        this->hosts.setCutOff(host, false);
        if (!this->hosts.isRunning(host))
            this->hosts.start(host);
    }
    this->note("all are back");
    this->advance(recoveryTime);
    auto leader = this->hosts.leader();
    if (!leader)
        return this->fail("no leader after the recovery time");
    this->propose(*leader);
    this->advance(1s);
    if (!this->outcomes.back()->isAccepted())
        return this->fail("no command is accepted after the recovery time");
    auto accepted = this->acceptedCommands();
    const auto& membership = this->hosts.node(*leader).replica().membership();
    if (membership.voterCount() != this->present().size())
        this->fail(std::to_string(membership.voterCount()) + " voters after the recovery time");
    for (auto host : this->present()) {
        const auto& commands = this->hosts.commands(host);
        if (!std::includes(commands.begin(), commands.end(), accepted.begin(), accepted.end()))
            this->fail("host " + std::to_string(host) + " does not have all accepted commands");
        if (!membership.isVoter(this->hosts.identity(host)))
            this->fail("host " + std::to_string(host) + " is no voter after the recovery time");
    }
}

}
