#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace Hyssophall {

/// Running means of what the requests of each route came to on this VM. Not thread-safe.
class RouteStatistics
{
public:
    /// Takes a request that was answered with success.
    void add(const std::string &route, std::chrono::microseconds latency, std::size_t answerBytes);

    /// Usual size of an answer; zero before the first.
    std::size_t answerBytes(const std::string &route) const;

    /// How long an instance may take before the request had better be tried on another one; nothing while too few answers are known.
    std::optional<std::chrono::milliseconds> patience(const std::string &route) const;

private:
    struct Means {
        std::size_t answers = 0;
        std::chrono::duration<double, std::milli> latency{0};
        double bytes = 0;
    };

    std::map<std::string, Means> routes;
};

} // namespace Hyssophall
