#pragma once

#include <LibScheduler/ClockEcho.h>
#include <map>
#include <string>

namespace Sassafrasshift::Scheduler {

/// The clocks of the dispatchers' processes, as an entry host has heard them.
class ClockEchoes {
public:
    /// Records that a message of a member was received at `now` that carries its clock. Messages may overtake each other.
    void observe(const std::string& member, uint64_t incarnation, Milliseconds reading, Instant now);
    /// Returns the echo for a message to a member, stamped at `sentAt` by the clock of this host; an empty one if the member was not heard
    /// lately.
    [[nodiscard]] ClockEcho echoFor(const std::string& member, Milliseconds sentAt) const;

private:
    struct Known {
        uint64_t incarnation { 0 };
        Milliseconds reading { 0 };
        Milliseconds heardAt { 0 };
    };

    void forgetSilentMembers(Instant now);

    std::map<std::string, Known> knownByMember;
    Instant nextCleanup {};
};

}
