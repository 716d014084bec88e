#pragma once

#include <LibCatalog/Objects.h>
#include <LibSettings/Diagnostic.h>
#include <compare>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace Sassafrasshift::Catalog {

/// A YAML file of named objects, exactly as the operator wrote it.
struct SourceFile {
    std::string name;
    std::string text;

    CODEC_FIELDS(name, text);
    friend auto operator<=>(const SourceFile&, const SourceFile&) = default;
};

/// A complete set of named objects whose references have been validated.
class Catalog {
public:
    /// Parses and validates all files as one set. Fails with a diagnostic for every error in them.
    [[nodiscard]] static tl::expected<Catalog, Settings::Diagnostics> create(const std::vector<SourceFile>&);

    [[nodiscard]] const Service* findService(std::string_view name) const;
    [[nodiscard]] const TaskKind* findTaskKind(std::string_view name) const;
    [[nodiscard]] const Pool* findPool(std::string_view name) const;
    [[nodiscard]] const Policy* findPolicy(std::string_view name) const;
    [[nodiscard]] const Team* findTeam(std::string_view name) const;
    [[nodiscard]] const FailureDomain* findFailureDomain(std::string_view name) const;
    [[nodiscard]] const Drain* findDrain(std::string_view targetIdentity) const;

    template <typename Object>
    using ByName = std::map<std::string, Object, std::less<>>;

    ByName<Service> services;
    ByName<TaskKind> taskKinds;
    ByName<Pool> pools;
    ByName<Policy> policies;
    ByName<Team> teams;
    ByName<FailureDomain> failureDomains;
    ByName<Drain> drains;

    friend bool operator==(const Catalog&, const Catalog&) = default;
};

/// Describes each object that differs between two sets, in the form "added service rota-desk".
[[nodiscard]] std::vector<std::string> describeChanges(const Catalog& before, const Catalog& after);

}
