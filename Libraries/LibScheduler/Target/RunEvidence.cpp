#include <LibScheduler/Target/RunEvidence.h>

namespace Sassafrasshift::Scheduler {

std::string_view toText(RunEndProof proof)
{
    switch (proof) {
    case RunEndProof::Listed:
        return "listed";
    case RunEndProof::Absent:
        return "absent";
    case RunEndProof::LeaseExpired:
        return "lease-expired";
    case RunEndProof::StartRefused:
        return "start-refused";
    case RunEndProof::StartNotSent:
        return "start-not-sent";
    }
    return "unknown";
}

}
