#include "process/forwarding/instancepathprobe.h"

#include <chrono>
#include <utility>

namespace Hyssophall {

namespace {

/// Two connections end a partition, so its end is noticed within about half a second.
constexpr std::chrono::milliseconds probeInterval{200};

} // namespace

InstancePathProbe::InstancePathProbe(Hooks hooks)
    : hooks(std::move(hooks))
    , thread([this] { this->run(); })
{
}

InstancePathProbe::~InstancePathProbe()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

void InstancePathProbe::wake()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->wakeRequested = true;
    }
    this->changed.notify_all();
}

void InstancePathProbe::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping) {
        this->changed.wait(lock, [this] { return this->stopping || this->wakeRequested; });
        this->wakeRequested = false;
        while (!this->stopping && this->hooks.isPartitioned()) {
            lock.unlock();
            const std::optional<Address> instance = this->hooks.chooseInstance();
            if (instance && this->hooks.canConnect(*instance)) {
                this->hooks.connected(instance->host);
            }
            lock.lock();
            this->changed.wait_for(lock, probeInterval, [this] { return this->stopping; });
        }
    }
}

} // namespace Hyssophall
