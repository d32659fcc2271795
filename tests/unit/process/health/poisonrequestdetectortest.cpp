#include "process/health/poisonrequestdetector.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

using namespace Hyssophall;

namespace {

using State = PoisonRequestDetector::State;
using Milliseconds = std::chrono::milliseconds;

constexpr SteadyTime startTime{std::chrono::hours(1)};

/// VMs that report losses, responses and the outcomes of instances to each other, each report with a delay of its own.
class SimulatedFleet
{
public:
    struct Options {
        std::size_t vms = 20;
        std::size_t instances = 30;
        double resetShare = 0;
        double lostReports = 0;
        double repeatedReports = 0;
        Milliseconds minimumDelay{100};
        Milliseconds maximumDelay{800};
        std::uint64_t seed = 1;
    };

    explicit SimulatedFleet(Options options)
        : options(options)
        , random(options.seed)
        , dead(options.instances, false)
    {
        for (std::size_t vm = 0; vm < options.vms; ++vm) {
            this->detectors.push_back(std::make_unique<PoisonRequestDetector>());
            this->responded.emplace_back(options.instances, false);
        }
        this->at(this->now, [this] { this->sendOutcomes(); });
    }

    SteadyTime time() const
    {
        return this->now;
    }

    void at(SteadyTime time, std::function<void()> action)
    {
        this->events.push({time, this->eventNumber++, std::move(action)});
    }

    void runUntil(SteadyTime end)
    {
        while (!this->events.empty() && this->events.top().time <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.time;
            event.action();
        }
        this->now = end;
    }

    /// Judges the request on the VM and sends it, unless it is refused, to a living instance; @p ended is called with whether it got a response.
    State request(std::size_t vm, std::uint64_t fingerprint, Milliseconds latency, const std::function<void(bool)> &ended, bool kills = false)
    {
        const State state = this->detectors[vm]->judge(fingerprint, this->now).state;
        if (state != State::Unsuspected) {
            return state;
        }
        const std::size_t instance = this->livingInstance();
        const bool isReset = this->uniform() < this->options.resetShare;
        const SteadyTime sentAt = this->now;
        this->at(this->now + latency, [this, vm, fingerprint, instance, isReset, sentAt, ended, kills] {
            if (kills && !this->dead[instance]) {
                this->dead[instance] = true;
                this->killed += 1;
            }
            const bool isLost = isReset || this->dead[instance];
            this->finish(vm, fingerprint, instance, isLost, sentAt);
            if (ended) {
                ended(!isLost);
            }
        });
        return state;
    }

    void finish(std::size_t vm, std::uint64_t fingerprint, std::size_t instance, bool isLost, SteadyTime sentAt)
    {
        const std::uint32_t handle = static_cast<std::uint32_t>(instance);
        PoisonRequestDetector &detector = *this->detectors[vm];
        if (isLost) {
            const std::vector<PoisonRequestDetector::Loss> losses = detector.addOwnLoss(fingerprint, handle, sentAt, this->now);
            if (!losses.empty()) {
                this->broadcast(vm, [this, fingerprint, losses](std::size_t receiver) {
                    for (const PoisonRequestDetector::Loss &loss : losses) {
                        if (this->detectors[receiver]->addReportedLoss(fingerprint, loss.instance, loss.round, this->now)) {
                            this->reportResponse(receiver, fingerprint);
                        }
                    }
                });
            }
            return;
        }
        this->responded[vm][instance] = true;
        detector.addInstanceResponses({handle}, this->now);
        if (detector.addResponse(fingerprint, this->now)) {
            this->reportResponse(vm, fingerprint);
        }
    }

    /// The highest round of a loss that the VM reports; 0 if it reports none.
    static std::uint32_t lastRound(const std::vector<PoisonRequestDetector::Loss> &reported)
    {
        return reported.empty() ? 0 : reported.back().round;
    }

    std::size_t randomVm()
    {
        return this->random() % this->options.vms;
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    std::size_t livingInstance()
    {
        std::size_t instance = this->random() % this->options.instances;
        while (this->dead[instance]) {
            instance = (instance + 1) % this->options.instances;
        }
        return instance;
    }

    const PoisonRequestDetector &detector(std::size_t vm) const
    {
        return *this->detectors[vm];
    }

    void kill(std::size_t instance)
    {
        this->dead[instance] = true;
    }

    std::size_t killedInstances() const
    {
        return this->killed;
    }

    std::size_t responseReports() const
    {
        return this->reports;
    }

private:
    struct Event {
        SteadyTime time;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.number) < std::tie(this->time, this->number);
        }
    };

    void reportResponse(std::size_t vm, std::uint64_t fingerprint)
    {
        this->reports += 1;
        this->broadcast(vm, [this, fingerprint](std::size_t receiver) { this->detectors[receiver]->addReportedResponse(fingerprint, this->now); });
    }

    void broadcast(std::size_t sender, const std::function<void(std::size_t)> &receive)
    {
        for (std::size_t receiver = 0; receiver < this->options.vms; ++receiver) {
            if (receiver == sender || this->uniform() < this->options.lostReports) {
                continue;
            }
            const int copies = this->uniform() < this->options.repeatedReports ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                const std::chrono::duration<double, std::milli> delay
                    = this->options.minimumDelay + (this->options.maximumDelay - this->options.minimumDelay) * this->uniform();
                this->at(this->now + std::chrono::duration_cast<Milliseconds>(delay), [receive, receiver] { receive(receiver); });
            }
        }
    }

    void sendOutcomes()
    {
        for (std::size_t vm = 0; vm < this->options.vms; ++vm) {
            std::vector<std::uint32_t> handles;
            for (std::size_t instance = 0; instance < this->options.instances; ++instance) {
                if (this->responded[vm][instance]) {
                    handles.push_back(static_cast<std::uint32_t>(instance));
                }
            }
            this->responded[vm].assign(this->options.instances, false);
            if (!handles.empty()) {
                this->broadcast(vm, [this, handles](std::size_t receiver) { this->detectors[receiver]->addInstanceResponses(handles, this->now); });
            }
        }
        this->at(this->now + Milliseconds(250), [this] { this->sendOutcomes(); });
    }

    const Options options;
    std::mt19937_64 random;
    SteadyTime now = startTime;
    std::uint64_t eventNumber = 0;
    std::priority_queue<Event> events;
    std::vector<std::unique_ptr<PoisonRequestDetector>> detectors;
    /// By VM: the instances that have responded to it since its last report of outcomes.
    std::vector<std::vector<bool>> responded;
    std::vector<bool> dead;
    std::size_t killed = 0;
    std::size_t reports = 0;
};

/// Sends @p count requests at equal intervals, each with the fingerprint of its number modulo @p fingerprints, and sends each that lost its
/// connection again, to any VM, until it gets a response.
class Callers
{
public:
    Callers(SimulatedFleet &fleet, std::size_t count, std::chrono::microseconds interval, std::size_t fingerprints)
        : fleet(fleet)
        , count(count)
        , interval(interval)
        , fingerprints(fingerprints)
    {
        this->sendNext();
    }

    std::size_t responses = 0;
    std::size_t poison = 0;
    std::size_t suspected = 0;

private:
    void sendNext()
    {
        this->send(this->sent % this->fingerprints);
        this->sent += 1;
        if (this->sent < this->count) {
            this->fleet.at(this->fleet.time() + this->interval, [this] { this->sendNext(); });
        }
    }

    void send(std::uint64_t fingerprint)
    {
        const State state = this->fleet.request(this->fleet.randomVm(), fingerprint, Milliseconds(20), [this, fingerprint](bool isAnswered) {
            if (isAnswered) {
                this->responses += 1;
            } else {
                this->fleet.at(this->fleet.time() + Milliseconds(300), [this, fingerprint] { this->send(fingerprint); });
            }
        });
        this->poison += state == State::Poison ? 1 : 0;
        if (state == State::Suspected) {
            this->suspected += 1;
            this->fleet.at(this->fleet.time() + Milliseconds(1000), [this, fingerprint] { this->send(fingerprint); });
        }
    }

    SimulatedFleet &fleet;
    const std::size_t count;
    const std::chrono::microseconds interval;
    const std::size_t fingerprints;
    std::size_t sent = 0;
};

void requireStoppedDespiteLostReports(std::uint64_t seed)
{
    SimulatedFleet::Options options;
    options.instances = 60;
    options.lostReports = 0.1;
    options.seed = seed;
    CATCH_CAPTURE(options.seed);
    SimulatedFleet fleet(options);
    const Callers others(fleet, 100'000, std::chrono::microseconds(200), 1000);
    for (int number = 0; number < 25; ++number) {
        fleet.runUntil(fleet.time() + Milliseconds(1000));
        fleet.request(fleet.randomVm(), 77'777'777, Milliseconds(20), {}, true);
    }
    fleet.runUntil(fleet.time() + Milliseconds(1000));
    // Three retries after the third crash are within what the platform allows.
    CATCH_CHECK(fleet.killedInstances() <= 6);
    CATCH_CHECK(others.poison == 0);
}

} // namespace

// Guards against a request that crashes one instance after the other, and against refusing a request whose connections were lost for other
// reasons.
CATCH_TEST_CASE("A request is poison after three instances were lost to it one after another and none responded", "[poison]")
{
    SteadyTime now = startTime;
    PoisonRequestDetector detector;
    for (std::uint32_t instance = 1; instance <= 3; ++instance) {
        CATCH_CHECK(detector.judge(7, now).state == State::Unsuspected);
        now += Milliseconds(10);
        CATCH_CHECK(SimulatedFleet::lastRound(detector.addOwnLoss(7, instance, now - Milliseconds(5), now)) == instance);
        // The same loss again is no further evidence.
        detector.addReportedLoss(7, instance, instance + 1, now);
    }
    const SteadyTime last = now;
    CATCH_CHECK(detector.judge(7, last).state == State::Suspected);
    CATCH_CHECK(detector.judge(7, last).remaining == PoisonRequestDetector::settlingTime);
    CATCH_CHECK(detector.judge(7, last + PoisonRequestDetector::settlingTime).state == State::Poison);
    CATCH_CHECK(detector.judge(8, last + PoisonRequestDetector::settlingTime).state == State::Unsuspected);
    CATCH_CHECK(detector.standingLosses(7, last).size() == 3);
    CATCH_CHECK(detector.judge(7, last + PoisonRequestDetector::retention + std::chrono::seconds(1)).state == State::Unsuspected);
    CATCH_CHECK(detector.addResponse(7, last + PoisonRequestDetector::settlingTime));
    CATCH_CHECK(detector.judge(7, last + PoisonRequestDetector::settlingTime).state == State::Unsuspected);
}

// Guards against convicting a request by resets: its instances work, since they respond to others.
CATCH_TEST_CASE("A loss is withdrawn when its instance responds to anybody later", "[poison]")
{
    PoisonRequestDetector detector;
    SteadyTime now = startTime;
    for (std::uint32_t instance = 1; instance <= 3; ++instance) {
        now += Milliseconds(10);
        detector.addOwnLoss(7, instance, now, now);
    }
    // May be a response from before the crash that is reported late.
    detector.addInstanceResponses({1, 2, 3}, now + PoisonRequestDetector::outcomeDelay / 2);
    CATCH_CHECK(detector.judge(7, now + PoisonRequestDetector::settlingTime).state == State::Poison);
    detector.addInstanceResponses({2}, now + PoisonRequestDetector::outcomeDelay + Milliseconds(1));
    CATCH_CHECK(detector.judge(7, now + PoisonRequestDetector::settlingTime).state == State::Unsuspected);
}

// Guards against blaming a request for an instance that was failing already.
CATCH_TEST_CASE("A loss isn't counted on an instance that had failed another request before and not responded since", "[poison]")
{
    PoisonRequestDetector detector;
    detector.addOwnLoss(8, 1, startTime, startTime);
    const SteadyTime later = startTime + PoisonRequestDetector::outcomeDelay;
    CATCH_CHECK(detector.addOwnLoss(7, 1, later + Milliseconds(10), later + Milliseconds(20)).empty());
    CATCH_CHECK(detector.standingLosses(7, later + Milliseconds(20)).empty());
    // In flight at the first loss, or sent before a response could be heard of: all are evidence.
    CATCH_CHECK(SimulatedFleet::lastRound(detector.addOwnLoss(9, 1, startTime - Milliseconds(10), later + Milliseconds(20))) == 1);
    CATCH_CHECK(SimulatedFleet::lastRound(detector.addOwnLoss(10, 1, later, later + Milliseconds(20))) == 1);
    detector.addInstanceResponses({1}, later + Milliseconds(30));
    CATCH_CHECK(SimulatedFleet::lastRound(detector.addOwnLoss(7, 1, later + Milliseconds(40), later + Milliseconds(50))) == 1);
}

// Guards against refusing innocent requests with 422 where instances reset 4 % of the connections: losses are known to all VMs, and a response
// cleared them on one VM only.
CATCH_TEST_CASE("No innocent request of a million is poison while instances reset 4 % of the connections", "[poison]")
{
    SimulatedFleet::Options options;
    options.resetShare = 0.04;
    options.lostReports = 0.02;
    options.repeatedReports = 0.02;
    constexpr std::size_t count = 1'000'000;
    const std::size_t fingerprints = GENERATE(std::size_t{1}, std::size_t{1'000}, std::size_t{1'000'000});
    CATCH_CAPTURE(fingerprints);
    SimulatedFleet fleet(options);
    const Callers callers(fleet, count, std::chrono::microseconds(100), fingerprints);
    fleet.runUntil(startTime + std::chrono::seconds(110));
    CATCH_CAPTURE(callers.suspected, fleet.responseReports());
    CATCH_CHECK(callers.poison == 0);
    CATCH_CHECK(callers.responses == count);
    if (fingerprints == 1) {
        CATCH_CHECK(callers.suspected == 0);
    }
    // Each report goes to all VMs, so there must be fewer of them than losses.
    CATCH_CHECK(fleet.responseReports() < count * options.resetShare);
}

// Guards against a request that goes on to crash instances, beside other requests whose connections are reset.
CATCH_TEST_CASE("A request that crashes each instance is stopped after three", "[poison]")
{
    SimulatedFleet::Options options;
    options.resetShare = 0.04;
    options.repeatedReports = 0.1;
    options.seed = GENERATE(range(11, 17));
    CATCH_CAPTURE(options.seed);
    SimulatedFleet fleet(options);
    const Callers others(fleet, 100'000, std::chrono::microseconds(200), 1000);
    constexpr std::uint64_t killer = 77'777'777;
    const bool isOneVm = GENERATE(true, false);
    CATCH_CAPTURE(isOneVm);
    // Between VMs, a loss needs up to 800 ms.
    const Milliseconds interval = isOneVm ? Milliseconds(30) : Milliseconds(1000);
    for (int number = 0; number < 15; ++number) {
        fleet.runUntil(fleet.time() + interval);
        const std::size_t vm = isOneVm ? 0 : fleet.randomVm();
        fleet.request(vm, killer, Milliseconds(20), {}, true);
    }
    fleet.runUntil(fleet.time() + Milliseconds(3000));
    CATCH_CHECK(fleet.killedInstances() == 3);
    for (std::size_t vm = 0; vm < options.vms; ++vm) {
        CATCH_CHECK(fleet.detector(vm).judge(killer, fleet.time()).state == State::Poison);
    }
    CATCH_CHECK(others.poison == 0);
}

// Guards against lost reports that let a request crash instances without an end.
CATCH_TEST_CASE("A request that crashes each instance is stopped though reports are lost", "[poison]")
{
    requireStoppedDespiteLostReports(GENERATE(as<std::uint64_t>{}, 11, 12, 13, 14, 15, 16, 159, 178));
}

// Guards against a VM that misses the last report and lets the request pass once more than is allowed.
CATCH_TEST_CASE("A request that crashes each instance is stopped though the report of its last crash is lost", "[poison]")
{
    requireStoppedDespiteLostReports(GENERATE(as<std::uint64_t>{}, 119, 146));
}

// Guards against convicting the requests that are in flight when many instances end at once.
CATCH_TEST_CASE("A power failure, a reset of all connections or crashes at one moment convict no request in flight", "[poison]")
{
    const bool isReset = GENERATE(false, true);
    CATCH_CAPTURE(isReset);
    SimulatedFleet::Options options;
    options.lostReports = 0.05;
    options.repeatedReports = 0.2;
    options.seed = GENERATE(range(11, 17));
    CATCH_CAPTURE(options.seed);
    SimulatedFleet fleet(options);
    std::size_t refused = 0;
    // Two such moments, with no response to the request between them.
    for (std::size_t moment = 0; moment < 2; ++moment) {
        const SteadyTime sentAt = fleet.time();
        fleet.runUntil(sentAt + Milliseconds(50));
        for (std::size_t copy = 0; copy < 200; ++copy) {
            const std::size_t instance = moment * 10 + copy % 10;
            if (!isReset) {
                fleet.kill(instance);
            }
            fleet.finish(copy % options.vms, 7, instance, true, sentAt);
        }
        fleet.runUntil(fleet.time() + Milliseconds(1000));
        for (std::size_t vm = 0; vm < options.vms; ++vm) {
            refused += fleet.detector(vm).judge(7, fleet.time()).state == State::Unsuspected ? 0 : 1;
        }
    }
    CATCH_CHECK(refused == 0);
    // Reports that come again much later, with the response known by then.
    fleet.finish(0, 7, 25, false, fleet.time());
    fleet.runUntil(fleet.time() + Milliseconds(1000));
    const Callers callers(fleet, 1000, std::chrono::microseconds(1000), 1);
    for (std::size_t vm = 0; vm < options.vms; ++vm) {
        CATCH_CHECK(fleet.detector(vm).judge(7, fleet.time()).state == State::Unsuspected);
    }
    fleet.runUntil(fleet.time() + Milliseconds(2000));
    CATCH_CHECK(callers.poison + callers.suspected == 0);
}

// Guards against a conviction by reports that arrive late, twice or in another order than they were sent.
CATCH_TEST_CASE("Reports of losses that are late, repeated or reordered don't convict for good", "[poison]")
{
    PoisonRequestDetector detector;
    // The report of the response overtakes those of the losses.
    detector.addReportedResponse(7, startTime);
    for (std::uint32_t instance = 1; instance <= 5; ++instance) {
        detector.addReportedLoss(7, instance, instance, startTime + Milliseconds(100));
    }
    CATCH_CHECK(detector.judge(7, startTime + std::chrono::seconds(3)).state == State::Unsuspected);
    // The losses overtake the response.
    for (std::uint32_t instance = 5; instance >= 1; --instance) {
        detector.addReportedLoss(8, instance, instance, startTime);
        detector.addReportedLoss(8, instance, instance, startTime + Milliseconds(100));
    }
    CATCH_CHECK(detector.judge(8, startTime + std::chrono::seconds(3)).state == State::Poison);
    detector.addReportedResponse(8, startTime + std::chrono::seconds(3));
    CATCH_CHECK(detector.judge(8, startTime + std::chrono::seconds(3)).state == State::Unsuspected);
    // Old builds state no round, so their losses are of the first one.
    for (std::uint32_t instance = 1; instance <= 5; ++instance) {
        detector.addReportedLoss(9, instance, 0, startTime);
    }
    CATCH_CHECK(detector.judge(9, startTime + std::chrono::seconds(3)).state == State::Unsuspected);
}

// Guards against a VM that misses the one report of a response and refuses an innocent request until its losses expire.
CATCH_TEST_CASE("A VM that has had a response reports it to the VMs that go on to lose the request", "[poison]")
{
    PoisonRequestDetector detector;
    detector.addReportedLoss(7, 1, 1, startTime);
    // No other VM is near to convicting it.
    CATCH_CHECK_FALSE(detector.addResponse(7, startTime + Milliseconds(10)));
    CATCH_CHECK(detector.addReportedLoss(7, 2, 2, startTime + Milliseconds(20)));
    CATCH_CHECK_FALSE(detector.addReportedLoss(7, 3, 2, startTime + Milliseconds(30)));
    CATCH_CHECK_FALSE(detector.addResponse(7, startTime + Milliseconds(40)));
    CATCH_CHECK(detector.addResponse(7, startTime + Milliseconds(1100)));
}

// Guards against a VM that lets a request go on crashing instances since it missed the reports of the first losses.
CATCH_TEST_CASE("The report of a loss names losses of the earlier rounds, too", "[poison]")
{
    PoisonRequestDetector sender;
    sender.addReportedLoss(7, 1, 1, startTime);
    sender.addReportedLoss(7, 2, 1, startTime);
    sender.addReportedLoss(7, 3, 2, startTime + Milliseconds(10));
    const SteadyTime now = startTime + Milliseconds(20);
    const std::vector<PoisonRequestDetector::Loss> reported = sender.addOwnLoss(7, 4, now, now);
    CATCH_REQUIRE(reported.size() == 3);
    PoisonRequestDetector receiver;
    for (const PoisonRequestDetector::Loss &loss : reported) {
        receiver.addReportedLoss(7, loss.instance, loss.round, now);
    }
    CATCH_CHECK(receiver.judge(7, now + PoisonRequestDetector::settlingTime).state == State::Poison);
}

// Guards against memory and time that grow with the number of lost requests, as when a failure domain with many requests in flight ends.
CATCH_TEST_CASE("A table of entries that expire has a maximum size and drops what wasn't used for long", "[poison]")
{
    ExpiringTable<int, int> table(Milliseconds(1000), 100);
    for (int key = 0; key < 10'000; ++key) {
        table.use(key, startTime) = key;
        // Used all the time, so it stays.
        table.use(0, startTime + std::chrono::microseconds(key));
    }
    CATCH_CHECK(table.size() == 100);
    CATCH_CHECK(table.find(0) != nullptr);
    CATCH_CHECK(table.find(9'999) != nullptr);
    CATCH_CHECK(table.find(1) == nullptr);
    for (int step = 0; step < 100; ++step) {
        table.use(9'999, startTime + Milliseconds(2000));
    }
    CATCH_CHECK(table.size() == 1);
}
