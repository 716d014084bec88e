#pragma once

#include <LibBase/Clock.h>
#include <compare>
#include <string>
#include <vector>

namespace Sassafrasshift::Scheduler {

/// What the home of jobs has learned or decided; logged to diagnose failures.
struct HomeEvent {
    enum class Kind {
        /// A new home has begun to decide about first submissions.
        Ready,
        /// A job that has an owner was requested by another entry host.
        RequestedAgain,
        /// A first submission was refused since there was no room for another record.
        Refused,
    };

    Kind kind { Kind::Ready };
    /// For `Ready`: what ended the wait. For `RequestedAgain`: what the home has answered. For `Refused`: whether the
    /// job may have run.
    std::string cause;
    /// The time since the home has begun.
    Milliseconds sinceBegin { 0 };
    /// For `Ready`: the addresses of the hosts that had not told which jobs they have.
    std::vector<std::string> unheard {};
    /// For `RequestedAgain`.
    std::string job {};
    std::string formerEntry {};
    std::string entry {};
    std::string shard {};

    friend auto operator<=>(const HomeEvent&, const HomeEvent&) = default;
};

}
