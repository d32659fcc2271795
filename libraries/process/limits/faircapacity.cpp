#include "process/limits/faircapacity.h"

#include <utility>

namespace Hyssophall {

class FairCapacity::HeldPermit : public CapacityQueue::Permit
{
public:
    HeldPermit(FairCapacity &capacity, ServiceState &state)
        : capacity(capacity)
        , state(state)
    {
    }

    ~HeldPermit() override
    {
        if (!this->finished) {
            this->capacity.release(this->state, CapacitySignal::Neutral);
        }
    }

    HeldPermit(const HeldPermit &) = delete;
    HeldPermit &operator=(const HeldPermit &) = delete;

    void finish(CapacitySignal signal, std::chrono::microseconds) override
    {
        if (!this->finished) {
            this->finished = true;
            this->capacity.release(this->state, signal);
        }
    }

private:
    FairCapacity &capacity;
    ServiceState &state;
    bool finished = false;
};

FairCapacity::ServiceState::ServiceState(double initialLimit)
    : limit(initialLimit)
{
}

FairCapacity::FairCapacity(Options options)
    : options(std::move(options))
{
}

std::unique_ptr<CapacityQueue::Permit> FairCapacity::acquire(const std::string &service, const std::string &team, double weight, SteadyTime deadline)
{
    ServiceState &state = this->stateOf(service);
    std::unique_lock<std::mutex> lock(state.mutex);
    if (state.queue.empty() && static_cast<double>(state.inFlight) + 1 <= state.limit.limit()) {
        state.queue.charge(team, weight);
        ++state.inFlight;
        return std::make_unique<HeldPermit>(*this, state);
    }
    const std::optional<FairQueue::Ticket> ticket = state.queue.push(team, weight);
    if (!ticket) {
        return nullptr;
    }
    Waiter waiter;
    state.waiters[*ticket] = &waiter;
    waiter.condition.wait_until(lock, deadline, [&waiter] { return waiter.hasTurn; });
    if (!waiter.hasTurn) {
        state.waiters.erase(*ticket);
        state.queue.remove(team, *ticket);
        return nullptr;
    }
    return std::make_unique<HeldPermit>(*this, state);
}

FairCapacity::ServiceState &FairCapacity::stateOf(const std::string &service)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::unique_ptr<ServiceState> &state = this->services[service];
    if (!state) {
        state = std::make_unique<ServiceState>(this->options.initialLimit(service));
    }
    return *state;
}

void FairCapacity::release(ServiceState &state, CapacitySignal signal)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    state.limit.recordResult(signal, static_cast<double>(state.inFlight), this->options.clock());
    --state.inFlight;
    admitWaiters(state);
}

void FairCapacity::admitWaiters(ServiceState &state)
{
    while (!state.queue.empty() && static_cast<double>(state.inFlight) + 1 <= state.limit.limit()) {
        const std::optional<FairQueue::Ticket> ticket = state.queue.pop();
        const auto waiter = state.waiters.find(*ticket);
        waiter->second->hasTurn = true;
        waiter->second->condition.notify_one();
        state.waiters.erase(waiter);
        ++state.inFlight;
    }
}

} // namespace Hyssophall
