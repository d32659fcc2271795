#include "process/limits/faircapacity.h"

#include <utility>

namespace Hyssophall {

class FairCapacity::HeldPermit : public CapacityQueue::Permit
{
public:
    HeldPermit(FairCapacity &capacity, Lane &lane)
        : capacity(capacity)
        , lane(lane)
    {
    }

    ~HeldPermit() override
    {
        if (!this->finished) {
            this->capacity.leave(this->lane, CapacitySignal::Neutral);
        }
    }

    HeldPermit(const HeldPermit &) = delete;
    HeldPermit &operator=(const HeldPermit &) = delete;

    void finish(CapacitySignal signal, std::chrono::microseconds) override
    {
        if (!this->finished) {
            this->finished = true;
            this->capacity.leave(this->lane, signal);
        }
    }

private:
    FairCapacity &capacity;
    Lane &lane;
    bool finished = false;
};

FairCapacity::Lane::Lane(double initialLimit)
    : limit(initialLimit)
{
}

FairCapacity::FairCapacity(Options options)
    : options(std::move(options))
{
}

std::unique_ptr<CapacityQueue::Permit> FairCapacity::enter(const std::string &service, const std::string &team, double weight, SteadyTime deadline)
{
    Lane &lane = this->laneOf(service);
    std::unique_lock<std::mutex> lock(lane.mutex);
    if (lane.queue.empty() && static_cast<double>(lane.inFlight) + 1 <= lane.limit.limit()) {
        lane.queue.charge(team, weight);
        ++lane.inFlight;
        return std::make_unique<HeldPermit>(*this, lane);
    }
    const std::optional<FairQueue::Ticket> ticket = lane.queue.push(team, weight);
    if (!ticket) {
        return nullptr;
    }
    Turn turn;
    lane.turns[*ticket] = &turn;
    turn.arrived.wait_until(lock, deadline, [&turn] { return turn.isHere; });
    if (!turn.isHere) {
        lane.turns.erase(*ticket);
        lane.queue.remove(team, *ticket);
        return nullptr;
    }
    return std::make_unique<HeldPermit>(*this, lane);
}

FairCapacity::Lane &FairCapacity::laneOf(const std::string &service)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::unique_ptr<Lane> &lane = this->lanes[service];
    if (!lane) {
        lane = std::make_unique<Lane>(this->options.initialLimit(service));
    }
    return *lane;
}

void FairCapacity::leave(Lane &lane, CapacitySignal signal)
{
    std::lock_guard<std::mutex> lock(lane.mutex);
    lane.limit.note(signal, static_cast<double>(lane.inFlight), this->options.clock());
    --lane.inFlight;
    giveTurns(lane);
}

void FairCapacity::giveTurns(Lane &lane)
{
    while (!lane.queue.empty() && static_cast<double>(lane.inFlight) + 1 <= lane.limit.limit()) {
        const std::optional<FairQueue::Ticket> ticket = lane.queue.pop();
        const auto turn = lane.turns.find(*ticket);
        turn->second->isHere = true;
        turn->second->arrived.notify_one();
        lane.turns.erase(turn);
        ++lane.inFlight;
    }
}

} // namespace Hyssophall
