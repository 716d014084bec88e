#pragma once

#include <LibBase/Clock.h>
#include <LibSettings/Diagnostic.h>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace YAML {
class Node;
}

namespace Sassafrasshift::Settings {

/// The place of a value in its file.
struct SourceLocation {
    int line { 1 };
    int column { 1 };
};

/// Reads the values of one YAML mapping and collects every fault, so that all can be reported at once.
///
/// A value that is absent or faulty reads as the given default. Keys that are never asked for are faults.
class MappingReader {
public:
    MappingReader(const YAML::Node&, std::string file, Diagnostics&);
    ~MappingReader();
    MappingReader(MappingReader&&) noexcept;

    [[nodiscard]] std::string text(std::string_view key, std::optional<std::string> fallback = {});
    [[nodiscard]] int64_t integer(std::string_view key, int64_t minimum, int64_t maximum, std::optional<int64_t> fallback = {});
    [[nodiscard]] double number(std::string_view key, double minimum, double maximum, std::optional<double> fallback = {});
    [[nodiscard]] bool boolean(std::string_view key, std::optional<bool> fallback = {});
    /// A duration with a unit, as in "250ms", "10s" or "2min".
    [[nodiscard]] Milliseconds duration(std::string_view key, Milliseconds minimum, Milliseconds maximum, std::optional<Milliseconds> fallback = {});
    /// A size with a unit, as in "512B", "16MiB" or "256GiB"; in bytes.
    [[nodiscard]] int64_t bytes(std::string_view key, int64_t minimum, int64_t maximum, std::optional<int64_t> fallback = {});
    [[nodiscard]] std::string oneOf(std::string_view key, std::span<const std::string> choices, std::optional<std::string> fallback = {});
    [[nodiscard]] std::vector<std::string> textList(std::string_view key);
    /// The mappings of a sequence, each to be read and finished in turn.
    [[nodiscard]] std::vector<MappingReader> mappings(std::string_view key);

    [[nodiscard]] bool has(std::string_view key) const;
    /// Where a key's value stands, or the mapping itself where there is no such key.
    [[nodiscard]] SourceLocation location(std::string_view key = {}) const;
    void report(std::string_view key, std::string message);

    /// Reports the keys that were never asked for, with the nearest key that was.
    void reportUnexpectedKeys();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// Parses the documents of one YAML text. A text that is not YAML gives one fault and no documents.
[[nodiscard]] std::vector<YAML::Node> parseDocuments(const std::string& text, const std::string& file, Diagnostics&);

}
