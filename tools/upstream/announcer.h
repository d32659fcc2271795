#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Hyssophall {

/// Announces the instance to the fleet over HTTP, on a thread of its own.
class Announcer
{
public:
    struct Options {
        std::string service;
        std::string instanceId;
        std::string failureDomain;
        std::string host;
        std::uint16_t port = 0;
        std::uint32_t slots = 3;
        std::uint32_t connections = 400;
        std::uint64_t incarnation = 0;
        std::string token;
        /// Administration addresses of VMs; each announcement goes to the next one, as through a balancer.
        std::vector<std::string> targets;
        std::chrono::milliseconds interval{2000};
        std::chrono::milliseconds lease{10000};
    };

    explicit Announcer(Options options);
    ~Announcer();

    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

    /// Announces that the instance leaves: at once, and from then on.
    void leave();

    /// Announcements that a VM accepted.
    std::uint64_t acceptedCount() const;

private:
    void announceUntilStopped();
    bool announceOnce(const std::string &target, bool leaving);

    const Options options;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    bool leaving = false;
    bool announceNow = false;
    std::atomic<std::uint64_t> accepted{0};
    std::thread thread;
};

} // namespace Hyssophall
