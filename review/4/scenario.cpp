// An instance that leaves sends DELETE and goes on serving for some seconds. All processes of the core are killed at the moment of the
// acknowledgement and are back within a second.

#include "deployment.h"

using namespace Review;

namespace {

/// How long the instance goes on serving after the acknowledgement: drain_ms and a little longer, at times many seconds.
constexpr Milliseconds serviceAfterLeave{12000};
constexpr std::size_t edgeCount = 24;
/// Each edge machine serves one consumer that sends one request after the other, so that all instances are needed.
const std::string usualRequest = "/profile/w600";

int scenario(Record &record, bool isDisrupted)
{
    Deployment::Options options;
    options.edgeZones = std::vector<std::string>(edgeCount, "zone-c");
    Deployment deployment(options, record);
    deployment.startAll();
    deployment.putConfiguration(configuration(3));
    deployment.awaitReady(Milliseconds(10000));
    std::list<Instance> instances;
    for (int number = 1; number <= 8; ++number) {
        instances.emplace_back("i-" + std::to_string(number), "residents", "zone-c", deployment.instanceAddress(), deployment.controlAddresses(), record);
        instances.back().startCheckIns();
    }
    pause(2 * Bounds::stabilityWindow);

    Instance &leaving = instances.front();
    leaving.stopCheckIns();
    std::atomic<bool> isOver{false};
    std::atomic<int> served{0};
    std::vector<std::thread> consumers;
    for (Machine *machine : deployment.edges()) {
        consumers.emplace_back([machine, &isOver, &served] {
            ClientConnection connection(machine->front);
            while (!isOver) {
                if (connection.isOpen() || connection.connectWithin(Milliseconds(1000))) {
                    served += connection.exchange(requestText(get(usualRequest), newRequestId()), Milliseconds(9000)).status == 200 ? 1 : 0;
                }
                pause(Milliseconds(20));
            }
        });
    }
    pause(Milliseconds(2000));

    // The node in zone-a that gets the call has no edge machines of its own zone.
    const std::optional<Clock::time_point> acknowledgedAt = leaving.callControl("DELETE", "", 0, 1);
    if (acknowledgedAt && isDisrupted) {
        // The signals take some milliseconds together. The node that got the call is killed last, as it holds nothing that the others don't.
        const std::vector<Machine *> cores = deployment.cores();
        for (auto core = cores.rbegin(); core != cores.rend(); ++core) {
            (*core)->process->signal(SIGKILL);
        }
    }
    const Clock::time_point killedAt = Clock::now();
    if (!acknowledgedAt) {
        isOver = true;
        for (std::thread &consumer : consumers) {
            consumer.join();
        }
        throw NotPlayed{"the DELETE wasn't acknowledged"};
    }
    record.lineAt(*acknowledgedAt, deployment.cores()[0]->name + ": acknowledges DELETE of " + leaving.id);
    if (isDisrupted) {
        record.lineAt(killedAt, "all processes of the core are killed");
        for (Machine *core : deployment.cores()) {
            core->process->awaitEnd();
        }
        pause(Milliseconds(500));
        for (Machine *core : deployment.cores()) {
            deployment.start(*core, false);
        }
        record.line("all processes of the core are started again");
    }
    const Clock::time_point stableFrom = (isDisrupted ? Clock::now() : *acknowledgedAt) + Bounds::stabilityWindow;
    std::this_thread::sleep_until(*acknowledgedAt + serviceAfterLeave);
    isOver = true;
    for (std::thread &consumer : consumers) {
        consumer.join();
    }

    int late = 0;
    for (const Arrival &arrival : leaving.arrivals()) {
        // Sent on by machines that were in touch: the core had been stable for stability_window_ms.
        if (arrival.at > *acknowledgedAt + Bounds::drain && arrival.at > stableFrom) {
            ++late;
            if (late <= 20) {
                record.lineAt(arrival.at, "DRAIN: " + arrival.requestId + " reaches " + leaving.id);
            }
        }
    }
    record.line("consumers: " + std::to_string(served) + " requests served; " + std::to_string(late) + " reached " + leaving.id + " too late");
    return late > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return play(argumentCount, arguments, scenario);
}
