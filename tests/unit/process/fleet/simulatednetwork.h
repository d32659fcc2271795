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

/// Carries calls between VMs on a simulated clock. A run is reproducible from its seed.
class SimulatedNetwork
{
public:
    /// One process on the network. Events scheduled for it are dropped once it has stopped.
    struct Endpoint {
        std::string address;
        bool running = true;
        FleetHandlers handlers;
    };

    explicit SimulatedNetwork(std::uint64_t seed)
        : generator(seed)
        , currentTime(std::chrono::hours(1))
    {
    }

    SteadyTime now() const
    {
        return this->currentTime;
    }

    void schedule(Endpoint *owner, std::chrono::microseconds delay, std::function<void()> action)
    {
        this->events.push({this->currentTime + delay, ++this->eventCount, owner, std::move(action)});
    }

    void run(std::chrono::milliseconds duration)
    {
        const SteadyTime end = this->currentTime + duration;
        while (!this->events.empty() && this->events.top().time <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->currentTime = event.time;
            if (event.owner->running) {
                event.action();
            }
        }
        this->currentTime = end;
    }

    /// Carries a call to @p address and its reply back. When a message is lost, the call fails at the caller after the timeout.
    template<typename Request, typename Reply>
    void call(Endpoint *caller,
        const std::string &address,
        const Request &request,
        std::chrono::milliseconds timeout,
        FleetTransport::Completion<Reply> done,
        std::function<Reply(const Request &)> FleetHandlers::*handler)
    {
        const auto failWithTimeout = [this, caller, timeout, done] { this->schedule(caller, timeout, [done] { done(boost::leaf::new_error()); }); };
        const std::map<std::string, Endpoint *>::iterator found = this->endpoints.find(address);
        if (found == this->endpoints.end() || this->blockedLinks.contains({caller->address, address})) {
            failWithTimeout();
            return;
        }
        Endpoint *called = found->second;
        this->schedule(called, this->latency(), [this, caller, called, request, done, failWithTimeout, handler] {
            const Reply reply = (called->handlers.*handler)(request);
            if (this->blockedLinks.contains({called->address, caller->address})) {
                failWithTimeout();
                return;
            }
            this->schedule(caller, this->latency(), [done, reply] { done(reply); });
        });
    }

    std::mt19937_64 generator;
    /// Running endpoints by address.
    std::map<std::string, Endpoint *> endpoints;
    /// Pairs of sender and receiver address between which all messages are lost.
    std::set<std::pair<std::string, std::string>> blockedLinks;
    std::uint64_t exchangedBytes = 0;
    /// When set, called with each gossip exchange and each reply to one.
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

    SteadyTime currentTime;
    std::priority_queue<Event> events;
    std::uint64_t eventCount = 0;
};

} // namespace Hyssophall
