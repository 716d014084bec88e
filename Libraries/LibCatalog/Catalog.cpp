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

static const std::array<std::string, 7> objectKinds { "service", "taskKind", "pool", "policy", "team", "failureDomain", "drain" };
static const std::array<std::string, 3> priorityNames { "urgent", "normal", "background" };
static const std::array<std::string, 2> targetKindNames { "executor", "worker" };

// The largest accepted value of settings that count requests or tasks.
static constexpr int64_t maximumCount = 10'000'000;
static constexpr int64_t maximumMemoryBytes = 64LL * 1024 * 1024 * 1024 * 1024;
static constexpr int64_t maximumTasksPerJob = 130;

// A reference from one object to another. References may cross files, so they are checked after all files have been read.
struct Reference {
    std::string file;
    Settings::SourceLocation location;
    std::string kind;
    std::string name;
};

struct CatalogParser {
    Catalog catalog;
    Diagnostics diagnostics;
    std::vector<Reference> references;
    // The location of each object's name, by "kind name", for errors that are found after all files have been read. The
    // messages are empty.
    std::map<std::string, Diagnostic> nameLocations;
    // The name of the file that is being read.
    std::string file;

    void reportAtName(const std::string& kindAndName, std::string message);

    void readFile(const SourceFile&);
    void readObject(const YAML::Node&);
    void readFailureDomain(MappingReader&, const std::string& name);
    void readPool(MappingReader&, const std::string& name);
    void readPolicy(MappingReader&, const std::string& name);
    void readService(MappingReader&, const std::string& name);
    void readTaskKind(MappingReader&, const std::string& name);
    void readTeam(MappingReader&, const std::string& name);
    std::string readReference(MappingReader&, std::string_view key, std::string kind);
    void checkReferences();
    void checkOverflowCycles();
    void checkTargetKinds();
    [[nodiscard]] std::vector<std::string> namesOf(const std::string& kind) const;

    template <typename Object>
    void add(MappingReader& reader, Catalog::ByName<Object>& objects, Object object)
    {
        auto name = object.name;
        if (!name.empty() && !objects.emplace(name, std::move(object)).second)
            reader.report("name", "duplicate name \"" + name + "\" for objects of this kind");
    }
};

void CatalogParser::reportAtName(const std::string& kindAndName, std::string message)
{
    auto diagnostic = this->nameLocations[kindAndName];
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

std::vector<std::string> CatalogParser::namesOf(const std::string& kind) const
{
    if (kind == "pool")
        return keysOf(this->catalog.pools);
    if (kind == "policy")
        return keysOf(this->catalog.policies);
    return keysOf(this->catalog.failureDomains);
}

std::string CatalogParser::readReference(MappingReader& reader, std::string_view key, std::string kind)
{
    auto name = reader.text(key);
    if (!name.empty())
        this->references.push_back(Reference { this->file, reader.location(key), std::move(kind), name });
    return name;
}

void CatalogParser::readFailureDomain(MappingReader& reader, const std::string& name)
{
    auto region = reader.text("region");
    bool isolated = reader.boolean("isolated", false);
    this->add(reader, this->catalog.failureDomains, FailureDomain { name, region, isolated });
}

void CatalogParser::readPool(MappingReader& reader, const std::string& name)
{
    Pool pool { name };
    pool.targets = reader.oneOf("targets", targetKindNames) == "worker" ? TargetKind::Worker : TargetKind::Executor;
    pool.failureDomains = reader.textList("failureDomains");
    if (pool.failureDomains.empty())
        reader.report("failureDomains", "a pool requires at least one failure domain");
    for (const auto& domain : pool.failureDomains)
        this->references.push_back(Reference { this->file, reader.location("failureDomains"), "failureDomain", domain });
    if (reader.has("overflow"))
        pool.overflow = this->readReference(reader, "overflow", "pool");
    this->add(reader, this->catalog.pools, std::move(pool));
}

void CatalogParser::readPolicy(MappingReader& reader, const std::string& name)
{
    Policy policy { name };
    auto priority = reader.oneOf("priority", priorityNames, "normal");
    policy.priority = priority == "urgent" ? Priority::Urgent : priority == "normal" ? Priority::Normal
                                                                                     : Priority::Background;
    policy.deadline = reader.duration("deadline", 1ms, 24h, 30s);
    policy.queueLimit = reader.integer("queueLimit", 1, maximumCount, 10'000);
    policy.retryShare = reader.number("retryShare", 0, 1, 0.1);
    policy.runLimit = reader.duration("runLimit", 1ms, 24h, 60s);
    this->add(reader, this->catalog.policies, std::move(policy));
}

void CatalogParser::readService(MappingReader& reader, const std::string& name)
{
    Service service { name };
    service.pool = this->readReference(reader, "pool", "pool");
    service.policy = this->readReference(reader, "policy", "policy");
    service.idempotent = reader.boolean("idempotent", false);
    this->add(reader, this->catalog.services, std::move(service));
}

void CatalogParser::readTaskKind(MappingReader& reader, const std::string& name)
{
    TaskKind kind { name };
    kind.pool = this->readReference(reader, "pool", "pool");
    kind.policy = this->readReference(reader, "policy", "policy");
    kind.idempotent = reader.boolean("idempotent", false);
    kind.maximumTasks = reader.integer("maximumTasks", 1, maximumTasksPerJob, maximumTasksPerJob);
    kind.needs.milliCores = static_cast<int64_t>(reader.number("cores", 0.001, 4096, 1) * 1000);
    kind.needs.memoryBytes = reader.bytes("memory", 0, maximumMemoryBytes, 0);
    kind.needs.accelerators = reader.integer("accelerators", 0, 1024, 0);
    this->add(reader, this->catalog.taskKinds, std::move(kind));
}

void CatalogParser::readTeam(MappingReader& reader, const std::string& name)
{
    Team team { name };
    team.weight = reader.number("weight", 0.001, 1000, 1);
    team.maximumInProgress = reader.integer("maximumInProgress", 1, maximumCount, maximumCount);
    this->add(reader, this->catalog.teams, std::move(team));
}

void CatalogParser::readObject(const YAML::Node& node)
{
    MappingReader reader(node, this->file, this->diagnostics);
    if (!node.IsMap())
        return;
    auto kind = reader.text("kind");
    auto name = reader.text("name");
    auto [line, column] = reader.location("name");
    this->nameLocations[kind + " " + name] = Diagnostic { this->file, line, column, {} };
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
        auto nearest = nearestName(kind, objectKinds);
        if (!kind.empty())
            reader.report("kind", "unknown kind \"" + kind + "\"" + (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?"));
        return;
    }
    reader.reportUnexpectedKeys();
}

void CatalogParser::readFile(const SourceFile& source)
{
    this->file = source.name;
    for (const auto& node : Settings::parseDocuments(source.text, source.name, this->diagnostics))
        this->readObject(node);
}

void CatalogParser::checkReferences()
{
    for (const auto& reference : this->references) {
        auto names = this->namesOf(reference.kind);
        if (std::find(names.begin(), names.end(), reference.name) != names.end())
            continue;
        auto nearest = nearestName(reference.name, names);
        this->diagnostics.push_back(Diagnostic { reference.file, reference.location.line, reference.location.column,
            "there is no " + reference.kind + " \"" + reference.name + "\"" + (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?") });
    }
}

void CatalogParser::checkOverflowCycles()
{
    for (const auto& [name, pool] : this->catalog.pools) {
        const auto* next = &pool;
        // The limit on the steps ends a walk into a cycle that does not contain this pool.
        for (size_t steps = 0; next && !next->overflow.empty(); ++steps) {
            next = this->catalog.findPool(next->overflow);
            if (next != &pool && steps <= this->catalog.pools.size())
                continue;
            if (next == &pool)
                this->reportAtName("pool " + name, "pool \"" + name + "\" overflows into itself through other pools");
            break;
        }
    }
}

void CatalogParser::checkTargetKinds()
{
    for (const auto& [name, service] : this->catalog.services) {
        const auto* pool = this->catalog.findPool(service.pool);
        if (pool && pool->targets != TargetKind::Executor)
            this->reportAtName("service " + name, "service \"" + name + "\" requires a pool of executors, but \"" + pool->name + "\" is a pool of workers");
    }
    for (const auto& [name, taskKind] : this->catalog.taskKinds) {
        const auto* pool = this->catalog.findPool(taskKind.pool);
        if (pool && pool->targets != TargetKind::Worker)
            this->reportAtName("taskKind " + name, "task kind \"" + name + "\" requires a pool of workers, but \"" + pool->name + "\" is a pool of executors");
    }
}

tl::expected<Catalog, Diagnostics> Catalog::create(const std::vector<SourceFile>& files)
{
    CatalogParser parser;
    for (const auto& file : files)
        parser.readFile(file);
    parser.checkReferences();
    parser.checkOverflowCycles();
    parser.checkTargetKinds();
    if (!parser.diagnostics.empty())
        return tl::unexpected(parser.diagnostics);
    return parser.catalog;
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
static void appendChanges(std::string_view kind, const Catalog::ByName<Object>& before, const Catalog::ByName<Object>& after, std::vector<std::string>& changes)
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
    appendChanges("failureDomain", before.failureDomains, after.failureDomains, changes);
    appendChanges("policy", before.policies, after.policies, changes);
    appendChanges("pool", before.pools, after.pools, changes);
    appendChanges("service", before.services, after.services, changes);
    appendChanges("taskKind", before.taskKinds, after.taskKinds, changes);
    appendChanges("team", before.teams, after.teams, changes);
    appendChanges("drain", before.drains, after.drains, changes);
    return changes;
}

}
