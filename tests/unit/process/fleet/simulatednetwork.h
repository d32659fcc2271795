#pragma once

#include "process/fleet/fleettransport.h"
#include "process/hooks.h"

#include <boost/leaf/error.hpp>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace Hyssophall {

/// Carries calls between VMs on a simulated clock; exactly reproducible from the seed.
class SimulatedNetwork
{
public:
    /// One process on the network; what is scheduled for it is dropped once it stopped.
    struct Endpoint {
        std::string address;
        bool running = true;
        FleetHandlers handlers;
    };

    explicit SimulatedNetwork(std::uint64_t seed)
        : generator(seed)
        , present(std::chrono::hours(1))
    {
    }

    SteadyTime now() const
    {
        return this->present;
    }

    void schedule(Endpoint *owner, std::chrono::microseconds delay, std::function<void()> action)
    {
        this->events.push({this->present + delay, ++this->eventCount, owner, std::move(action)});
    }

    void run(std::chrono::milliseconds duration)
    {
        const SteadyTime end = this->present + duration;
        while (!this->events.empty() && this->events.top().time <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->present = event.time;
            if (event.owner->running) {
                event.action();
            }
        }
        this->present = end;
    }

    /// Carries a call there and its answer back; a lost message shows as a timeout at the caller.
    template<typename Request, typename Reply>
    void call(Endpoint *caller,
        const std::string &address,
        const Request &request,
        std::chrono::milliseconds timeout,
        FleetTransport::Completion<Reply> done,
        std::function<Reply(const Request &)> FleetHandlers::*handler)
    {
        const auto lose = [this, caller, timeout, done] { this->schedule(caller, timeout, [done] { done(boost::leaf::new_error()); }); };
        const std::map<std::string, Endpoint *>::iterator found = this->endpoints.find(address);
        if (found == this->endpoints.end() || this->cuts.contains({caller->address, address})) {
            lose();
            return;
        }
        Endpoint *called = found->second;
        this->schedule(called, this->latency(), [this, caller, called, request, done, lose, handler] {
            const Reply reply = (called->handlers.*handler)(request);
            if (this->cuts.contains({called->address, caller->address})) {
                lose();
                return;
            }
            this->schedule(caller, this->latency(), [done, reply] { done(reply); });
        });
    }

    std::mt19937_64 generator;
    /// Running endpoints by address.
    std::map<std::string, Endpoint *> endpoints;
    /// Directions, from and to, in which all messages are lost.
    std::set<std::pair<std::string, std::string>> cuts;
    std::uint64_t exchangedBytes = 0;
    /// Sees each exchange and each answer to one when set.
    std::function<void(const FleetMessages::ExchangeMessage &)> observeExchange;
    std::uint64_t largestExchange = 0;

private:
    struct Event {
        SteadyTime time;
        std::uint64_t order;
        Endpoint *owner;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::pair(this->time, this->order) > std::pair(other.time, other.order);
        }
    };

    std::chrono::microseconds latency()
    {
        return std::chrono::microseconds(500 + this->generator() % 1000);
    }

    SteadyTime present;
    std::priority_queue<Event> events;
    std::uint64_t eventCount = 0;
};

} // namespace Hyssophall
