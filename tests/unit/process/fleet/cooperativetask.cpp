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
        this->changed.wait(lock, [this] { return this->isBodyRunning; });
        lock.unlock();
        body();
        lock.lock();
        this->ended = true;
        this->isBodyRunning = false;
        this->changed.notify_all();
    })
{
}

CooperativeTask::~CooperativeTask()
{
    while (this->resume()) { }
    this->thread.join();
}

void CooperativeTask::switchThread(bool toBody)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->isBodyRunning = toBody;
    this->changed.notify_all();
    this->changed.wait(lock, [this, toBody] { return this->isBodyRunning != toBody; });
}

bool CooperativeTask::resume()
{
    if (!this->ended) {
        this->switchThread(true);
    }
    return !this->ended;
}

void CooperativeTask::pauseCurrent()
{
    currentTask->switchThread(false);
}

} // namespace Hyssophall::Tests
