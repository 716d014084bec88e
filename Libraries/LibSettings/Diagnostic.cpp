#include <LibSettings/Diagnostic.h>
#include <algorithm>

namespace Sassafrasshift::Settings {

std::string Diagnostic::toText() const
{
    return this->file + ":" + std::to_string(this->line) + ":" + std::to_string(this->column) + ": " + this->message;
}

std::string toText(Diagnostics diagnostics)
{
    std::sort(diagnostics.begin(), diagnostics.end());
    std::string text;
    for (const auto& diagnostic : diagnostics)
        text += diagnostic.toText() + "\n";
    return text;
}

}
