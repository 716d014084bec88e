#include <LibBase/NearestName.h>
#include <LibCatalog/Catalog.h>
#include <LibSettings/MappingReader.h>
#include <algorithm>
#include <array>
#include <map>
#include <yaml-cpp/yaml.h>

namespace Sassafrasshift::Catalog {

using Settings::Diagnostic;
using Settings::Diagnostics;
using Settings::MappingReader;
using namespace std::chrono_literals;

static const std::array<std::string, 7> kinds { "service", "taskKind", "pool", "policy", "team", "failureDomain", "drain" };
static const std::array<std::string, 3> priorities { "urgent", "normal", "background" };
static const std::array<std::string, 2> targetKinds { "executor", "worker" };

static constexpr int64_t maximumCount = 10'000'000;
static constexpr int64_t maximumMemory = 64LL * 1024 * 1024 * 1024 * 1024;
static constexpr int64_t maximumTasksOfAJob = 130;

// A reference from one object to another, checked when the whole set has been read.
struct Reference {
    std::string file;
    Settings::Place place;
    std::string kind;
    std::string name;
};

struct Checker {
    Catalog catalog;
    Diagnostics diagnostics;
    std::vector<Reference> references;
    // Where each object's name stands, by kind and name, for faults that the whole set shows.
    std::map<std::string, Diagnostic> places;
    std::string file;

    void reportAt(const std::string& kindAndName, std::string message);

    void readFile(const SourceFile&);
    void readObject(const YAML::Node&);
    void readFailureDomain(MappingReader&, const std::string& name);
    void readPool(MappingReader&, const std::string& name);
    void readPolicy(MappingReader&, const std::string& name);
    void readService(MappingReader&, const std::string& name);
    void readTaskKind(MappingReader&, const std::string& name);
    void readTeam(MappingReader&, const std::string& name);
    std::string refer(MappingReader&, std::string_view key, std::string kind);
    void checkReferences();
    void checkOverflowCycles();
    void checkPoolKinds();
    [[nodiscard]] std::vector<std::string> namesOf(const std::string& kind) const;

    template <typename Object>
    void add(MappingReader& reader, Catalog::ByName<Object>& objects, Object object)
    {
        auto name = object.name;
        if (!name.empty() && !objects.emplace(name, std::move(object)).second)
            reader.report("name", "the name \"" + name + "\" is given to two objects of this kind");
    }
};

void Checker::reportAt(const std::string& kindAndName, std::string message)
{
    auto diagnostic = this->places[kindAndName];
    diagnostic.message = std::move(message);
    this->diagnostics.push_back(std::move(diagnostic));
}

template <typename Object>
static std::vector<std::string> keysOf(const Catalog::ByName<Object>& objects)
{
    std::vector<std::string> names;
    for (const auto& [name, object] : objects)
        names.push_back(name);
    return names;
}

std::vector<std::string> Checker::namesOf(const std::string& kind) const
{
    if (kind == "pool")
        return keysOf(this->catalog.pools);
    if (kind == "policy")
        return keysOf(this->catalog.policies);
    return keysOf(this->catalog.failureDomains);
}

std::string Checker::refer(MappingReader& reader, std::string_view key, std::string kind)
{
    auto name = reader.text(key);
    if (!name.empty())
        this->references.push_back(Reference { this->file, reader.place(key), std::move(kind), name });
    return name;
}

void Checker::readFailureDomain(MappingReader& reader, const std::string& name)
{
    auto region = reader.text("region");
    bool isolated = reader.boolean("isolated", false);
    this->add(reader, this->catalog.failureDomains, FailureDomain { name, region, isolated });
}

void Checker::readPool(MappingReader& reader, const std::string& name)
{
    Pool pool { name };
    pool.targets = reader.oneOf("targets", targetKinds) == "worker" ? TargetKind::Worker : TargetKind::Executor;
    pool.failureDomains = reader.textList("failureDomains");
    if (pool.failureDomains.empty())
        reader.report("failureDomains", "a pool needs at least one failure domain");
    for (const auto& domain : pool.failureDomains)
        this->references.push_back(Reference { this->file, reader.place("failureDomains"), "failureDomain", domain });
    if (reader.has("overflow"))
        pool.overflow = this->refer(reader, "overflow", "pool");
    this->add(reader, this->catalog.pools, std::move(pool));
}

void Checker::readPolicy(MappingReader& reader, const std::string& name)
{
    Policy policy { name };
    auto priority = reader.oneOf("priority", priorities, "normal");
    policy.priority = priority == "urgent" ? Priority::Urgent : priority == "normal" ? Priority::Normal
                                                                                     : Priority::Background;
    policy.deadline = reader.duration("deadline", 1ms, 24h, 30s);
    policy.queueLimit = reader.integer("queueLimit", 1, maximumCount, 10'000);
    policy.retryShare = reader.number("retryShare", 0, 1, 0.1);
    policy.runLimit = reader.duration("runLimit", 1ms, 24h, 60s);
    this->add(reader, this->catalog.policies, std::move(policy));
}

void Checker::readService(MappingReader& reader, const std::string& name)
{
    Service service { name };
    service.pool = this->refer(reader, "pool", "pool");
    service.policy = this->refer(reader, "policy", "policy");
    service.idempotent = reader.boolean("idempotent", false);
    this->add(reader, this->catalog.services, std::move(service));
}

void Checker::readTaskKind(MappingReader& reader, const std::string& name)
{
    TaskKind kind { name };
    kind.pool = this->refer(reader, "pool", "pool");
    kind.policy = this->refer(reader, "policy", "policy");
    kind.idempotent = reader.boolean("idempotent", false);
    kind.maximumTasks = reader.integer("maximumTasks", 1, maximumTasksOfAJob, maximumTasksOfAJob);
    kind.needs.milliCores = static_cast<int64_t>(reader.number("cores", 0.001, 4096, 1) * 1000);
    kind.needs.memoryBytes = reader.bytes("memory", 0, maximumMemory, 0);
    kind.needs.accelerators = reader.integer("accelerators", 0, 1024, 0);
    this->add(reader, this->catalog.taskKinds, std::move(kind));
}

void Checker::readTeam(MappingReader& reader, const std::string& name)
{
    Team team { name };
    team.weight = reader.number("weight", 0.001, 1000, 1);
    team.maximumInProgress = reader.integer("maximumInProgress", 1, maximumCount, maximumCount);
    this->add(reader, this->catalog.teams, std::move(team));
}

void Checker::readObject(const YAML::Node& node)
{
    MappingReader reader(node, this->file, this->diagnostics);
    if (!node.IsMap())
        return;
    auto kind = reader.text("kind");
    auto name = reader.text("name");
    auto [line, column] = reader.place("name");
    this->places[kind + " " + name] = Diagnostic { this->file, line, column, {} };
    if (kind == "failureDomain") {
        this->readFailureDomain(reader, name);
    } else if (kind == "pool") {
        this->readPool(reader, name);
    } else if (kind == "policy") {
        this->readPolicy(reader, name);
    } else if (kind == "service") {
        this->readService(reader, name);
    } else if (kind == "taskKind") {
        this->readTaskKind(reader, name);
    } else if (kind == "team") {
        this->readTeam(reader, name);
    } else if (kind == "drain") {
        this->add(reader, this->catalog.drains, Drain { name });
    } else {
        auto nearest = nearestName(kind, kinds);
        if (!kind.empty())
            reader.report("kind", "unknown kind \"" + kind + "\"" + (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?"));
        return;
    }
    reader.reportUnexpectedKeys();
}

void Checker::readFile(const SourceFile& source)
{
    this->file = source.name;
    for (const auto& node : Settings::parseDocuments(source.text, source.name, this->diagnostics))
        this->readObject(node);
}

void Checker::checkReferences()
{
    for (const auto& reference : this->references) {
        auto names = this->namesOf(reference.kind);
        if (std::find(names.begin(), names.end(), reference.name) != names.end())
            continue;
        auto nearest = nearestName(reference.name, names);
        this->diagnostics.push_back(Diagnostic { reference.file, reference.place.line, reference.place.column,
            "there is no " + reference.kind + " \"" + reference.name + "\"" + (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?") });
    }
}

void Checker::checkOverflowCycles()
{
    for (const auto& [name, pool] : this->catalog.pools) {
        const auto* next = &pool;
        for (size_t steps = 0; next && !next->overflow.empty(); ++steps) {
            next = this->catalog.findPool(next->overflow);
            if (next != &pool && steps <= this->catalog.pools.size())
                continue;
            if (next == &pool)
                this->reportAt("pool " + name, "pool \"" + name + "\" overflows into itself through other pools");
            break;
        }
    }
}

void Checker::checkPoolKinds()
{
    for (const auto& [name, service] : this->catalog.services) {
        const auto* pool = this->catalog.findPool(service.pool);
        if (pool && pool->targets != TargetKind::Executor)
            this->reportAt("service " + name, "service \"" + name + "\" needs a pool of executors, but \"" + pool->name + "\" holds workers");
    }
    for (const auto& [name, taskKind] : this->catalog.taskKinds) {
        const auto* pool = this->catalog.findPool(taskKind.pool);
        if (pool && pool->targets != TargetKind::Worker)
            this->reportAt("taskKind " + name, "task kind \"" + name + "\" needs a pool of workers, but \"" + pool->name + "\" holds executors");
    }
}

tl::expected<Catalog, Diagnostics> Catalog::create(const std::vector<SourceFile>& files)
{
    Checker checker;
    for (const auto& file : files)
        checker.readFile(file);
    checker.checkReferences();
    checker.checkOverflowCycles();
    checker.checkPoolKinds();
    if (!checker.diagnostics.empty())
        return tl::unexpected(checker.diagnostics);
    return checker.catalog;
}

template <typename Object>
static const Object* find(const Catalog::ByName<Object>& objects, std::string_view name)
{
    auto position = objects.find(name);
    return position == objects.end() ? nullptr : &position->second;
}

const Service* Catalog::findService(std::string_view name) const { return find(this->services, name); }
const TaskKind* Catalog::findTaskKind(std::string_view name) const { return find(this->taskKinds, name); }
const Pool* Catalog::findPool(std::string_view name) const { return find(this->pools, name); }
const Policy* Catalog::findPolicy(std::string_view name) const { return find(this->policies, name); }
const Team* Catalog::findTeam(std::string_view name) const { return find(this->teams, name); }
const FailureDomain* Catalog::findFailureDomain(std::string_view name) const { return find(this->failureDomains, name); }
const Drain* Catalog::findDrain(std::string_view targetIdentity) const { return find(this->drains, targetIdentity); }

template <typename Object>
static void describe(std::string_view kind, const Catalog::ByName<Object>& before, const Catalog::ByName<Object>& after, std::vector<std::string>& changes)
{
    for (const auto& [name, object] : after) {
        const auto* old = find(before, name);
        if (!old)
            changes.push_back("added " + std::string(kind) + " " + name);
        else if (*old != object)
            changes.push_back("changed " + std::string(kind) + " " + name);
    }
    for (const auto& [name, object] : before) {
        if (!find(after, name))
            changes.push_back("removed " + std::string(kind) + " " + name);
    }
}

std::vector<std::string> describeChanges(const Catalog& before, const Catalog& after)
{
    std::vector<std::string> changes;
    describe("failureDomain", before.failureDomains, after.failureDomains, changes);
    describe("policy", before.policies, after.policies, changes);
    describe("pool", before.pools, after.pools, changes);
    describe("service", before.services, after.services, changes);
    describe("taskKind", before.taskKinds, after.taskKinds, changes);
    describe("team", before.teams, after.teams, changes);
    describe("drain", before.drains, after.drains, changes);
    return changes;
}

}
