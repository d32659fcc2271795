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

/// Gives each service's capacity on this VM to the teams in turn, by their weights. Thread-safe; outlives its permits.
class FairCapacity : public CapacityQueue
{
public:
    struct Options {
        SteadyClock clock;
        /// Requests that this VM may have in flight to a service at first; its slots over the VMs that share them is a good guess.
        std::function<double(const std::string &service)> initialLimit;
    };

    explicit FairCapacity(Options options);

    std::unique_ptr<Permit> enter(const std::string &service, const std::string &team, double weight, SteadyTime deadline) override;

private:
    struct Turn {
        std::condition_variable arrived;
        bool isHere = false;
    };

    struct Lane {
        explicit Lane(double initialLimit);

        std::mutex mutex;
        AdaptiveLimit limit;
        FairQueue queue;
        std::map<FairQueue::Ticket, Turn *> turns;
        std::size_t inFlight = 0;
    };

    class HeldPermit;

    Lane &laneOf(const std::string &service);
    void leave(Lane &lane, CapacitySignal signal);
    static void giveTurns(Lane &lane);

    const Options options;
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<Lane>> lanes;
};

} // namespace Hyssophall
