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

/// The position of a value in its file. Lines and columns are counted from one.
struct SourceLocation {
    int line { 1 };
    int column { 1 };
};

/// Reads the values of one YAML mapping and collects all errors as diagnostics, so that they can be reported together.
///
/// A missing key reads as the fallback, and is an error if there is none. An invalid value is an error and reads as the
/// fallback too. Without a fallback, both read as the minimum, an empty string, false or the first choice.
class MappingReader {
public:
    MappingReader(const YAML::Node&, std::string file, Diagnostics&);
    ~MappingReader();
    MappingReader(MappingReader&&) noexcept;

    [[nodiscard]] std::string text(std::string_view key, std::optional<std::string> fallback = {});
    [[nodiscard]] int64_t integer(std::string_view key, int64_t minimum, int64_t maximum, std::optional<int64_t> fallback = {});
    [[nodiscard]] double number(std::string_view key, double minimum, double maximum, std::optional<double> fallback = {});
    [[nodiscard]] bool boolean(std::string_view key, std::optional<bool> fallback = {});
    /// Reads a duration with a unit, such as "250ms", "10s" or "2min".
    [[nodiscard]] Milliseconds duration(std::string_view key, Milliseconds minimum, Milliseconds maximum, std::optional<Milliseconds> fallback = {});
    /// Reads a size with a unit, such as "512B", "16MiB" or "256GiB", and returns it in bytes.
    [[nodiscard]] int64_t bytes(std::string_view key, int64_t minimum, int64_t maximum, std::optional<int64_t> fallback = {});
    [[nodiscard]] std::string oneOf(std::string_view key, std::span<const std::string> choices, std::optional<std::string> fallback = {});
    /// Reads a sequence of non-empty strings. A missing key reads as an empty list and is not an error.
    [[nodiscard]] std::vector<std::string> textList(std::string_view key);
    /// Returns one reader for each element of a sequence of mappings. A missing key is an error. The caller calls
    /// reportUnexpectedKeys() on each reader.
    [[nodiscard]] std::vector<MappingReader> mappings(std::string_view key);

    /// The mapping under a key, or nothing if the key is not set.
    [[nodiscard]] std::optional<MappingReader> mapping(std::string_view key);

    [[nodiscard]] bool has(std::string_view key) const;
    /// Returns the location of a key's value, or of the mapping if it has no such key.
    [[nodiscard]] SourceLocation location(std::string_view key = {}) const;
    /// Adds a diagnostic at the location of a key's value, or of the mapping if it has no such key.
    void report(std::string_view key, std::string message);

    /// Reports duplicate keys, and keys that no call has read, with the most similar known key as a suggestion. To be
    /// called after all values have been read.
    void reportUnexpectedKeys();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// Parses all documents of a YAML text, without empty ones. Invalid YAML adds one diagnostic and returns no documents.
[[nodiscard]] std::vector<YAML::Node> parseDocuments(const std::string& text, const std::string& file, Diagnostics&);

}
