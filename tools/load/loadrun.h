#pragma once

#include "process/hooks.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Hyssophall {

/// Sends requests of one team over a number of connections, bounded in time and count, and counts the answers.
class LoadRun
{
public:
    struct Options {
        /// Each connection uses the next one.
        std::vector<std::string> urls;
        std::string method = "GET";
        std::string key;
        std::string body;
        /// Adds a fresh Idempotency-Key to each request.
        bool idempotencyKeys = false;
        int connections = 1;
        /// Requests a second over all connections; zero: as fast as answers come.
        double rate = 0;
        std::chrono::milliseconds duration{1000};
        std::uint64_t maximumRequests = 1000000;
        std::chrono::milliseconds timeout{15000};
    };

    explicit LoadRun(Options options);

    /// Runs to the end. {"requests","seconds","statuses":{},"refusals":{},"outcomes":{},"failed","latency_us":{"p50","p90","p99","max"}}
    nlohmann::json run();

private:
    struct Answer {
        long status = 0;
        std::string refusal;
        std::string outcome;
        std::chrono::microseconds latency{0};
    };

    void sendUntilDone(int connection, SteadyTime start);
    bool takeTurn(SteadyTime start, SteadyTime &due);
    void note(const Answer &answer);
    nlohmann::json summary(std::chrono::duration<double> taken) const;

    const Options options;
    std::atomic<std::uint64_t> taken{0};
    std::mutex mutex;
    std::map<std::string, std::uint64_t> statuses;
    std::map<std::string, std::uint64_t> refusals;
    std::map<std::string, std::uint64_t> outcomes;
    std::vector<std::chrono::microseconds> latencies;
    std::uint64_t failed = 0;
};

} // namespace Hyssophall
