#pragma once

#include <LibBase/Clock.h>
#include <LibSettings/Diagnostic.h>
#include <compare>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Sassafrasshift::CommandLine {

/// A distribution of run times: uniform between the bounds.
struct RunTimeRange {
    Milliseconds minimum { 50 };
    Milliseconds maximum { 1000 };

    friend auto operator<=>(const RunTimeRange&, const RunTimeRange&) = default;
};

/// An open-loop workload: work arrives at its own times, whatever becomes of what came before.
struct LoadProfile {
    std::string name;
    Milliseconds duration { 0 };
    uint64_t seed { 1 };
    std::vector<std::string> teams;
    /// How long a caller waits for an answer.
    Milliseconds patience { 0 };

    std::string service;
    bool serviceIdempotent { false };
    /// Requests a second.
    double requestRate { 0 };
    RunTimeRange requestRunTime;
    int64_t bodyBytes { 0 };

    std::string taskKind;
    /// Jobs a second.
    double jobRate { 0 };
    int64_t minimumWidth { 1 };
    int64_t maximumWidth { 1 };
    RunTimeRange taskRunTime;
    /// Shares of the jobs.
    double resubmitShare { 0 };
    double cancelShare { 0 };

    /// Every so often, the rates grow by a factor for some time; zero for never.
    Milliseconds burstInterval { 0 };
    Milliseconds burstLength { 0 };
    double burstFactor { 1 };

    [[nodiscard]] static tl::expected<LoadProfile, Settings::Diagnostics> parse(const std::string& text, const std::string& file);

    friend auto operator<=>(const LoadProfile&, const LoadProfile&) = default;
};

}
