#pragma once

#include <LibScheduler/Dispatcher/RenewSubmissions.h>
#include <LibScheduler/Dispatcher/TaskScheduler.h>
#include <LibScheduler/Dispatcher/TransitTimes.h>
#include <LibScheduler/Home/JobHome.h>
#include <optional>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// Passes the messages of entry hosts to the home and the scheduler of a dispatcher, but for those that were in transit for longer than
/// entry hosts allow for. A message is judged and takes effect at one reading of the clock, so that a halt of this process in between extends no
/// lease. It performs no I/O.
///
/// All messages of an entry host that is new here may have been delayed alike. Until it is confirmed, its leases count from the earliest moment
/// at which the message that extends them can have been sent, by the reading of the clock that it echoes.
class EntryInbox {
public:
    explicit EntryInbox(Milliseconds maximumTransitTime, uint64_t ownIncarnation);

    /// Records a message of any member that is not passed to the scheduler, so that its first submission can be compared with it. Returns how
    /// much longer it was in transit than the fastest recent one.
    Milliseconds observe(const std::string& member, uint64_t incarnation, Milliseconds sentAt, Instant now);
    /// Submits a job. `from` is its entry host, or the dispatcher that has relayed its request. Returns whether the submission was on time.
    [[nodiscard]] bool submit(JobHome&, TaskScheduler&, const std::string& from, const Submission&, Instant now);
    /// Extends entry leases. Returns the listed jobs that the dispatcher does not know, or nothing if the renewal was not on time.
    [[nodiscard]] std::optional<std::vector<std::string>> renew(JobHome&, TaskScheduler&, const std::string& entry, const RenewSubmissions&, Instant now);
    /// How much longer the last submission or renewal was in transit than the fastest recent message of its sender; the upper bound of its time
    /// in transit if it was ignored for that.
    [[nodiscard]] Milliseconds excessOfLastMessage() const { return this->lastExcess; }

private:
    /// What is used up of the lease that a message extends; nothing if the message was not on time.
    [[nodiscard]] std::optional<Milliseconds> leaseAge(const std::string& entry, uint64_t incarnation, Milliseconds sentAt, const ClockEcho&, Instant now);

    Milliseconds maximumTransitTime;
    uint64_t ownIncarnation;
    Milliseconds lastExcess { 0 };
    TransitTimes transitTimes;
};

}
