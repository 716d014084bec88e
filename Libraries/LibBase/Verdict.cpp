#include <LibBase/Verdict.h>

namespace Sassafrasshift {

std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

std::optional<Verdict> verdictFromString(std::string_view text)
{
    for (auto verdict : { Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran }) {
        if (toString(verdict) == text)
            return verdict;
    }
    return std::nullopt;
}

}
