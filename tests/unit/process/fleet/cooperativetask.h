#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Hyssophall::Tests {

/// Runs blocking code on a thread of its own, but only one thread runs at any time, so that a run depends on its seed alone.
class CooperativeTask
{
public:
    explicit CooperativeTask(std::function<void()> body);
    ~CooperativeTask();
    /// Lets the body run until it waits or ends. Returns false after its end.
    bool resume();
    /// Called by the body: lets the simulation go on.
    static void pauseCurrent();

private:
    void handOver(bool toBody);
    std::mutex mutex;
    std::condition_variable changed;
    bool bodyRuns = false;
    bool ended = false;
    std::thread thread;
};

} // namespace Hyssophall::Tests
