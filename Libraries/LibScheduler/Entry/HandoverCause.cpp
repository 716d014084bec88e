#include <LibScheduler/Entry/HandoverCause.h>

namespace Sassafrasshift::Scheduler {

std::string_view toText(HandoverCause::Kind kind)
{
    switch (kind) {
    case HandoverCause::Kind::First:
        return "first";
    case HandoverCause::Kind::DispatcherChanged:
        return "dispatcher-changed";
    case HandoverCause::Kind::DispatcherSilent:
        return "dispatcher-silent";
    case HandoverCause::Kind::UnknownThere:
        return "unknown-there";
    case HandoverCause::Kind::Refused:
        return "refused";
    case HandoverCause::Kind::Placed:
        return "placed";
    case HandoverCause::Kind::PlacedOtherwise:
        return "placed-otherwise";
    case HandoverCause::Kind::RequestUnanswered:
        return "request-unanswered";
    case HandoverCause::Kind::PlacementOutdated:
        return "placement-outdated";
    }
    return "unknown";
}

}
