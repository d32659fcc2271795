#pragma once

#include "process/health/instanceselector.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace HyssophallTest {

/**
 * Simulates a service of a relayed fleet whose instances fail for a time by themselves, again and again, and to which instances are added.
 *
 * Each VM chooses instances by what it does itself and by what it hears of the others. Instances fail most of their requests while they are gray and
 * none otherwise. Those that were there from the beginning are gray for half of the time, added ones for 30 % of it.
 */
class SpreadService
{
public:
    struct Options {
        std::uint64_t seed = 1;
        std::size_t vms = 24;
        std::size_t instances = 49;
        std::size_t added = 15;
        std::chrono::milliseconds addedAt{4800};
        double requestsPerSecond = 300;
        std::chrono::milliseconds end{20000};
    };

    /// What happened to the added instances in two seconds.
    struct Window {
        std::chrono::milliseconds start;
        /// Added instances that weren't gray from 2 s before the window to its end, and those of them that got a request in it.
        std::size_t sound = 0;
        std::size_t used = 0;
        /// Requests for the service that ended in the window, and those that failed.
        std::size_t ended = 0;
        std::size_t failed = 0;
    };

    explicit SpreadService(const Options &options);

    /// Plays the whole time and returns the windows from 2 s after the added instances have started.
    std::vector<Window> run();

private:
    struct Instance {
        Hyssophall::RelayMessages::Registration registration;
        std::chrono::milliseconds phase;
        bool isAdded = false;
        std::vector<Hyssophall::SteadyTime> starts;
    };

    struct Vm {
        std::string failureDomain;
        std::unique_ptr<Hyssophall::InstanceSelector> selector;
    };

    void addInstances(std::size_t count, bool isAdded);
    bool isGray(const Instance &instance, Hyssophall::SteadyTime at) const;
    bool isSound(const Instance &instance, Hyssophall::SteadyTime from, Hyssophall::SteadyTime to) const;
    void send(Hyssophall::SteadyTime now);
    void finish(std::size_t vm, std::size_t instance, bool failed, std::chrono::milliseconds latency, Hyssophall::SteadyTime now);
    std::chrono::milliseconds latencyOf(const Instance &instance, Hyssophall::SteadyTime now);
    /// Lets the VM apply an outcome now, and the others after the time that reports take.
    void report(std::size_t vm, const Hyssophall::RelayMessages::InstanceOutcomes &outcomes, Hyssophall::SteadyTime now);
    void schedule(Hyssophall::SteadyTime at, std::function<void(Hyssophall::SteadyTime)> event);

    const Options options;
    std::mt19937_64 random;
    std::vector<Instance> instances;
    std::vector<Vm> vms;
    std::multimap<Hyssophall::SteadyTime, std::function<void(Hyssophall::SteadyTime)>> events;
    std::vector<std::pair<Hyssophall::SteadyTime, bool>> ended;
};

} // namespace HyssophallTest
