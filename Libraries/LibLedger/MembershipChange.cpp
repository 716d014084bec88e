#include <LibLedger/MembershipChange.h>

namespace Sassafrasshift::Ledger {

std::string_view toString(MembershipChangeKind kind)
{
    switch (kind) {
    case MembershipChangeKind::Initial:
        return "initial";
    case MembershipChangeKind::Join:
        return "join";
    case MembershipChangeKind::Promotion:
        return "promotion";
    case MembershipChangeKind::Replacement:
        return "replacement";
    case MembershipChangeKind::Silence:
        return "silence";
    case MembershipChangeKind::Leave:
        return "leave";
    case MembershipChangeKind::Settlement:
        return "settlement";
    }
    return "unknown";
}

}
