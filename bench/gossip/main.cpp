#include "../../tests/unit/process/fleet/simulatedgossip.h"

#include <chrono>
#include <cstdio>
#include <ctime>

using namespace Hyssophall;

namespace {

constexpr std::chrono::seconds settling{20};
constexpr std::chrono::seconds measured{5};

struct Cost {
    double bytes = 0;
    double processorMicroseconds = 0;
};

/// Sent and received bytes of exchanges and processor time, for each node and simulated second. Includes the cost of the simulation.
Cost measure(SimulatedFleet &fleet, std::size_t count, const std::function<void()> &everySecond)
{
    fleet.network.exchangedBytes = 0;
    const std::clock_t begin = std::clock();
    for (std::chrono::seconds passed(0); passed < measured; ++passed) {
        everySecond();
        fleet.run(std::chrono::seconds(1));
    }
    const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    const double share = static_cast<double>(count) * static_cast<double>(measured.count());
    return {2 * static_cast<double>(fleet.network.exchangedBytes) / share, seconds * 1e6 / share};
}

/// One catalogue version and five transitions of instances a second, well above the target's daily change rates.
void change(SimulatedFleet &fleet, std::size_t count, std::uint64_t &incarnation)
{
    fleet.node(0).catalogue.append();
    for (int transition = 0; transition < 5; ++transition) {
        FleetMessages::AnnounceRequest request;
        FleetMessages::Instance &instance = *request.mutable_instance();
        instance.set_id("orders-" + std::to_string(++incarnation % 100));
        instance.set_service("orders");
        instance.set_host("10.0.0.1");
        instance.set_port(8080);
        instance.set_state(FleetMessages::INSTANCE_STATE_READY);
        instance.set_incarnation(incarnation);
        request.set_lease_milliseconds(60000);
        fleet.node(incarnation % count).core.announce(request, [](const FleetMessages::AnnounceReply &) {});
    }
}

void run(std::size_t count)
{
    SimulatedFleet fleet(1, count);
    fleet.run(settling);
    const Cost rest = measure(fleet, count, [] {});
    std::uint64_t incarnation = 0;
    const Cost busy = measure(fleet, count, [&fleet, count, &incarnation] { change(fleet, count, incarnation); });
    std::printf("%5zu nodes: at rest %6.0f bytes/s %5.0f us CPU/s; under change %6.0f bytes/s %5.0f us CPU/s\n",
        count,
        rest.bytes,
        rest.processorMicroseconds,
        busy.bytes,
        busy.processorMicroseconds);
    std::fflush(stdout);
}

} // namespace

/// Prints the cost of gossip for each node and second, sent and received together, without headers of gRPC.
int main()
{
    for (const std::size_t count : {std::size_t(64), std::size_t(256), std::size_t(1024)}) {
        run(count);
    }
    return 0;
}
