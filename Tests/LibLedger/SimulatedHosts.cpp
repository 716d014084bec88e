#include "SimulatedHosts.h"
#include <LibBase/Verify.h>
#include <utility>

namespace Sassafrasshift::Ledger {

static constexpr Milliseconds tickInterval { 20 };
static constexpr Milliseconds heartbeatInterval { 75 };
static constexpr Milliseconds lostVoterTimeout { 2000 };
static constexpr Milliseconds resendInterval { 300 };
static constexpr Milliseconds joinRequestInterval { 300 };
static constexpr Milliseconds proposalTimeout { 850 };
static constexpr Milliseconds syncDuration { 9 };
// A process that was asked to end does so after this time at the latest.
static constexpr Milliseconds shutdownTimeout { 5700 };
static constexpr Milliseconds fullRetryInterval { 200 };
static constexpr Index snapshotInterval = 20;

void SimulatedLoop::after(Milliseconds delay, std::function<void()> function)
{
    this->functions.emplace(this->now() + delay, std::move(function));
}

void SimulatedLoop::runFor(Milliseconds duration)
{
    auto end = this->now() + duration;
    while (!this->functions.empty() && this->functions.begin()->first <= end) {
        auto next = this->functions.extract(this->functions.begin());
        this->manualClock.advance(next.key() - this->now());
        next.mapped()();
    }
    this->manualClock.advance(end - this->now());
}

std::string CommandList::apply(Index, const std::string& command)
{
    this->applied.insert(command);
    return command;
}

std::string CommandList::save() const
{
    std::string state;
    for (const auto& command : this->applied)
        state += command + "\n";
    return state;
}

bool CommandList::canRestore(const std::string& state) const
{
    return state != SimulatedHosts::unreadableState;
}

void CommandList::restore(const std::string& state)
{
    this->applied.clear();
    for (size_t start = 0; start < state.size();) {
        auto end = state.find('\n', start);
        this->applied.insert(state.substr(start, end - start));
        start = end + 1;
    }
}

// Stores what is submitted during a sync with the next one, as StorageThread does.
class SimulatedHosts::DiskWriter final : public Storage {
public:
    DiskWriter(SimulatedLoop& loop, SimulatedDisk& disk)
        : loop(loop)
        , disk(disk)
    {
    }

    ~DiskWriter() override { *this->isAlive = false; }

    void start(Callbacks newCallbacks) override { this->callbacks = std::move(newCallbacks); }

    void submit(uint64_t ticket, std::vector<StoreOperation> operations) override
    {
        this->queued.insert(this->queued.end(), operations.begin(), operations.end());
        this->queuedTicket = ticket;
        if (!this->isWriting)
            this->takeBatch();
    }

    [[nodiscard]] uint64_t batchesStored() const override { return this->batchCount; }

private:
    void takeBatch()
    {
        this->isWriting = true;
        this->batch = std::exchange(this->queued, {});
        this->batchTicket = std::exchange(this->queuedTicket, 0);
        this->writeAfter(syncDuration);
    }

    void writeAfter(Milliseconds delay)
    {
        this->loop.after(delay, [this, alive = this->isAlive] {
            if (*alive)
                this->write();
        });
    }

    void write()
    {
        if (this->disk.isStalled)
            return this->writeAfter(syncDuration);
        if (this->disk.isFull) {
            if (!std::exchange(this->wasFull, true))
                this->callbacks.storageFullChanged(true);
            return this->writeAfter(fullRetryInterval);
        }
        if (std::exchange(this->wasFull, false))
            this->callbacks.storageFullChanged(false);
        for (const auto& operation : this->batch)
            applyOperation(this->disk.content, operation);
        ++this->batchCount;
        this->isWriting = false;
        this->callbacks.stored(this->batchTicket);
        if (this->queuedTicket != 0)
            this->takeBatch();
    }

    SimulatedLoop& loop;
    SimulatedDisk& disk;
    Callbacks callbacks;
    std::vector<StoreOperation> queued;
    uint64_t queuedTicket { 0 };
    std::vector<StoreOperation> batch;
    uint64_t batchTicket { 0 };
    bool isWriting { false };
    bool wasFull { false };
    uint64_t batchCount { 0 };
    std::shared_ptr<bool> isAlive { std::make_shared<bool>(true) };
};

struct SimulatedHosts::Host {
    std::string name;
    std::string identity;
    SimulatedDisk disk;
    std::unique_ptr<CommandList> state;
    std::unique_ptr<Node> node;
    std::unique_ptr<ProposalQueue> proposals;
    Departure departure;
    Instant nextJoinRequest {};
    bool isCutOff { false };
    /// The number of the present process; functions that an earlier one has scheduled do nothing.
    uint64_t boot { 0 };
};

SimulatedHosts::SimulatedHosts(uint64_t seed, size_t count, size_t toleratedDiskLosses)
    : random(seed)
    , toleratedDiskLosses(toleratedDiskLosses)
{
    StoredState initialState;
    for (size_t i = 0; i < count; ++i) {
        auto host = std::make_unique<Host>();
        host->name = "host-" + std::to_string(i);
        host->identity = makeRandomIdentity(this->random);
        initialState.snapshot.membership.members.push_back({ host->identity, host->name, MemberRole::Voter });
        this->hosts.push_back(std::move(host));
    }
    for (size_t i = 0; i < count; ++i) {
        this->hosts[i]->disk.content = initialState;
        this->start(i);
    }
}

SimulatedHosts::~SimulatedHosts() = default;

SimulatedDisk& SimulatedHosts::disk(size_t host)
{
    return this->hosts.at(host)->disk;
}

const SimulatedDisk& SimulatedHosts::disk(size_t host) const
{
    return this->hosts.at(host)->disk;
}

const std::set<std::string>& SimulatedHosts::commands(size_t host) const
{
    return this->hosts.at(host)->state->commands();
}

const Node& SimulatedHosts::node(size_t host) const
{
    return *this->hosts.at(host)->node;
}

std::optional<size_t> SimulatedHosts::leader() const
{
    for (size_t i = 0; i < this->hosts.size(); ++i) {
        if (this->hosts[i]->node && this->hosts[i]->node->replica().isEstablishedLeader())
            return i;
    }
    return std::nullopt;
}

Milliseconds SimulatedHosts::networkDelay()
{
    return Milliseconds(1 + this->random() % 3);
}

SimulatedHosts::Host* SimulatedHosts::find(const std::string& name, const std::string& sender) const
{
    Host* receiver = nullptr;
    bool isCutOff = false;
    for (const auto& host : this->hosts) {
        if (host->name == name)
            receiver = host.get();
        if (host->name == name || host->name == sender)
            isCutOff = isCutOff || host->isCutOff;
    }
    bool isReached = receiver && receiver->node && (!isCutOff || name == sender);
    return isReached ? receiver : nullptr;
}

void SimulatedHosts::setCutOff(size_t host, bool cutOff)
{
    this->hosts.at(host)->isCutOff = cutOff;
}

bool SimulatedHosts::isCutOff(size_t host) const
{
    return this->hosts.at(host)->isCutOff;
}

const std::string& SimulatedHosts::identity(size_t host) const
{
    return this->hosts.at(host)->identity;
}

const std::string& SimulatedHosts::name(size_t host) const
{
    return this->hosts.at(host)->name;
}

void SimulatedHosts::start(size_t number)
{
    auto& host = *this->hosts.at(number);
    auto boot = ++host.boot;
    Node::Options options;
    options.replica.identity = host.identity;
    options.replica.host = host.name;
    options.replica.electionTimeout = electionTimeout;
    options.replica.heartbeatInterval = heartbeatInterval;
    options.replica.lostVoterTimeout = lostVoterTimeout;
    options.replica.toleratedDiskLosses = this->toleratedDiskLosses;
    options.snapshotInterval = snapshotInterval;
    options.maximumUnstoredBytes = maximumUnstoredBytes;
    Node::Environment environment;
    environment.clock = &this->loop.clock();
    environment.send = [this](const Message& message) { this->send(message); };
    environment.post = [this, &host, boot](std::function<void()> function) {
        this->loop.after(Milliseconds(0), [&host, boot, function = std::move(function)] {
            if (host.boot == boot && host.node)
                function();
        });
    };
    environment.storageFailed = [](const Error&) { VERIFY(false); };
    environment.messageRefused = [this](const Message&) { ++this->refusals; };
    host.state = std::make_unique<CommandList>();
    host.state->restore(host.disk.content.snapshot.state);
    host.departure = {};
    host.proposals = std::make_unique<ProposalQueue>(ProposalQueue::Options { resendInterval, 4096, true });
    host.node = std::make_unique<Node>(options, std::make_unique<DiskWriter>(this->loop, host.disk), host.disk.content, *host.state, environment, Random(this->random()));
    this->scheduleTick(host, boot);
}

void SimulatedHosts::stop(size_t host)
{
    stopProcess(*this->hosts.at(host));
}

void SimulatedHosts::stopProcess(Host& host)
{
    ++host.boot;
    host.node.reset();
    host.proposals.reset();
}

size_t SimulatedHosts::addHost()
{
    auto host = std::make_unique<Host>();
    host->name = "host-" + std::to_string(this->hosts.size());
    host->identity = makeRandomIdentity(this->random);
    this->hosts.push_back(std::move(host));
    return this->hosts.size() - 1;
}

bool SimulatedHosts::isRunning(size_t host) const
{
    return this->hosts.at(host)->node != nullptr;
}

bool SimulatedHosts::isEnding(size_t number) const
{
    const auto& host = *this->hosts.at(number);
    return host.node && host.departure.hasBegun();
}

void SimulatedHosts::terminate(size_t number)
{
    auto& host = *this->hosts.at(number);
    host.departure.begin();
    this->loop.after(shutdownTimeout, [&host, boot = host.boot] {
        if (host.boot == boot)
            stopProcess(host);
    });
}

// Sends the request to leave, as the processes do, and ends the process once it may end.
void SimulatedHosts::advanceDeparture(Host& host)
{
    if (host.departure.isFinished())
        return stopProcess(host);
    if (!host.departure.takeRequest(host.node->replica(), this->now()))
        return;
    this->loop.after(this->networkDelay(), [this, leader = this->leaderAddress(host), name = host.name, identity = host.identity] {
        auto* receiver = this->find(leader, name);
        auto outcome = receiver ? receiver->node->requestLeave(identity) : tl::unexpected(Error::notRun(Reason::Unreachable, "no leader"));
        if (!outcome)
            return;
        this->loop.after(this->networkDelay(), [this, leader, name, identity, outcome = *outcome] {
            auto* sender = this->find(name, leader);
            if (sender && sender->identity == identity)
                sender->departure.onOutcome(outcome);
        });
    });
}

void SimulatedHosts::deliver(size_t number, const Message& message)
{
    this->hosts.at(number)->node->receive(message);
}

void SimulatedHosts::loseDisk(size_t number)
{
    auto& host = *this->hosts.at(number);
    VERIFY(!host.node);
    host.disk = {};
    host.identity = makeRandomIdentity(this->random);
}

void SimulatedHosts::scheduleTick(Host& host, uint64_t boot)
{
    this->loop.after(tickInterval, [this, &host, boot] {
        if (host.boot != boot)
            return;
        this->tick(host);
        this->scheduleTick(host, boot);
    });
}

void SimulatedHosts::tick(Host& host)
{
    host.node->tick();
    this->requestJoinIfDue(host);
    host.proposals->expire(this->now());
    this->sendProposals(host);
    this->advanceDeparture(host);
}

std::string SimulatedHosts::gossipedLeader(const Host& reader) const
{
    std::string leader;
    Term highestTerm = 0;
    for (const auto& host : this->hosts) {
        bool isHeard = host->node && (host.get() == &reader || (!host->isCutOff && !reader.isCutOff));
        if (!isHeard || host->node->replica().leaderHost().empty() || host->node->replica().term() < highestTerm)
            continue;
        leader = host->node->replica().leaderHost();
        highestTerm = host->node->replica().term();
    }
    return leader;
}

std::string SimulatedHosts::leaderAddress(const Host& host) const
{
    auto leader = host.node->replica().leaderHost();
    return leader.empty() ? this->gossipedLeader(host) : leader;
}

void SimulatedHosts::requestJoinIfDue(Host& host)
{
    if (host.departure.hasBegun() || this->now() < host.nextJoinRequest)
        return;
    const auto& replica = host.node->replica();
    bool hasLeader = !replica.leaderHost().empty();
    if (replica.membership().isVoter(host.identity) && hasLeader)
        return;
    host.nextJoinRequest = this->now() + joinRequestInterval;
    auto leader = this->leaderAddress(host);
    this->loop.after(this->networkDelay(), [this, leader, name = host.name, identity = host.identity] {
        if (auto* receiver = this->find(leader, name))
            receiver->node->requestJoin(name, identity);
    });
}

void SimulatedHosts::send(const Message& message)
{
    this->loop.after(this->networkDelay(), [this, message] {
        if (auto* receiver = this->find(message.toHost, message.fromHost))
            receiver->node->receive(message);
    });
}

void SimulatedHosts::sendProposals(Host& host)
{
    for (const auto& proposal : host.proposals->takeDue(this->leaderAddress(host), this->now())) {
        this->loop.after(this->networkDelay(), [this, name = host.name, proposal] { this->deliverProposal(name, proposal); });
    }
}

void SimulatedHosts::deliverProposal(const std::string& from, const ProposalQueue::OutgoingProposal& proposal)
{
    auto* receiver = this->find(proposal.leader, from);
    if (!receiver)
        return;
    receiver->node->propose(proposal.command, [this, from, proposal](ErrorOr<std::string> result) {
        this->loop.after(this->networkDelay(), [this, from, proposal, result = std::move(result)] {
            auto* proposer = this->find(from, proposal.leader);
            if (!proposer)
                return;
            if (result)
                proposer->proposals->onResult(proposal.number, *result);
            else
                proposer->proposals->onFailure(proposal.leader, proposal.number, result.error(), this->now());
        });
    });
}

std::shared_ptr<const Outcome> SimulatedHosts::propose(size_t number, size_t bytes)
{
    auto& host = *this->hosts.at(number);
    auto outcome = std::make_shared<Outcome>();
    outcome->command = "command " + std::to_string(this->nextCommand++) + " " + std::string(bytes, 'x');
    outcome->proposedAt = this->now();
    auto onCompleted = [this, outcome](const ErrorOr<std::string>& result) {
        outcome->completedAt = this->now();
        if (!result)
            outcome->refusal = result.error().reason;
    };
    host.proposals->add(outcome->command, proposalTimeout, onCompleted, this->now());
    this->sendProposals(host);
    return outcome;
}

}
