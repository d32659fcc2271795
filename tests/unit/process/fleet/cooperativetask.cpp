#include "cooperativetask.h"

#include <utility>

namespace Hyssophall::Tests {

namespace {

thread_local CooperativeTask *currentTask = nullptr;

} // namespace

CooperativeTask::CooperativeTask(std::function<void()> body)
    : thread([this, body = std::move(body)] {
        currentTask = this;
        std::unique_lock<std::mutex> lock(this->mutex);
        this->changed.wait(lock, [this] { return this->bodyRuns; });
        lock.unlock();
        body();
        lock.lock();
        this->ended = true;
        this->bodyRuns = false;
        this->changed.notify_all();
    })
{
}

CooperativeTask::~CooperativeTask()
{
    while (this->resume()) { }
    this->thread.join();
}

void CooperativeTask::handOver(bool toBody)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->bodyRuns = toBody;
    this->changed.notify_all();
    this->changed.wait(lock, [this, toBody] { return this->bodyRuns != toBody; });
}

bool CooperativeTask::resume()
{
    if (!this->ended) {
        this->handOver(true);
    }
    return !this->ended;
}

void CooperativeTask::pauseCurrent()
{
    currentTask->handOver(false);
}

} // namespace Hyssophall::Tests
