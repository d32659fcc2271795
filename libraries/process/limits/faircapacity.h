#pragma once

#include "process/limits/adaptivelimit.h"
#include "process/limits/capacityqueue.h"
#include "process/limits/fairqueue.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Hyssophall {

/**
 * Limits the requests in flight to each service by an AdaptiveLimit and lets waiting requests proceed in the order of a FairQueue.
 *
 * Thread-safe. Must outlive its permits.
 */
class FairCapacity : public CapacityQueue
{
public:
    struct Options {
        SteadyClock clock;
        /// Initial limit of requests in flight from this VM to a service. A good estimate is the service's slots divided by the VMs that share them.
        std::function<double(const std::string &service)> initialLimit;
    };

    explicit FairCapacity(Options options);

    std::unique_ptr<Permit> acquire(const std::string &service, const std::string &team, double weight, SteadyTime deadline) override;

private:
    /// A request that waits in acquire().
    struct Waiter {
        std::condition_variable condition;
        bool hasTurn = false;
    };

    /// Limit and waiting requests of one service.
    struct ServiceState {
        explicit ServiceState(double initialLimit);

        std::mutex mutex;
        AdaptiveLimit limit;
        FairQueue queue;
        std::map<FairQueue::Ticket, Waiter *> waiters;
        std::size_t inFlight = 0;
    };

    class HeldPermit;

    ServiceState &stateOf(const std::string &service);
    void release(ServiceState &state, CapacitySignal signal);
    /// Lets waiting requests proceed while the limit allows it. The caller holds the mutex of @p state.
    static void admitWaiters(ServiceState &state);

    const Options options;
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<ServiceState>> services;
};

} // namespace Hyssophall
