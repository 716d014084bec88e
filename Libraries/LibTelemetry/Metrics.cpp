#include <LibTelemetry/Metrics.h>
#include <boost/histogram.hpp>
#include <sstream>

namespace Sassafrasshift::Telemetry {

using LogarithmicAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using BoostHistogram = decltype(boost::histogram::make_histogram(LogarithmicAxis()));

struct Metrics::LatencyHistogram {
    // The buckets cover 0.1 ms to 100 s, with eight buckets per power of ten.
    BoostHistogram bins { boost::histogram::make_histogram(LogarithmicAxis(48, 0.1, 100'000.0)) };
    double sum { 0 };
    uint64_t count { 0 };
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

template <typename Value, typename Map>
static Value& findOrCreate(Map& map, std::string_view name)
{
    auto position = map.find(name);
    if (position == map.end())
        position = map.emplace(std::string(name), Value {}).first;
    return position->second;
}

void Metrics::count(std::string_view name, uint64_t amount)
{
    findOrCreate<uint64_t>(this->counters, name) += amount;
}

void Metrics::setGauge(std::string_view name, double value)
{
    findOrCreate<double>(this->gauges, name) = value;
}

void Metrics::observeMilliseconds(std::string_view name, double milliseconds)
{
    auto& histogram = findOrCreate<std::unique_ptr<LatencyHistogram>>(this->histograms, name);
    if (!histogram)
        histogram = std::make_unique<LatencyHistogram>();
    histogram->bins(milliseconds);
    histogram->sum += milliseconds;
    ++histogram->count;
}

uint64_t Metrics::counter(std::string_view name) const
{
    auto position = this->counters.find(name);
    return position == this->counters.end() ? 0 : position->second;
}

static std::string familyOf(const std::string& name)
{
    return name.substr(0, name.find('{'));
}

template <typename Map>
static void writeFamilies(std::ostream& out, const Map& map, std::string_view type)
{
    std::string previous;
    for (const auto& [name, value] : map) {
        auto family = familyOf(name);
        if (family != previous)
            out << "# TYPE sassafrasshift_" << family << ' ' << type << '\n';
        previous = family;
        out << "sassafrasshift_" << name << ' ' << value << '\n';
    }
}

std::string Metrics::toPrometheusText() const
{
    std::ostringstream out;
    writeFamilies(out, this->counters, "counter");
    writeFamilies(out, this->gauges, "gauge");
    for (const auto& [name, histogram] : this->histograms) {
        out << "# TYPE sassafrasshift_" << name << " histogram\n";
        // The underflow bin, at index -1, counts the durations below the lower bound of the first bucket.
        double cumulative = histogram->bins.at(-1);
        for (const auto& bin : boost::histogram::indexed(histogram->bins)) {
            cumulative += *bin;
            out << "sassafrasshift_" << name << "_bucket{le=\"" << bin.bin().upper() << "\"} " << cumulative << '\n';
        }
        out << "sassafrasshift_" << name << "_bucket{le=\"+Inf\"} " << histogram->count << '\n';
        out << "sassafrasshift_" << name << "_sum " << histogram->sum << '\n';
        out << "sassafrasshift_" << name << "_count " << histogram->count << '\n';
    }
    return out.str();
}

}
