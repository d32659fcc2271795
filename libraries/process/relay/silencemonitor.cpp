#include "process/relay/silencemonitor.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// How often the time of the last message is checked within the shortest timeout.
constexpr int checksPerTimeout = 5;

} // namespace

SilenceMonitor::Watch::Watch(SilenceMonitor &monitor, std::uint64_t id)
    : monitor(monitor)
    , id(id)
{
}

SilenceMonitor::Watch::~Watch()
{
    this->monitor.remove(this->id);
}

SilenceMonitor::SilenceMonitor()
    : thread([this] { this->run(); })
{
}

SilenceMonitor::~SilenceMonitor()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

std::unique_ptr<SilenceMonitor::Watch> SilenceMonitor::watch(
    const std::atomic<SteadyTime::rep> &lastReceived, std::chrono::milliseconds timeout, std::function<void()> onSilence)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const bool wasIdle = this->entries.empty();
    this->entries[++this->lastId] = {&lastReceived, timeout, std::move(onSilence)};
    if (wasIdle) {
        this->changed.notify_all();
    }
    return std::make_unique<Watch>(*this, this->lastId);
}

void SilenceMonitor::remove(std::uint64_t id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->entries.erase(id);
}

void SilenceMonitor::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping) {
        if (this->entries.empty()) {
            this->changed.wait(lock, [this] { return this->stopping || !this->entries.empty(); });
        }
        const SteadyTime now = std::chrono::steady_clock::now();
        std::chrono::milliseconds shortest = std::chrono::milliseconds::max();
        for (const std::pair<const std::uint64_t, Entry> &entry : this->entries) {
            shortest = std::min(shortest, entry.second.timeout);
            if (now - SteadyTime(SteadyTime::duration(*entry.second.lastReceived)) > entry.second.timeout) {
                entry.second.onSilence();
            }
        }
        if (!this->stopping && !this->entries.empty()) {
            this->changed.wait_for(lock, shortest / checksPerTimeout, [this] { return this->stopping; });
        }
    }
}

} // namespace Hyssophall
