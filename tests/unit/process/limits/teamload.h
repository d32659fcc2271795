#pragma once

#include "unit/process/fleet/simulatedfleet.h"

#include <algorithm>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace Hyssophall::Tests {

/// Calls of one team on the VMs of a simulated fleet. Each waits up to 250 ms for its token.
class TeamLoad
{
public:
    TeamLoad(SimulatedFleet &fleet, std::string team)
        : fleet(fleet)
        , team(std::move(team))
    {
    }

    /// Ends the calls that still wait, since the fleet returns the tokens of its VMs after this is destroyed.
    ~TeamLoad()
    {
        for (const Call &call : this->open) {
            if (this->fleet.isAlive(call.vm) && this->fleet.incarnationOf(call.vm) == call.incarnation) {
                this->fleet.node(call.vm).rateLimiter().endAcquire(this->team, *call.waiter);
            }
        }
    }
    TeamLoad(const TeamLoad &) = delete;
    TeamLoad &operator=(const TeamLoad &) = delete;

    /// Schedules @p perSecond calls per second on one VM for the next @p duration, at regular intervals, the first after @p phase intervals.
    void add(std::size_t vm, double perSecond, Milliseconds duration, double phase = 0.5)
    {
        const double period = 1000 / perSecond;
        for (double time = period * phase; time < static_cast<double>(duration.count()); time += period) {
            this->fleet.scheduleAfter(Milliseconds(static_cast<int>(time)), [this, vm] { this->call(vm); });
        }
    }

    void run(Milliseconds duration)
    {
        for (Milliseconds time(0); time < duration; time += Milliseconds(5)) {
            this->fleet.runFor(Milliseconds(5));
            this->collect();
        }
    }

    /// Greatest difference, over windows of any length, between the grants in the window and rate x length.
    double greatestExcess(double rate) const
    {
        double excess = 0;
        double lowest = 0;
        for (std::size_t index = 0; index < this->grants.size(); ++index) {
            const double accrued = rate * std::chrono::duration<double>(this->grants[index]).count();
            lowest = std::max(index == 0 ? accrued : lowest, accrued - static_cast<double>(index));
            excess = std::max(excess, static_cast<double>(index + 1) - accrued + lowest);
        }
        return excess;
    }

    std::size_t calls = 0;
    std::size_t limited = 0;
    std::size_t unavailable = 0;
    std::vector<std::chrono::nanoseconds> grants;

private:
    struct Call {
        std::size_t vm;
        std::uint64_t incarnation;
        std::chrono::nanoseconds deadline;
        std::unique_ptr<TokenWaiter> waiter;
    };

    void call(std::size_t vm)
    {
        if (!this->fleet.isRunning(vm)) {
            return;
        }
        ++this->calls;
        std::unique_ptr<TokenWaiter> waiter = std::make_unique<TokenWaiter>();
        if (this->fleet.node(vm).rateLimiter().beginAcquire(this->team, *waiter)) {
            this->grants.push_back(this->fleet.elapsed());
        } else {
            this->open.push_back(Call{vm, this->fleet.incarnationOf(vm), this->fleet.elapsed() + Milliseconds(250), std::move(waiter)});
        }
    }

    void collect()
    {
        std::erase_if(this->open, [this](const Call &call) {
            const bool lost = !this->fleet.isAlive(call.vm) || this->fleet.incarnationOf(call.vm) != call.incarnation;
            if (call.waiter->granted) {
                this->grants.push_back(this->fleet.elapsed());
            } else if (!lost && this->fleet.isRunning(call.vm) && this->fleet.elapsed() >= call.deadline) {
                const RateDecision decision = this->fleet.node(call.vm).rateLimiter().endAcquire(this->team, *call.waiter);
                ++(decision.kind == RateDecision::Kind::RateLimited ? this->limited : this->unavailable);
            } else {
                return lost;
            }
            return true;
        });
    }

    SimulatedFleet &fleet;
    std::string team;
    std::list<Call> open;
};

} // namespace Hyssophall::Tests
