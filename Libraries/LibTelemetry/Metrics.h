#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Sassafrasshift::Telemetry {

/// Counters, gauges and latency histograms of one process, written in the Prometheus text format (version 0.0.4).
class Metrics {
public:
    Metrics();
    ~Metrics();

    /// Increments a counter. The name includes the labels, if any, as in requests_total{verdict="ran"}.
    void count(std::string_view name, uint64_t amount = 1);

    void setGauge(std::string_view name, double value);

    /// Records a duration in a histogram with logarithmic buckets. The name must not include labels.
    void observeMilliseconds(std::string_view name, double milliseconds);

    /// Returns the value of a counter, or 0 if nothing has been counted under that name.
    [[nodiscard]] uint64_t counter(std::string_view name) const;

    [[nodiscard]] std::string toPrometheusText() const;

private:
    struct LatencyHistogram;
    std::map<std::string, uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, std::unique_ptr<LatencyHistogram>, std::less<>> histograms;
};

}
