#pragma once

#include <LibBase/Error.h>
#include <LibCatalog/Catalog.h>
#include <LibDispatch/JobTypes.h>
#include <LibDurableState/Commands.h>
#include <LibTransport/HttpMessage.h>
#include <string>
#include <string_view>

namespace Sassafrasshift::Daemon {

/// A job as a caller submits it.
struct JobSubmission {
    Dispatch::JobContent content;
    uint64_t contentHash { 0 };
    int64_t createdAt { 0 };
};

/// Checks a submission against the configuration. Fails with what is wrong with it.
[[nodiscard]] ErrorOr<JobSubmission> parseSubmission(const std::string& body, const Catalog::Catalog&, int64_t nowMilliseconds);

/// Whether a text may be the key of a job: 1 to 128 letters, digits and "._~-", which need no escape in a path.
[[nodiscard]] bool isValidJobKey(std::string_view);

[[nodiscard]] Transport::HttpResponse makeOutcomeResponse(const std::string& key, const DurableState::JobOutcome&);
[[nodiscard]] Transport::HttpResponse makeRunningResponse(const std::string& key, int status);

/// The request that starts an attempt on its worker.
[[nodiscard]] Transport::HttpRequest makeTaskRequest(const std::string& key, uint64_t epoch, const Dispatch::JobContent&, const DurableState::Intent&);
/// The request that asks a worker what became of an attempt; the worker answers once it has ended, or after the wait.
[[nodiscard]] Transport::HttpRequest makeAttemptQuery(const std::string& key, uint64_t epoch, const DurableState::Intent&, Milliseconds wait);
[[nodiscard]] Transport::HttpRequest makeStopRequest(const std::string& key, uint64_t epoch, const DurableState::Intent&);

/// What a worker's answer to a task means.
[[nodiscard]] ErrorOr<std::string> parseTaskAnswer(const ErrorOr<Transport::HttpResponse>&);
[[nodiscard]] ErrorOr<Dispatch::AttemptReport> parseAttemptReport(const ErrorOr<Transport::HttpResponse>&);

}
