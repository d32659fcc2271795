#include "process/telemetry/metricregistry.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace Hyssophall {

namespace {

std::string numberText(double number)
{
    std::array<char, 32> text{};
    const std::to_chars_result written = std::to_chars(text.data(), text.data() + text.size(), number);
    return std::string(text.data(), written.ptr);
}

/// Backslashes, line ends and, in label values, quotes have to be escaped.
std::string escaped(const std::string &text, bool isLabelValue)
{
    std::string result;
    for (const char byte : text) {
        if (byte == '\\' || (byte == '"' && isLabelValue)) {
            result += '\\';
        }
        result += byte == '\n' ? std::string("\\n") : std::string(1, byte);
    }
    return result;
}

std::string headText(const std::string &name, const std::string &help, const std::string &type)
{
    return "# HELP " + name + " " + escaped(help, false) + "\n# TYPE " + name + " " + type + "\n";
}

std::string sampleText(const std::string &name, const MetricRegistry::Labels &labels, const std::string &value)
{
    std::string text = name;
    std::string separator = "{";
    for (const std::pair<const std::string, std::string> &label : labels) {
        text += separator + label.first + "=\"" + escaped(label.second, true) + "\"";
        separator = ",";
    }
    return text + (labels.empty() ? "" : "}") + " " + value + "\n";
}

} // namespace

void MetricRegistry::addCounter(const std::string &name, const std::string &help)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->counters[name].help = help;
}

void MetricRegistry::addHistogram(const std::string &name, const std::string &help, std::vector<double> bounds)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->histograms[name] = Histogram{help, std::move(bounds), {}};
}

void MetricRegistry::addGauge(const std::string &name, const std::string &help, std::function<double()> value)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->gauges[name] = Gauge{help, std::move(value)};
}

void MetricRegistry::increment(const std::string &name, const Labels &labels, double amount)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const auto counter = this->counters.find(name);
    if (counter != this->counters.end()) {
        counter->second.values[labels] += amount;
    }
}

void MetricRegistry::observe(const std::string &name, const Labels &labels, double value)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const auto histogram = this->histograms.find(name);
    if (histogram == this->histograms.end()) {
        return;
    }
    const std::vector<double> &bounds = histogram->second.bounds;
    Distribution &distribution = histogram->second.values[labels];
    distribution.counts.resize(bounds.size() + 1);
    ++distribution.counts[static_cast<std::size_t>(std::lower_bound(bounds.begin(), bounds.end(), value) - bounds.begin())];
    distribution.sum += value;
}

std::string MetricRegistry::text() const
{
    std::map<std::string, Gauge> read;
    std::string text;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        read = this->gauges;
        for (const std::pair<const std::string, Counter> &counter : this->counters) {
            text += headText(counter.first, counter.second.help, "counter");
            for (const std::pair<const Labels, double> &value : counter.second.values) {
                text += sampleText(counter.first, value.first, numberText(value.second));
            }
        }
        for (const std::pair<const std::string, Histogram> &histogram : this->histograms) {
            text += headText(histogram.first, histogram.second.help, "histogram");
            for (const std::pair<const Labels, Distribution> &value : histogram.second.values) {
                std::uint64_t total = 0;
                for (std::size_t bucket = 0; bucket < value.second.counts.size(); ++bucket) {
                    total += value.second.counts[bucket];
                    Labels labels = value.first;
                    labels["le"] = bucket < histogram.second.bounds.size() ? numberText(histogram.second.bounds[bucket]) : "+Inf";
                    text += sampleText(histogram.first + "_bucket", labels, std::to_string(total));
                }
                text += sampleText(histogram.first + "_sum", value.first, numberText(value.second.sum));
                text += sampleText(histogram.first + "_count", value.first, std::to_string(total));
            }
        }
    }
    // Gauges read other parts of the process, which may be counting at the same time.
    for (const std::pair<const std::string, Gauge> &gauge : read) {
        text += headText(gauge.first, gauge.second.help, "gauge") + sampleText(gauge.first, {}, numberText(gauge.second.value()));
    }
    return text;
}

} // namespace Hyssophall
