#pragma once

#include "request/requestrecord.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Hyssophall {

/// The name of a try's outcome in metrics and spans.
std::string_view tryOutcomeName(TryOutcome outcome);

/// Counts finished requests for the monitoring system. Thread-safe.
class RequestMetrics : public RequestObserver
{
public:
    /// Teams beyond this number are counted together, so that the text doesn't grow with the catalogue's 240,000 teams.
    static constexpr std::size_t maximumTeams = 500;
    static constexpr std::size_t maximumRoutes = 2000;

    RequestMetrics();
    ~RequestMetrics() override;

    void requestFinished(const RequestRecord &record) override;

    /// Adds a value that is read whenever the text is made.
    void addGauge(const std::string &name, const std::string &help, std::function<double()> value);

    /// All metrics in the Prometheus text format.
    std::string text();

private:
    class Families;

    const std::unique_ptr<Families> families;
};

} // namespace Hyssophall
