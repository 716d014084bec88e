#include <LibSettings/Fault.h>
#include <algorithm>

namespace Sassafrasshift::Settings {

std::string Fault::toText() const
{
    return this->file + ":" + std::to_string(this->line) + ":" + std::to_string(this->column) + ": " + this->message;
}

std::string toText(Faults faults)
{
    std::sort(faults.begin(), faults.end());
    std::string text;
    for (const auto& fault : faults)
        text += fault.toText() + "\n";
    return text;
}

}
