#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace Hyssophall {

/// Exponentially weighted means of latency and response size of each route, from this VM's served requests. Not thread-safe.
class RouteStatistics
{
public:
    /// Adds a request that was served successfully. @p latency is that of its last try, @p responseBytes the size of the response.
    void add(const std::string &route, std::chrono::microseconds latency, std::size_t responseBytes);

    /// Mean size of a response in bytes; zero before the first.
    std::size_t responseBytes(const std::string &route) const;

    /// Timeout of one try, after which the request should be tried on another instance; nothing while too few responses are known.
    std::optional<std::chrono::milliseconds> perTryTimeout(const std::string &route) const;

private:
    struct Means {
        std::size_t responses = 0;
        std::chrono::duration<double, std::milli> latency{0};
        double bytes = 0;
    };

    std::map<std::string, Means> routes;
};

} // namespace Hyssophall
