#include "PeerMessages.h"

namespace Sassafrasshift::Daemon {

ProposeResponse ProposeResponse::create(uint64_t number, ErrorOr<std::string> result)
{
    ProposeResponse response;
    response.number = number;
    response.succeeded = result.has_value();
    if (result) {
        response.result = std::move(result).value();
        return response;
    }
    response.reason = result.error().reason;
    response.verdict = result.error().verdict;
    response.detail = result.error().detail;
    return response;
}

}
