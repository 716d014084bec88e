#include <LibTransport/ConnectionBudget.h>
#include <algorithm>
#include <bit>
#include <tuple>

namespace Sassafrasshift::Transport {

// How many chosen connections may be open still if the number of connections is not limited.
static constexpr size_t maximumClosingWithoutLimit = 64;
// A connection that holds less than this has no large request or answer, and closing it frees little.
static constexpr size_t smallConnection = 16 * 1024;
// How many connections are examined to find one that is closed in favor of a new one.
static constexpr size_t maximumExamined = 64;

ConnectionBudget::Admission ConnectionBudget::admission(uint32_t address) const
{
    bool isFull = this->connectionCount() >= this->limits.connections || this->connections.size() >= this->limits.connections + this->maximumClosing();
    if (this->limits.connections > 0 && isFull)
        return Admission::TotalLimit;
    if (this->limits.connectionsPerAddress > 0) {
        auto position = this->connectionsByAddress.find(address);
        if (position != this->connectionsByAddress.end() && position->second >= this->limits.connectionsPerAddress)
            return Admission::AddressLimit;
    }
    return Admission::Admitted;
}

size_t ConnectionBudget::maximumClosing() const
{
    return this->limits.connections > 0 ? this->limits.connections / 4 + 1 : maximumClosingWithoutLimit;
}

void ConnectionBudget::add(Key key, uint32_t address, Instant now)
{
    auto position = this->byProgress.insert(this->byProgress.end(), key);
    this->connections.emplace(key, Connection { address, Stage::Waiting, 0, now, false, position });
    ++this->connectionsByAddress[address];
}

void ConnectionBudget::markClosing(Connection& connection)
{
    if (connection.isClosing)
        return;
    connection.isClosing = true;
    ++this->closing;
    this->held -= connection.heldBytes;
    connection.heldBytes = 0;
    this->byProgress.erase(connection.position);
    auto position = this->connectionsByAddress.find(connection.address);
    if (--position->second == 0)
        this->connectionsByAddress.erase(position);
}

void ConnectionBudget::remove(Key key)
{
    auto position = this->connections.find(key);
    if (position == this->connections.end())
        return;
    this->markClosing(position->second);
    --this->closing;
    this->connections.erase(position);
}

void ConnectionBudget::update(Key key, Stage stage, size_t heldBytes, bool hasProgressed, Instant now)
{
    auto position = this->connections.find(key);
    if (position == this->connections.end() || position->second.isClosing)
        return;
    auto& connection = position->second;
    connection.stage = stage;
    this->held += heldBytes - connection.heldBytes;
    connection.heldBytes = heldBytes;
    if (stage != Stage::Handling && heldBytes >= smallConnection)
        this->mayHaveCandidates = true;
    if (!hasProgressed)
        return;
    connection.lastProgressAt = now;
    this->byProgress.splice(this->byProgress.end(), this->byProgress, connection.position);
}

void ConnectionBudget::setStage(Key key, Stage stage)
{
    auto position = this->connections.find(key);
    if (position != this->connections.end())
        position->second.stage = stage;
}

std::vector<ConnectionBudget::Key> ConnectionBudget::takeEvictions()
{
    std::vector<Key> chosen;
    if (!this->isMemoryShort() || (!this->mayHaveCandidates && this->held <= this->limits.memory))
        return chosen;
    // If the requests that are being handled take the memory, closing the small connections of other clients would not help.
    auto smallestToClose = this->held > this->limits.memory ? 1 : smallConnection;
    // Sizes within a power of two count as similar.
    using Candidate = std::tuple<Stage, int, Instant, Key>;
    std::vector<Candidate> candidates;
    for (const auto& [key, connection] : this->connections) {
        if (!connection.isClosing && connection.heldBytes >= smallestToClose && connection.stage != Stage::Handling)
            candidates.emplace_back(connection.stage, -std::bit_width(connection.heldBytes), connection.lastProgressAt, key);
    }
    std::sort(candidates.begin(), candidates.end());
    for (const auto& candidate : candidates) {
        if (this->heldBytes() <= this->limits.memory / 8 * 7)
            break;
        chosen.push_back(std::get<Key>(candidate));
        this->markClosing(this->connections.at(chosen.back()));
    }
    this->mayHaveCandidates = !chosen.empty();
    return chosen;
}

std::optional<ConnectionBudget::Key> ConnectionBudget::takeReplaced(Admission admission, uint32_t address)
{
    if (this->closing >= this->maximumClosing())
        return std::nullopt;
    // Connections that are passed over are moved to the end, so that the next search does not meet them first.
    for (size_t examined = 0; examined < maximumExamined && examined < this->byProgress.size(); ++examined) {
        auto key = this->byProgress.front();
        auto& connection = this->connections.at(key);
        if (connection.stage == Stage::Waiting && (admission != Admission::AddressLimit || connection.address == address)) {
            this->markClosing(connection);
            return key;
        }
        this->byProgress.splice(this->byProgress.end(), this->byProgress, connection.position);
    }
    return std::nullopt;
}

}
