#pragma once

#include "process/hooks.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace Hyssophall {

/// Watches any number of streams for silence with one thread, so that a relay with many streams doesn't wake a thread for each. Thread-safe.
class SilenceMonitor
{
public:
    /// Ends the watch when it is destroyed. The callback isn't running any more then.
    class Watch
    {
    public:
        Watch(SilenceMonitor &monitor, std::uint64_t id);
        ~Watch();
        Watch(const Watch &) = delete;
        Watch &operator=(const Watch &) = delete;

    private:
        SilenceMonitor &monitor;
        const std::uint64_t id;
    };

    SilenceMonitor();
    ~SilenceMonitor();
    SilenceMonitor(const SilenceMonitor &) = delete;
    SilenceMonitor &operator=(const SilenceMonitor &) = delete;

    /// Calls @p onSilence, repeatedly and with a lock held, while the time in @p lastReceived is more than @p timeout ago. It must not block.
    /// @p lastReceived is the SteadyTime::rep of the last message and must outlive the watch.
    std::unique_ptr<Watch> watch(const std::atomic<SteadyTime::rep> &lastReceived, std::chrono::milliseconds timeout, std::function<void()> onSilence);

private:
    struct Entry {
        const std::atomic<SteadyTime::rep> *lastReceived = nullptr;
        std::chrono::milliseconds timeout{0};
        std::function<void()> onSilence;
    };

    void run();
    void remove(std::uint64_t id);

    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    std::uint64_t lastId = 0;
    std::map<std::uint64_t, Entry> entries;
    std::thread thread;
};

} // namespace Hyssophall
