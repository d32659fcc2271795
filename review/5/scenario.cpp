// An instance that leaves sends DELETE, which is acknowledged, and goes on serving for some seconds. All processes are killed and are back within
// a second. Then an earlier check-in of the instance arrives, which was on its way all the while.

#include "deployment.h"

using namespace Review;

namespace {

/// How long the instance goes on serving after the acknowledgement: drain_ms and a little longer, at times many seconds.
constexpr Milliseconds serviceAfterLeave{12000};
/// How late the check-in arrives.
constexpr Milliseconds checkInDelay{4000};

int scenario(Record &record, bool isDisrupted)
{
    Deployment deployment({}, record);
    deployment.startAll();
    deployment.putConfiguration(configuration(3));
    deployment.awaitReady(Milliseconds(10000));
    std::list<Instance> instances;
    for (int number = 1; number <= 3; ++number) {
        const std::string zone = std::string("zone-") + "abc"[number % 3];
        instances.emplace_back("i-" + std::to_string(number), "residents", zone, deployment.instanceAddress(), deployment.controlAddresses(), record);
        instances.back().startCheckIns();
    }
    pause(2 * Bounds::stabilityWindow);

    Instance &leaving = instances.front();
    leaving.stopCheckIns();
    // Sent now, arrives late.
    const std::string lateCheckIn = leaving.checkInBody("ready");
    const Clock::time_point sentAt = Clock::now();
    record.line(leaving.id + ": sends a check-in that is held up on its way: " + lateCheckIn);
    std::atomic<bool> isOver{false};
    std::atomic<int> served{0};
    std::vector<std::thread> consumers;
    for (Machine *machine : deployment.edges()) {
        consumers.emplace_back([machine, &isOver, &served] {
            ClientConnection connection(machine->front);
            while (!isOver) {
                if (connection.isOpen() || connection.connectWithin(Milliseconds(1000))) {
                    served += connection.exchange(requestText(get("/profile/w30"), newRequestId()), Milliseconds(9000)).status == 200 ? 1 : 0;
                }
                pause(Milliseconds(100));
            }
        });
    }
    pause(Milliseconds(1000));
    const std::optional<Clock::time_point> acknowledgedAt = leaving.callControl("DELETE", "", 0, 5);
    Clock::time_point stableFrom = Clock::now();
    if (acknowledgedAt) {
        record.lineAt(*acknowledgedAt, "DELETE of " + leaving.id + " is acknowledged");
        pause(Milliseconds(500));
        if (isDisrupted) {
            for (Machine &machine : deployment.machines) {
                machine.process->signal(SIGKILL);
            }
            record.line("all processes are killed");
            for (Machine &machine : deployment.machines) {
                machine.process->awaitEnd();
            }
            pause(Milliseconds(700));
            for (Machine &machine : deployment.machines) {
                deployment.start(machine, false);
            }
            record.line("all processes are started again");
        }
        stableFrom = Clock::now() + Bounds::stabilityWindow;
        std::this_thread::sleep_until(sentAt + checkInDelay);
        const std::optional<Clock::time_point> arrivedAt = leaving.callControl("PUT", lateCheckIn, 2, 5);
        record.line("the check-in that was held up arrives" + std::string(arrivedAt ? " and is acknowledged" : ""));
        std::this_thread::sleep_until(*acknowledgedAt + serviceAfterLeave);
    }
    isOver = true;
    for (std::thread &consumer : consumers) {
        consumer.join();
    }
    if (!acknowledgedAt) {
        throw NotPlayed{"the DELETE wasn't acknowledged"};
    }

    int late = 0;
    for (const Arrival &arrival : leaving.arrivals()) {
        // Sent on by machines that were in touch: all processes had run for stability_window_ms.
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
