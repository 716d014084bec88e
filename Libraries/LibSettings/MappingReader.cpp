#include <LibBase/NearestName.h>
#include <LibSettings/MappingReader.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace Sassafrasshift::Settings {

struct Unit {
    std::string_view suffix;
    int64_t factor;
};

static constexpr std::array durationUnits { Unit { "ms", 1 }, Unit { "min", 60'000 }, Unit { "s", 1000 }, Unit { "h", 3'600'000 } };
static constexpr std::array byteUnits { Unit { "KiB", 1024 }, Unit { "MiB", 1024 * 1024 }, Unit { "GiB", 1024 * 1024 * 1024 }, Unit { "MB", 1'000'000 }, Unit { "B", 1 } };

struct MappingReader::Implementation {
    YAML::Node node;
    std::string file;
    Diagnostics* diagnostics;
    std::vector<std::string> knownKeys;

    // Records the key as known, so that reportUnexpectedKeys() accepts it.
    YAML::Node find(std::string_view key);
    std::string scalar(std::string_view key, bool required);
};

YAML::Node MappingReader::Implementation::find(std::string_view key)
{
    std::string name(key);
    if (std::find(this->knownKeys.begin(), this->knownKeys.end(), name) == this->knownKeys.end())
        this->knownKeys.push_back(name);
    if (!this->node.IsMap())
        return YAML::Node(YAML::NodeType::Undefined);
    const YAML::Node& constNode = this->node;
    return constNode[name];
}

MappingReader::MappingReader(const YAML::Node& node, std::string file, Diagnostics& diagnostics)
    : implementation(std::make_unique<Implementation>(Implementation { node, std::move(file), &diagnostics, {} }))
{
    if (!node.IsMap())
        this->report({}, "expected a mapping");
}

MappingReader::~MappingReader() = default;
MappingReader::MappingReader(MappingReader&&) noexcept = default;

SourceLocation MappingReader::location(std::string_view key) const
{
    auto mark = this->implementation->node.Mark();
    if (!key.empty()) {
        auto value = this->implementation->find(key);
        if (value.IsDefined())
            mark = value.Mark();
    }
    return SourceLocation { mark.line + 1, mark.column + 1 };
}

void MappingReader::report(std::string_view key, std::string message)
{
    auto [line, column] = this->location(key);
    this->implementation->diagnostics->push_back(Diagnostic { this->implementation->file, line, column, std::move(message) });
}

bool MappingReader::has(std::string_view key) const
{
    return this->implementation->find(key).IsDefined();
}

std::string MappingReader::text(std::string_view key, std::optional<std::string> fallback)
{
    auto value = this->implementation->find(key);
    if (!value.IsDefined()) {
        if (!fallback)
            this->report({}, "\"" + std::string(key) + "\" is missing");
        return fallback.value_or("");
    }
    if (!value.IsScalar() || value.Scalar().empty()) {
        this->report(key, "\"" + std::string(key) + "\" must be a non-empty string");
        return fallback.value_or("");
    }
    return value.Scalar();
}

int64_t MappingReader::integer(std::string_view key, int64_t minimum, int64_t maximum, std::optional<int64_t> fallback)
{
    if (!this->has(key) && fallback)
        return *fallback;
    auto content = this->text(key);
    if (content.empty())
        return fallback.value_or(minimum);
    int64_t result = 0;
    auto [end, code] = std::from_chars(content.data(), content.data() + content.size(), result);
    if (code == std::errc {} && end == content.data() + content.size() && result >= minimum && result <= maximum)
        return result;
    this->report(key, "\"" + std::string(key) + "\" must be an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum) + ", not \"" + content + "\"");
    return fallback.value_or(minimum);
}

double MappingReader::number(std::string_view key, double minimum, double maximum, std::optional<double> fallback)
{
    if (!this->has(key) && fallback)
        return *fallback;
    auto content = this->text(key);
    if (content.empty())
        return fallback.value_or(minimum);
    double result = 0;
    auto [end, code] = std::from_chars(content.data(), content.data() + content.size(), result);
    if (code == std::errc {} && end == content.data() + content.size() && result >= minimum && result <= maximum)
        return result;
    this->report(key, "\"" + std::string(key) + "\" must be a number from " + std::to_string(minimum) + " to " + std::to_string(maximum) + ", not \"" + content + "\"");
    return fallback.value_or(minimum);
}

bool MappingReader::boolean(std::string_view key, std::optional<bool> fallback)
{
    if (!this->has(key) && fallback)
        return *fallback;
    auto content = this->text(key);
    if (content == "true" || content == "false")
        return content == "true";
    if (!content.empty())
        this->report(key, "\"" + std::string(key) + "\" must be true or false, not \"" + content + "\"");
    return fallback.value_or(false);
}

static std::optional<int64_t> parseWithUnit(const std::string& content, std::span<const Unit> units)
{
    double amount = 0;
    auto [end, code] = std::from_chars(content.data(), content.data() + content.size(), amount);
    if (code != std::errc {} || !std::isfinite(amount) || amount < 0)
        return std::nullopt;
    auto suffix = std::string_view(end, static_cast<size_t>(content.data() + content.size() - end));
    for (const auto& unit : units) {
        if (unit.suffix == suffix && amount <= 9e18 / static_cast<double>(unit.factor))
            return std::llround(amount * static_cast<double>(unit.factor));
    }
    return std::nullopt;
}

Milliseconds MappingReader::duration(std::string_view key, Milliseconds minimum, Milliseconds maximum, std::optional<Milliseconds> fallback)
{
    if (!this->has(key) && fallback)
        return *fallback;
    auto content = this->text(key);
    if (content.empty())
        return fallback.value_or(minimum);
    auto result = parseWithUnit(content, durationUnits);
    if (result && *result >= minimum.count() && *result <= maximum.count())
        return Milliseconds(*result);
    this->report(key, "\"" + std::string(key) + "\" must be a duration from " + std::to_string(minimum.count()) + "ms to " + std::to_string(maximum.count()) + "ms, including a unit (ms, s, min, h), not \"" + content + "\"");
    return fallback.value_or(minimum);
}

int64_t MappingReader::bytes(std::string_view key, int64_t minimum, int64_t maximum, std::optional<int64_t> fallback)
{
    if (!this->has(key) && fallback)
        return *fallback;
    auto content = this->text(key);
    if (content.empty())
        return fallback.value_or(minimum);
    auto result = parseWithUnit(content, byteUnits);
    if (result && *result >= minimum && *result <= maximum)
        return *result;
    this->report(key, "\"" + std::string(key) + "\" must be a size from " + std::to_string(minimum) + "B to " + std::to_string(maximum) + "B, including a unit (B, KiB, MiB, GiB, MB), not \"" + content + "\"");
    return fallback.value_or(minimum);
}

std::string MappingReader::oneOf(std::string_view key, std::span<const std::string> choices, std::optional<std::string> fallback)
{
    if (!this->has(key) && fallback)
        return *fallback;
    auto content = this->text(key);
    if (std::find(choices.begin(), choices.end(), content) != choices.end())
        return content;
    if (!content.empty()) {
        std::string message = "\"" + content + "\" is not a valid value of \"" + std::string(key) + "\"; valid values are";
        for (const auto& choice : choices)
            message += " " + choice;
        this->report(key, message);
    }
    return fallback.value_or(choices.front());
}

std::vector<std::string> MappingReader::textList(std::string_view key)
{
    std::vector<std::string> result;
    auto value = this->implementation->find(key);
    if (!value.IsDefined())
        return result;
    if (!value.IsSequence()) {
        this->report(key, "\"" + std::string(key) + "\" must be a sequence");
        return result;
    }
    for (const auto& element : value) {
        if (element.IsScalar() && !element.Scalar().empty())
            result.push_back(element.Scalar());
        else
            this->report(key, "\"" + std::string(key) + "\" must contain only non-empty strings");
    }
    return result;
}

std::vector<MappingReader> MappingReader::mappings(std::string_view key)
{
    std::vector<MappingReader> result;
    auto value = this->implementation->find(key);
    if (!value.IsDefined() || !value.IsSequence()) {
        this->report(key, "\"" + std::string(key) + "\" must be a sequence of mappings");
        return result;
    }
    for (const auto& element : value)
        result.emplace_back(element, this->implementation->file, *this->implementation->diagnostics);
    return result;
}

std::optional<MappingReader> MappingReader::mapping(std::string_view key)
{
    auto value = this->implementation->find(key);
    if (!value.IsDefined())
        return std::nullopt;
    return MappingReader(value, this->implementation->file, *this->implementation->diagnostics);
}

void MappingReader::reportUnexpectedKeys()
{
    auto& state = *this->implementation;
    if (!state.node.IsMap())
        return;
    std::vector<std::string> seenKeys;
    for (const auto& pair : state.node) {
        auto key = pair.first.IsScalar() ? pair.first.Scalar() : std::string();
        auto mark = pair.first.Mark();
        auto addDiagnostic = [&](std::string message) {
            state.diagnostics->push_back(Diagnostic { state.file, mark.line + 1, mark.column + 1, std::move(message) });
        };
        if (std::find(seenKeys.begin(), seenKeys.end(), key) != seenKeys.end())
            addDiagnostic("duplicate key \"" + key + "\"");
        seenKeys.push_back(key);
        if (std::find(state.knownKeys.begin(), state.knownKeys.end(), key) != state.knownKeys.end())
            continue;
        auto nearest = nearestName(key, state.knownKeys);
        addDiagnostic("unknown key \"" + key + "\"" + (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?"));
    }
}

namespace {

// Counts the documents of a YAML text without building their nodes.
class DocumentCounter final : public YAML::EventHandler {
public:
    size_t documents { 0 };

    void OnDocumentStart(const YAML::Mark&) override { ++this->documents; }
    void OnDocumentEnd() override { }
    void OnNull(const YAML::Mark&, YAML::anchor_t) override { }
    void OnAlias(const YAML::Mark&, YAML::anchor_t) override { }
    void OnScalar(const YAML::Mark&, const std::string&, YAML::anchor_t, const std::string&) override { }
    void OnSequenceStart(const YAML::Mark&, const std::string&, YAML::anchor_t, YAML::EmitterStyle::value) override { }
    void OnSequenceEnd() override { }
    void OnMapStart(const YAML::Mark&, const std::string&, YAML::anchor_t, YAML::EmitterStyle::value) override { }
    void OnMapEnd() override { }
};

}

// The parser of yaml-cpp reports an endless sequence of documents for some malformed texts, such as a single comma.
// Every document after the first starts on a line of its own, so that the number of lines limits the number of documents.
static bool hasPlausibleDocumentCount(const std::string& text)
{
    auto lines = static_cast<size_t>(std::count(text.begin(), text.end(), '\n'));
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    DocumentCounter counter;
    while (parser.HandleNextDocument(counter)) {
        if (counter.documents > lines + 1)
            return false;
    }
    return true;
}

std::vector<YAML::Node> parseDocuments(const std::string& text, const std::string& file, Diagnostics& diagnostics)
{
    try {
        if (!hasPlausibleDocumentCount(text)) {
            diagnostics.push_back(Diagnostic { file, 1, 1, "invalid YAML: separator outside of a collection" });
            return {};
        }
        std::vector<YAML::Node> documents;
        for (const auto& node : YAML::LoadAll(text)) {
            if (!node.IsNull())
                documents.push_back(node);
        }
        return documents;
    } catch (const YAML::Exception& error) {
        diagnostics.push_back(Diagnostic { file, error.mark.line + 1, error.mark.column + 1, "invalid YAML: " + error.msg });
        return {};
    }
}

}
