#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Hyssophall::Tests {

/// Runs blocking code on its own thread. Only this thread or the simulation runs at any time, so that a run depends only on its seed.
class CooperativeTask
{
public:
    explicit CooperativeTask(std::function<void()> body);
    ~CooperativeTask();
    /// Runs the body until it calls pauseCurrent() or ends. Returns false once it has ended.
    bool resume();
    /// Called by the body: suspends it and continues the simulation.
    static void pauseCurrent();

private:
    void switchThread(bool toBody);
    std::mutex mutex;
    std::condition_variable changed;
    bool isBodyRunning = false;
    bool ended = false;
    std::thread thread;
};

} // namespace Hyssophall::Tests
