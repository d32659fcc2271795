#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Hyssophall {

/**
 * Counters, histograms and gauges, written in the Prometheus text format (version 0.0.4 of the exposition formats).
 *
 * prometheus-cpp does the same, but its headers and those of ulfius can't be installed together on Debian 12. Thread-safe.
 */
class MetricRegistry
{
public:
    /// By label name.
    using Labels = std::map<std::string, std::string>;

    void addCounter(const std::string &name, const std::string &help);

    /// @p bounds are the upper bounds of the buckets in ascending order, in the metric's unit.
    void addHistogram(const std::string &name, const std::string &help, std::vector<double> bounds);

    /// The value is read whenever the text is made.
    void addGauge(const std::string &name, const std::string &help, std::function<double()> value);

    /// Adds to a counter; one that wasn't added before is ignored.
    void increment(const std::string &name, const Labels &labels, double amount = 1);

    /// Adds a value to a histogram; one that wasn't added before is ignored.
    void observe(const std::string &name, const Labels &labels, double value);

    std::string text() const;

private:
    struct Counter {
        std::string help;
        std::map<Labels, double> values;
    };

    struct Distribution {
        /// One more than there are bounds.
        std::vector<std::uint64_t> counts;
        double sum = 0;
    };

    struct Histogram {
        std::string help;
        std::vector<double> bounds;
        std::map<Labels, Distribution> values;
    };

    struct Gauge {
        std::string help;
        std::function<double()> value;
    };

    mutable std::mutex mutex;
    std::map<std::string, Counter> counters;
    std::map<std::string, Histogram> histograms;
    std::map<std::string, Gauge> gauges;
};

} // namespace Hyssophall
