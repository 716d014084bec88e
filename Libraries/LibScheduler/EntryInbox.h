#pragma once

#include <LibScheduler/RenewSubmissions.h>
#include <LibScheduler/TaskScheduler.h>
#include <LibScheduler/TransitTimes.h>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Passes the messages of entry hosts to the scheduler of a dispatcher, but for those that were in transit for longer than entry hosts
/// allow for. A message is judged and takes effect at one reading of the clock, so that a halt of this process in between extends no
/// lease. It performs no I/O.
///
/// All messages of an entry host that is new here may have been delayed alike. So it is first asked for a renewal, whose round trip
/// bounds the transit times. Until then its submissions are held, and its renewals have no effect.
class EntryInbox {
public:
    /// Asks an entry host to renew its jobs; `number` identifies the renewal that answers.
    struct Request {
        std::string entry;
        uint64_t number { 0 };
    };

    enum class Result {
        Accepted,
        /// The message waits for a round trip.
        Held,
        Late,
    };

    explicit EntryInbox(Milliseconds maximumTransitTime);

    /// Records a message of any member that is not passed to the scheduler, so that its first submission can be compared with it.
    void observe(const std::string& member, uint64_t incarnation, Milliseconds sentAt, Instant now);
    [[nodiscard]] Result submit(TaskScheduler&, const std::string& entry, const Submission&, Instant now);
    /// Extends entry leases. Returns the listed jobs that the dispatcher does not know, or nothing if the renewal has no effect.
    [[nodiscard]] std::optional<std::vector<std::string>> renew(TaskScheduler&, const std::string& entry, const RenewSubmissions&, Instant now);
    /// Returns the requests to send.
    [[nodiscard]] std::vector<Request> takeRequests();
    /// How much longer the last submission or renewal was in transit than the fastest recent message of its sender.
    [[nodiscard]] Milliseconds excessOfLastMessage() const { return this->lastExcess; }

private:
    struct HeldSubmission {
        Submission submission;
        Instant receivedAt {};
    };

    /// An entry host that was asked for a renewal. The numbers of requests are times on the clock of this host, in milliseconds.
    struct NewEntry {
        uint64_t firstRequest { 0 };
        Instant lastRequestAt {};
        std::vector<HeldSubmission> held;
    };

    using Sender = std::pair<std::string, uint64_t>;

    NewEntry& request(const Sender&, Instant now);
    void recordRoundTrip(TaskScheduler&, const Sender&, const RenewSubmissions&, Instant now);
    /// Records a message, and returns whether it was in transit for no longer than entry hosts allow for.
    [[nodiscard]] bool isOnTime(const Sender&, Milliseconds::rep sentAt, Instant now);

    Milliseconds maximumTransitTime;
    Milliseconds lastExcess { 0 };
    TransitTimes transitTimes;
    std::map<Sender, NewEntry> newEntries;
    std::vector<Request> requests;
};

}
