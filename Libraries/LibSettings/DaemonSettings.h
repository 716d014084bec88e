#pragma once

#include <LibBase/Clock.h>
#include <LibSettings/Diagnostic.h>
#include <compare>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Sassafrasshift::Settings {

/// What a process knows of one entry host.
struct HostSettings {
    std::string name;
    std::string failureDomain;
    /// Where the other hosts reach it, as "address:port".
    std::string peerAddress;
    /// Where callers reach it, as "address:port".
    std::string callerAddress;
    /// Whether it keeps a replica of the ledger.
    bool replica { false };

    friend auto operator<=>(const HostSettings&, const HostSettings&) = default;
};

/// The settings of one sassafrasshiftd. The commented example in Base/ documents every key.
struct DaemonSettings {
    std::string host;
    /// Empty where the host has no disk.
    std::string dataFolder;
    /// Empty where the time line is kept in memory only.
    std::string timeLineFile;
    std::string logLevel;
    /// Bytes.
    int64_t maximumBody { 0 };
    Milliseconds heartbeatInterval { 0 };
    Milliseconds failureTimeout { 0 };
    Milliseconds targetLease { 0 };
    Milliseconds electionTimeout { 0 };
    Milliseconds shutdownTimeout { 0 };
    Milliseconds jobKeyRetention { 0 };
    std::vector<HostSettings> hosts;

    /// Checks the whole text. Fails with every fault that it has.
    [[nodiscard]] static tl::expected<DaemonSettings, Diagnostics> parse(const std::string& text, const std::string& file);

    /// The entry of `hosts` that describes this process.
    [[nodiscard]] const HostSettings& self() const;

    friend auto operator<=>(const DaemonSettings&, const DaemonSettings&) = default;
};

}
