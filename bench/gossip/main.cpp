#include "../../tests/unit/process/fleet/simulatedgossip.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <vector>

using namespace Hyssophall;

namespace {

/// At 1,024 nodes, the states of the start are on their way for about 50 s: each is sent to a dozen peers, 400 bytes a message.
constexpr std::chrono::seconds settling{60};
constexpr std::chrono::seconds measured{5};

struct Cost {
    double bytes = 0;
    double heartbeatBytes = 0;
    double stateBytes = 0;
    double recordBytes = 0;
    double messages = 0;
    double processorMicroseconds = 0;
};

void addParts(Cost &cost, const FleetMessages::ExchangeMessage &message)
{
    cost.messages += 1;
    cost.heartbeatBytes += static_cast<double>(message.heartbeats().ByteSizeLong());
    for (const FleetMessages::MemberState &state : message.members()) {
        cost.stateBytes += static_cast<double>(state.ByteSizeLong());
    }
    for (const FleetMessages::Record &record : message.records()) {
        cost.recordBytes += static_cast<double>(record.ByteSizeLong());
    }
}

void print(std::size_t count, const char *load, const Cost &cost)
{
    std::printf("%5zu nodes, %-12s %6.0f bytes/s (heartbeats %6.0f, states %5.0f, records %5.0f), %4.1f messages/s, %5.0f us CPU/s\n",
        count,
        load,
        cost.bytes,
        cost.heartbeatBytes,
        cost.stateBytes,
        cost.recordBytes,
        cost.messages,
        cost.processorMicroseconds);
    std::fflush(stdout);
}

/// Sent and received bytes of exchanges and processor time, for each node and simulated second. Includes the cost of the simulation.
Cost measure(SimulatedFleet &fleet, std::size_t count, const std::function<void()> &everySecond)
{
    fleet.network.exchangedBytes = 0;
    Cost cost;
    fleet.network.observeExchange = [&cost](const FleetMessages::ExchangeMessage &message) { addParts(cost, message); };
    const std::clock_t begin = std::clock();
    for (std::chrono::seconds passed(0); passed < measured; ++passed) {
        everySecond();
        fleet.run(std::chrono::seconds(1));
    }
    const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    const double share = static_cast<double>(count) * static_cast<double>(measured.count());
    fleet.network.observeExchange = nullptr;
    cost.bytes = 2 * static_cast<double>(fleet.network.exchangedBytes) / share;
    cost.processorMicroseconds = seconds * 1e6 / share;
    for (double *part : {&cost.heartbeatBytes, &cost.stateBytes, &cost.recordBytes, &cost.messages}) {
        // Each message is sent by one node and received by another.
        *part *= 2 / share;
    }
    return cost;
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

/// Judgements of this kind by all VMs on all members.
std::size_t countJudgements(SimulatedFleet &fleet, Liveness liveness)
{
    std::size_t count = 0;
    for (const std::pair<const std::string, std::unique_ptr<SimulatedNode>> &entry : fleet.nodes) {
        for (const MemberView::MemberStatus &member : entry.second->core.members().members()) {
            count += member.liveness == liveness ? 1 : 0;
        }
    }
    return count;
}

void run(std::size_t count)
{
    SimulatedFleet fleet(1, count);
    fleet.run(settling);
    const Cost rest = measure(fleet, count, [] {});
    std::uint64_t incarnation = 0;
    const Cost busy = measure(fleet, count, [&fleet, count, &incarnation] { change(fleet, count, incarnation); });
    print(count, "at rest:", rest);
    std::printf("%5zu nodes, all running: of %zu judgements, %zu are suspect and %zu are dead\n",
        count,
        count * count,
        countJudgements(fleet, Liveness::Suspect),
        countJudgements(fleet, Liveness::Dead));
    print(count, "under change:", busy);
}

} // namespace

/// Prints the cost of gossip for each node and second, sent and received together, without headers of gRPC.
/// The arguments are the numbers of nodes.
int main(int argc, char **argv)
{
    std::vector<std::size_t> counts;
    for (int index = 1; index < argc; ++index) {
        counts.push_back(std::strtoul(argv[index], nullptr, 10));
    }
    for (const std::size_t count : counts.empty() ? std::vector<std::size_t>{64, 256, 1024} : counts) {
        run(count);
    }
    return 0;
}
