#pragma once

#include <LibBase/Error.h>
#include <LibCatalog/Catalog.h>
#include <LibDispatch/JobTypes.h>
#include <LibDurableState/Commands.h>
#include <LibTransport/HttpMessage.h>
#include <string>
#include <string_view>

namespace Sassafrasshift::Daemon {

/// A job as submitted by a caller.
struct JobSubmission {
    Dispatch::JobContent content;
    /// A hash of what the caller chose, by which reuse of the key for other content is detected.
    uint64_t contentHash { 0 };
    /// When the caller created the key, in milliseconds since the Unix epoch.
    int64_t createdAt { 0 };
};

/// Parses a submission and validates it against the configuration. Fails with Reason::InvalidInput, or with Reason::NotFound
/// if the task kind or the team does not exist.
[[nodiscard]] ErrorOr<JobSubmission> parseSubmission(const std::string& text, const Catalog::Catalog&, int64_t nowMilliseconds);

/// Returns whether a string is a valid job key: 1 to 128 ASCII letters, digits and "._~-", which need no escaping in a URL path.
[[nodiscard]] bool isValidJobKey(std::string_view);

[[nodiscard]] Transport::HttpResponse makeOutcomeResponse(const std::string& key, const DurableState::JobOutcome&);
[[nodiscard]] Transport::HttpResponse makeRunningResponse(const std::string& key, int status);

/// Builds the request that starts an attempt on its worker.
[[nodiscard]] Transport::HttpRequest makeTaskRequest(const std::string& key, uint64_t epoch, const Dispatch::JobContent&, const DurableState::Intent&);
/// Builds the request that asks a worker for the state of an attempt. The worker responds when the attempt has ended or `wait`
/// has elapsed.
[[nodiscard]] Transport::HttpRequest makeAttemptQuery(const std::string& key, uint64_t epoch, const DurableState::Intent&, Milliseconds wait);
/// Builds the request that stops an attempt on its worker.
[[nodiscard]] Transport::HttpRequest makeStopRequest(const std::string& key, uint64_t epoch, const DurableState::Intent&);

/// Extracts the answer of a task from a worker's response. Fails with the verdict that the worker gave, or Verdict::Ran if it gave
/// none; a failure to get a response is passed on.
[[nodiscard]] ErrorOr<std::string> parseTaskAnswer(const ErrorOr<Transport::HttpResponse>&);
/// Parses a worker's report on an attempt. An unknown state counts as Dispatch::AttemptState::Lost.
[[nodiscard]] ErrorOr<Dispatch::AttemptReport> parseAttemptReport(const ErrorOr<Transport::HttpResponse>&);

}
