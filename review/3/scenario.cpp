// An edge machine gets SIGTERM while an instance works on a request for three to four times as long as usual. The service has one instance.

#include "deployment.h"

using namespace Review;

namespace {

/// As in nccwu-sync.toml for profile-read: a mean of 970 ms, and up to 7,300 ms.
const std::string usualRequest = "/profile/w950";
const std::string longRequest = "/profile/w3600";
constexpr int usualRequests = 6;
/// Longer than the edge machine keeps an idle connection to an instance.
constexpr Milliseconds calmTime{6000};

int scenario(Record &record, bool isDisrupted)
{
    Deployment deployment({}, record);
    deployment.startAll();
    deployment.putConfiguration(configuration(3));
    deployment.awaitReady(Milliseconds(10000));
    Instance instance("i-1", "residents", "zone-a", deployment.instanceAddress(), deployment.controlAddresses(), record);
    instance.startCheckIns();
    pause(Bounds::stabilityWindow);

    Machine &stopped = *deployment.edges()[0];
    ClientConnection connection(stopped.front);
    for (int number = 0; number < usualRequests; ++number) {
        if ((!connection.isOpen() && !connection.connectWithin(Milliseconds(1000)))
            || connection.exchange(requestText(get(usualRequest), newRequestId()), Milliseconds(5000)).status != 200) {
            throw NotPlayed{"a request before the disruption wasn't served"};
        }
    }
    record.line("consumer: " + std::to_string(usualRequests) + " requests " + usualRequest + " were served");
    pause(calmTime);

    const std::string id = newRequestId();
    Clock::time_point endedAt;
    Response response;
    std::thread consumer([&] {
        record.line("consumer: sends " + id + " " + longRequest);
        response = connection.exchange(requestText(get(longRequest), id), Milliseconds(15000));
        endedAt = Clock::now();
        record.line("consumer: " + id + ": " + describe(response));
    });
    pause(Milliseconds(300));
    const Clock::time_point stoppedAt = Clock::now();
    if (isDisrupted) {
        stopped.process->signal(SIGTERM);
        record.line("platform: SIGTERM to " + stopped.name);
    }
    consumer.join();
    if (isDisrupted) {
        while (!stopped.process->hasEnded() && Clock::now() < stoppedAt + Bounds::grace) {
            pause(Milliseconds(10));
        }
    }

    int lost = 0;
    for (const Arrival &arrival : instance.arrivals()) {
        if (arrival.requestId != id) {
            continue;
        }
        record.lineAt(arrival.at, instance.id + ": runs " + id);
        record.lineAt(arrival.endedAt.value_or(Clock::now()), instance.id + ": the run of " + id + " ends: " + arrival.end);
        const bool isOwnAnswer = response.status == 0 || response.header("x-response-signature").empty();
        // The last sixth of grace_s hadn't begun, and neither the time budget nor the route's timeout was reached.
        const bool isExcused = endedAt > stoppedAt + Bounds::grace * 5 / 6;
        if (isDisrupted && arrival.end == "cut" && isOwnAnswer && !isExcused) {
            ++lost;
            record.line("LOST: after SIGTERM " + id + " was broken off while " + instance.id + " was at work, and got an answer of the proxy");
        }
    }
    return lost > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return play(argumentCount, arguments, scenario);
}
