#include "process/health/healthmonitor.h"

#include "process/health/crashregistry.h"
#include "support/fakedirectory.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <random>

using namespace Hyssophall;
using namespace std::chrono_literals;

namespace {

InstanceQuery queryOf(bool idempotent, const std::set<std::string> &tried = {})
{
    InstanceQuery query;
    query.service = "reads";
    query.idempotent = idempotent;
    query.tried = tried;
    return query;
}

/// A monitor with one service, simulated time and seeded random numbers.
struct Fixture {
    explicit Fixture(int instances, unsigned int seed = 1)
        : generator(seed)
    {
        this->directory.add("reads", instances);
        HealthMonitor::Options options;
        options.clock = [this] { return this->now; };
        options.random = [this] { return this->generator(); };
        options.reportCrash = [this](std::uint64_t fingerprint, const std::string &instance) {
            if (this->registry.report(fingerprint, instance, this->now)) {
                this->poisonFound = fingerprint;
            }
        };
        this->monitor = std::make_unique<HealthMonitor>(options, this->directory);
    }

    std::string send(TryOutcome outcome, std::chrono::microseconds latency, std::uint64_t fingerprint = 1, bool idempotent = true)
    {
        const std::optional<FleetMessages::Instance> instance = this->monitor->choose(queryOf(idempotent));
        CATCH_REQUIRE(instance.has_value());
        this->monitor->finish(*instance, outcome, latency, fingerprint);
        return instance->id();
    }

    std::vector<HealthMonitor::ServiceReport> collectAll()
    {
        return this->monitor->collect([](const std::string &, bool) { return true; });
    }

    TestSupport::FakeDirectory directory;
    std::mt19937_64 generator;
    SteadyTime now{1h};
    CrashRegistry registry;
    std::uint64_t poisonFound = 0;
    std::unique_ptr<HealthMonitor> monitor;
};

} // namespace

CATCH_TEST_CASE("A failing instance gets fewer requests before any ejection", "[routing]")
{
    // Guards against a VM that sends an even share of requests to a failing instance until the arbiter ejects it.
    Fixture fixture(8);
    std::map<std::string, int> sent;
    int failures = 0;
    for (int request = 0; request < 1000; ++request) {
        const std::optional<FleetMessages::Instance> instance = fixture.monitor->choose(queryOf(true));
        const bool fails = instance->id() == "reads-04";
        failures += fails ? 1 : 0;
        fixture.monitor->finish(*instance, fails ? TryOutcome::ServerError : TryOutcome::Answered, 5ms, 1);
        ++sent[instance->id()];
    }
    // An even share would be 125.
    CATCH_REQUIRE(failures < 40);
    // It still gets a few requests, since its recovery can't be detected otherwise.
    CATCH_REQUIRE(failures > 0);
}

CATCH_TEST_CASE("A request that can't be retried isn't sent to instances that fail", "[routing]")
{
    // Guards against sending such a request to an instance that this VM knows to fail often, while other instances succeed.
    Fixture fixture(4);
    for (int request = 0; request < 400; ++request) {
        const std::optional<FleetMessages::Instance> instance = fixture.monitor->choose(queryOf(true));
        fixture.monitor->finish(*instance, instance->id() == "reads-02" ? TryOutcome::TimedOut : TryOutcome::Answered, 5ms, 1);
    }
    for (int request = 0; request < 400; ++request) {
        CATCH_REQUIRE(fixture.send(TryOutcome::Answered, 5ms, 2, false) != "reads-02");
    }
}

CATCH_TEST_CASE("Leaving and tried instances get no request, ejected ones only when nothing else is left", "[leaving-upstream]")
{
    // Guards against requests to an instance that shuts down, and against refusing a request that an ejected instance may still serve.
    Fixture fixture(3);
    fixture.directory.byService["reads"][0].instance.set_state(FleetMessages::INSTANCE_STATE_LEAVING);
    fixture.directory.byService["reads"][1].ejected = true;
    for (int request = 0; request < 100; ++request) {
        CATCH_REQUIRE(fixture.send(TryOutcome::Answered, 5ms) == "reads-02");
    }
    CATCH_REQUIRE(fixture.monitor->choose(queryOf(true, {"reads-02"}))->id() == "reads-01");
    CATCH_REQUIRE_FALSE(fixture.monitor->choose(queryOf(true, {"reads-01", "reads-02"})).has_value());
}

CATCH_TEST_CASE("A request that crashes two instances is poison and doesn't count against them", "[poison]")
{
    // Guards against the ejection of healthy instances because of a request that crashes each instance that runs it.
    Fixture fixture(4);
    const FleetMessages::Instance first = fixture.directory.byService["reads"][0].instance;
    const FleetMessages::Instance second = fixture.directory.byService["reads"][1].instance;
    fixture.monitor->choose(queryOf(true));
    fixture.monitor->finish(first, TryOutcome::ConnectionLost, 5ms, 77);
    CATCH_REQUIRE(fixture.poisonFound == 0);
    fixture.monitor->finish(second, TryOutcome::ConnectionLost, 5ms, 77);
    CATCH_REQUIRE(fixture.poisonFound == 77);
    fixture.monitor->markPoison(77, CrashRegistry::retention);
    CATCH_REQUIRE(fixture.monitor->isPoison(77));
    CATCH_REQUIRE_FALSE(fixture.monitor->isPoison(78));
    fixture.now += 3s;
    for (const HealthMonitor::ServiceReport &report : fixture.collectAll()) {
        for (const FleetMessages::OutcomeCounts &counts : report.counts) {
            CATCH_REQUIRE(counts.failed() == 0);
        }
    }
    fixture.now += CrashRegistry::retention;
    CATCH_REQUIRE_FALSE(fixture.monitor->isPoison(77));
}

CATCH_TEST_CASE("A frequent request in flight on crashed instances isn't classified as poison", "[poison][true-refusal]")
{
    // Guards against false refusals: a harmless request loses its connection together with the one that crashes the instance.
    Fixture fixture(4);
    fixture.send(TryOutcome::Answered, 5ms, 5);
    for (const KnownInstance &known : fixture.directory.byService["reads"]) {
        fixture.monitor->finish(known.instance, TryOutcome::ConnectionLost, 5ms, 5);
    }
    CATCH_REQUIRE(fixture.poisonFound == 0);
}

CATCH_TEST_CASE("A lost connection counts against its instance when the request isn't found to be poison in time", "[ejection]")
{
    // Guards against an instance that loses connections by its own fault and is never reported.
    Fixture fixture(2);
    const FleetMessages::Instance first = fixture.directory.byService["reads"][0].instance;
    fixture.monitor->choose(queryOf(true));
    fixture.monitor->finish(first, TryOutcome::ConnectionLost, 5ms, 91);
    CATCH_REQUIRE(fixture.collectAll().empty());
    fixture.now += 3s;
    const std::vector<HealthMonitor::ServiceReport> reports = fixture.collectAll();
    CATCH_REQUIRE(reports.size() == 1);
    CATCH_REQUIRE(reports.front().suspicious);
    CATCH_REQUIRE(reports.front().counts.front().failed() == 1);
}

CATCH_TEST_CASE("A slow instance is reported and one that starts cold isn't", "[ejection]")
{
    // Guards against undetected slow instances, and against ejecting a new instance for its latency while it warms up.
    Fixture fixture(6);
    std::set<std::string> slowOnes;
    for (int round = 0; round < 2; ++round) {
        for (int request = 0; request < 600; ++request) {
            const std::optional<FleetMessages::Instance> instance = fixture.monitor->choose(queryOf(true));
            const bool slow = instance->id() == "reads-01" || instance->id() == "reads-05";
            fixture.monitor->finish(*instance, TryOutcome::Answered, slow ? 80ms : 5ms, 1);
        }
        if (round == 0) {
            // Restarts the last instance, which is slow while it warms up.
            fixture.directory.byService["reads"][5].instance.set_incarnation(2);
            fixture.collectAll();
        }
    }
    for (const HealthMonitor::ServiceReport &report : fixture.collectAll()) {
        for (const FleetMessages::OutcomeCounts &counts : report.counts) {
            CATCH_INFO(counts.instance());
            CATCH_REQUIRE((counts.slow() > 0) == (counts.instance() == "reads-01"));
        }
    }
}

CATCH_TEST_CASE("A hanging instance is reported before its requests time out", "[ejection]")
{
    // Guards against detection only at the deadline of the requests, which is 10 s by default.
    Fixture fixture(4);
    std::size_t hanging = 0;
    for (int request = 0; request < 200; ++request) {
        const std::optional<FleetMessages::Instance> instance = fixture.monitor->choose(queryOf(true));
        if (instance->id() == "reads-03" && request > 100) {
            ++hanging;
        } else {
            fixture.monitor->finish(*instance, TryOutcome::Answered, 5ms, 1);
        }
    }
    CATCH_REQUIRE(hanging > 0);
    fixture.collectAll();
    fixture.now += 500ms;
    const std::vector<HealthMonitor::ServiceReport> reports = fixture.collectAll();
    CATCH_REQUIRE(reports.size() == 1);
    CATCH_REQUIRE(reports.front().suspicious);
    CATCH_REQUIRE(reports.front().counts.size() == 1);
    CATCH_REQUIRE(reports.front().counts.front().instance() == "reads-03");
    CATCH_REQUIRE(reports.front().counts.front().slow() == hanging);
    // When the same tries time out later, they aren't counted again.
    for (std::size_t request = 0; request < hanging; ++request) {
        fixture.monitor->finish(fixture.directory.byService["reads"][3].instance, TryOutcome::TimedOut, 500ms, 1);
    }
    CATCH_REQUIRE(fixture.collectAll().empty());
}
