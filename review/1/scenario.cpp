// An edge machine gets SIGTERM. Consumers send requests on connections that they kept open, 3.2 s to 3.7 s later.

#include "deployment.h"

using namespace Review;

namespace {

constexpr int consumerCount = 6;
/// Below the longest work of the class profile-read in nccwu-sync.toml (7,300 ms).
const std::string usualRequest = "/profile/w900";
const std::string longRequest = "/profile/w2600";

struct Attempt {
    std::string id;
    Clock::time_point sentAt;
    Response response;
};

int scenario(Record &record, bool isDisrupted)
{
    Deployment deployment({}, record);
    deployment.startAll();
    deployment.putConfiguration(configuration(3));
    deployment.awaitReady(Milliseconds(10000));
    std::list<Instance> instances;
    for (int number = 1; number <= 6; ++number) {
        const std::string zone = std::string("zone-") + "abc"[number % 3];
        instances.emplace_back("i-" + std::to_string(number), "residents", zone, deployment.instanceAddress(), deployment.controlAddresses(), record);
        instances.back().startCheckIns();
    }
    pause(Bounds::stabilityWindow);

    Machine &stopped = *deployment.edges()[0];
    std::vector<std::unique_ptr<ClientConnection>> connections;
    for (int number = 0; number < consumerCount; ++number) {
        connections.push_back(std::make_unique<ClientConnection>(stopped.front));
        if (!connections.back()->connectWithin(Milliseconds(1000))
            || connections.back()->exchange(requestText(get(usualRequest), newRequestId()), Milliseconds(5000)).status != 200) {
            throw NotPlayed{"a request before the disruption wasn't served"};
        }
    }
    record.line(std::to_string(consumerCount) + " consumers keep a connection to " + stopped.name + " open");

    const Clock::time_point stoppedAt = Clock::now();
    if (isDisrupted) {
        stopped.process->signal(SIGTERM);
        record.line("platform: SIGTERM to " + stopped.name);
    }
    // The platform ends the process after grace_s.
    std::thread platform([&stopped, stoppedAt, isDisrupted, &record] {
        while (isDisrupted && Clock::now() < stoppedAt + Bounds::grace) {
            if (stopped.process->hasEnded()) {
                record.line("the process of " + stopped.name + " has ended");
                return;
            }
            pause(Milliseconds(10));
        }
        if (isDisrupted) {
            stopped.process->signal(SIGKILL);
            record.line("platform: SIGKILL to " + stopped.name);
        }
    });
    std::vector<Attempt> attempts(consumerCount);
    std::vector<std::thread> consumers;
    for (int number = 0; number < consumerCount; ++number) {
        consumers.emplace_back([number, stoppedAt, &attempts, &connections, &record] {
            Attempt &attempt = attempts[static_cast<std::size_t>(number)];
            std::this_thread::sleep_until(stoppedAt + Milliseconds(3200 + 100 * number));
            attempt.id = newRequestId();
            attempt.sentAt = Clock::now();
            record.line("consumer: sends " + attempt.id + " " + longRequest + " on its open connection");
            attempt.response = connections[static_cast<std::size_t>(number)]->exchange(requestText(get(longRequest), attempt.id), Milliseconds(15000));
            record.line("consumer: " + attempt.id + ": " + describe(attempt.response));
        });
    }
    for (std::thread &consumer : consumers) {
        consumer.join();
    }
    platform.join();

    int lost = 0;
    for (const Attempt &attempt : attempts) {
        bool hasReachedInstance = false;
        for (Instance &instance : instances) {
            for (const Arrival &arrival : instance.arrivals()) {
                if (arrival.requestId == attempt.id) {
                    hasReachedInstance = true;
                    record.lineAt(arrival.at, instance.id + ": runs " + arrival.requestId);
                    record.lineAt(arrival.endedAt.value_or(Clock::now()), instance.id + ": the run of " + arrival.requestId + " ends: " + arrival.end);
                }
            }
        }
        if (hasReachedInstance && attempt.response.status == 0) {
            ++lost;
            record.line("LOST: " + attempt.id + " had been passed on to an instance, and its connection ended without an answer");
        }
    }
    return lost > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return play(argumentCount, arguments, scenario);
}
