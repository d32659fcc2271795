#include "process/health/ejectionarbiter.h"

#include "support/fakedirectory.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>

using namespace Hyssophall;
using namespace std::chrono_literals;

namespace {

constexpr int vmCount = 44;
const CapacityFloor halfFloor{500, 2};

/// Simulates 44 VMs that send requests to one service and report to its arbiter every 250 ms of simulated time.
class Service
{
public:
    Service(int instances, unsigned int seed)
        : generator(seed)
        , arbiter("orders", 1, now)
    {
        this->directory.add("orders", instances);
        this->badShare.assign(static_cast<std::size_t>(instances), 0.0);
        this->now += EjectionArbiter::quietPeriod;
    }

    /// Sends @p requests from random VMs, reports their outcomes, and applies the arbiter's decision.
    void round(int requests)
    {
        this->now += 250ms;
        std::map<std::string, std::vector<FleetMessages::OutcomeCounts>> reports;
        for (int request = 0; request < requests; ++request) {
            this->request(reports["vm-" + std::to_string(this->generator() % vmCount)]);
        }
        for (const std::pair<const std::string, std::vector<FleetMessages::OutcomeCounts>> &report : reports) {
            this->arbiter.report(report.first, report.second, this->now);
        }
        for (const FleetMessages::Ejection &ejection : this->arbiter.decide(this->instances(), halfFloor, this->now)) {
            this->apply(ejection);
        }
    }

    std::size_t ejectedCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->instances().begin(), this->instances().end(), [](const KnownInstance &known) { return known.ejected; }));
    }

    InstanceDirectory::Instances &instances()
    {
        return this->directory.byService["orders"];
    }

    const InstanceDirectory::Instances &instances() const
    {
        return this->directory.byService.at("orders");
    }

    TestSupport::FakeDirectory directory;
    std::mt19937 generator;
    SteadyTime now{1h};
    EjectionArbiter arbiter;
    /// Share of the requests that fail on each instance.
    std::vector<double> badShare;
    std::set<std::string> everEjected;
    int ejections = 0;

private:
    void request(std::vector<FleetMessages::OutcomeCounts> &counts)
    {
        const std::size_t index = this->generator() % this->instances().size();
        const KnownInstance &known = this->instances()[index];
        if (known.ejected) {
            return;
        }
        FleetMessages::OutcomeCounts count;
        count.set_instance(known.instance.id());
        count.set_incarnation(known.instance.incarnation());
        const bool bad = std::uniform_real_distribution<double>(0, 1)(this->generator) < this->badShare[index];
        bad ? count.set_failed(1) : count.set_good(1);
        counts.push_back(count);
    }

    void apply(const FleetMessages::Ejection &ejection)
    {
        const auto known = std::find_if(this->instances().begin(), this->instances().end(), [&ejection](const KnownInstance &candidate) {
            return candidate.instance.id() == ejection.instance();
        });
        const bool ejects = ejection.remaining_milliseconds() > 0;
        this->ejections += ejects && !known->ejected ? 1 : 0;
        known->ejected = ejects;
        this->everEjected.insert(ejection.instance());
    }
};

} // namespace

CATCH_TEST_CASE("Ejections never go below the capacity floor of a service, whatever fails", "[ejection-floor]")
{
    // Guards against several decisions that together eject more instances than the floor permits. This happens when each VM decides on its own.
    for (unsigned int seed = 1; seed <= 50; ++seed) {
        Service service(8, seed);
        for (int round = 0; round < 400; ++round) {
            if (round % 10 == 0) {
                for (double &share : service.badShare) {
                    share = service.generator() % 3 == 0 ? 1.0 : 0.0;
                }
            }
            service.round(100);
            CATCH_REQUIRE(service.instances().size() - service.ejectedCount() >= halfFloor.instancesOf(8));
        }
    }
}

CATCH_TEST_CASE("An instance that fails a third of its requests is ejected within 3 s and a healthy one isn't", "[ejection]")
{
    // Guards against late detection of a partial failure, and against ejections for the 1 % of failures that are normal.
    int falseEjections = 0;
    for (unsigned int seed = 1; seed <= 100; ++seed) {
        Service service(8, seed);
        std::fill(service.badShare.begin(), service.badShare.end(), 0.01);
        for (int round = 0; round < 40; ++round) {
            service.round(50);
        }
        falseEjections += service.ejections;
        service.badShare[3] = 0.34;
        int rounds = 0;
        while (!service.everEjected.contains("orders-03") && rounds < 12) {
            service.round(50);
            ++rounds;
        }
        CATCH_INFO("seed " << seed);
        CATCH_REQUIRE(service.everEjected.contains("orders-03"));
    }
    CATCH_REQUIRE(falseEjections == 0);
}

CATCH_TEST_CASE("No instance is ejected when all instances of a service fail alike", "[ejection]")
{
    // Guards against the loss of capacity when all instances fail from a common cause, such as a dependency that they share.
    Service service(8, 7);
    std::fill(service.badShare.begin(), service.badShare.end(), 0.6);
    for (int round = 0; round < 200; ++round) {
        service.round(50);
    }
    CATCH_REQUIRE(service.ejections == 0);
}

CATCH_TEST_CASE("The failures of a single VM with a broken network cause no ejection", "[ejection]")
{
    // Guards against the ejection of a healthy instance because one VM can't reach it.
    Service service(8, 9);
    for (int round = 0; round < 40; ++round) {
        service.round(200);
        FleetMessages::OutcomeCounts count;
        count.set_instance("orders-02");
        count.set_incarnation(1);
        count.set_failed(1);
        service.arbiter.report("vm-cut", {count}, service.now);
    }
    CATCH_REQUIRE(service.ejections == 0);
}

CATCH_TEST_CASE("A new arbiter ejects nothing until the records of its predecessor have expired", "[ejection-floor]")
{
    // Guards against an arbiter that misses an ejection by its predecessor and goes below the floor.
    SteadyTime now{1h};
    EjectionArbiter arbiter("orders", 2, now);
    TestSupport::FakeDirectory directory;
    directory.add("orders", 8);
    FleetMessages::OutcomeCounts count;
    count.set_instance("orders-01");
    count.set_incarnation(1);
    count.set_failed(50);
    const SteadyTime end = now + EjectionArbiter::recordLifetime;
    for (; now < end; now += 250ms) {
        arbiter.report("vm-1", {count}, now);
        arbiter.report("vm-2", {count}, now);
        CATCH_REQUIRE(arbiter.decide(directory.byService["orders"], halfFloor, now).empty());
    }
}

CATCH_TEST_CASE("Failures before a restart don't count against the restarted instance", "[ejection]")
{
    // Guards against the ejection of an instance by the counts of its previous incarnation.
    Service service(8, 11);
    service.badShare[5] = 1;
    for (int round = 0; round < 4; ++round) {
        service.round(100);
    }
    CATCH_REQUIRE(service.everEjected.contains("orders-05"));
    service.badShare[5] = 0;
    service.instances()[5].instance.set_incarnation(2);
    service.instances()[5].ejected = false;
    service.ejections = 0;
    for (int round = 0; round < 40; ++round) {
        service.round(100);
    }
    CATCH_REQUIRE(service.ejections == 0);
}

CATCH_TEST_CASE("Repeated ejections of a flapping instance last longer", "[ejection]")
{
    // Guards against a flapping instance that fails requests again after each of many short ejections.
    Service service(8, 13);
    service.badShare[1] = 1;
    int rounds = 0;
    std::vector<int> lengths;
    std::optional<int> begin;
    while (lengths.size() < 4 && rounds < 2000) {
        service.round(100);
        ++rounds;
        const bool ejected = service.instances()[1].ejected;
        if (ejected && !begin) {
            begin = rounds;
        } else if (!ejected && begin) {
            lengths.push_back(rounds - *begin);
            begin.reset();
        }
    }
    CATCH_REQUIRE(lengths.size() == 4);
    CATCH_REQUIRE(std::is_sorted(lengths.begin(), lengths.end()));
    CATCH_REQUIRE(lengths.back() >= 4 * lengths.front());
}
