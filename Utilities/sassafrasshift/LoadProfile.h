#pragma once

#include <LibBase/Clock.h>
#include <LibSettings/Diagnostic.h>
#include <compare>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Sassafrasshift::CommandLine {

/// A uniform distribution of run times between two bounds.
struct RunTimeRange {
    Milliseconds minimum { 50 };
    Milliseconds maximum { 1000 };

    friend auto operator<=>(const RunTimeRange&, const RunTimeRange&) = default;
};

/// An open-loop workload: arrival times do not depend on the completion of earlier work.
struct LoadProfile {
    std::string name;
    Milliseconds duration { 0 };
    uint64_t seed { 1 };
    /// Each request and job is sent for a random one of these teams; empty to send no team.
    std::vector<std::string> teams;
    /// How long the client waits for a response.
    Milliseconds patience { 0 };

    std::string service;
    bool serviceIdempotent { false };
    /// Requests per second.
    double requestRate { 0 };
    RunTimeRange requestRunTime;
    int64_t bodyBytes { 0 };

    std::string taskKind;
    /// Jobs per second.
    double jobRate { 0 };
    /// Bounds of the number of tasks in a job.
    int64_t minimumWidth { 1 };
    int64_t maximumWidth { 1 };
    RunTimeRange taskRunTime;
    /// Fractions of the jobs that are submitted a second time, and that are canceled.
    double resubmitShare { 0 };
    double cancelShare { 0 };

    /// Each interval starts with a burst, which lasts `burstLength` and multiplies both rates by `burstFactor`. An interval of
    /// zero disables bursts.
    Milliseconds burstInterval { 0 };
    Milliseconds burstLength { 0 };
    double burstFactor { 1 };

    /// Parses and validates a profile. Fails with a diagnostic for every error in the text.
    [[nodiscard]] static tl::expected<LoadProfile, Settings::Diagnostics> parse(const std::string& text, const std::string& file);

    friend auto operator<=>(const LoadProfile&, const LoadProfile&) = default;
};

}
