#include "process/limits/sharedratelimiter.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <vector>

using namespace Hyssophall;

namespace {

constexpr SteadyTime start{std::chrono::hours(1)};

/// VMs that hear of each other's admissions, all but those in other parts of a divided fleet.
class LimitedFleet
{
public:
    explicit LimitedFleet(std::size_t vms)
        : parts(vms, 0)
    {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            SharedRateLimiter::Hooks hooks;
            hooks.clock = [this] { return this->now; };
            hooks.rateOf = [](const std::string &) { return TeamRate{40, 20}; };
            hooks.visibleShare = [this, vm] {
                return static_cast<double>(std::count(this->parts.begin(), this->parts.end(), this->parts[vm])) / static_cast<double>(this->parts.size());
            };
            hooks.admitted = [this, vm](const std::string &team, bool) {
                for (std::size_t other = 0; other < this->limiters.size(); ++other) {
                    if (other != vm && this->parts[other] == this->parts[vm]) {
                        this->limiters[other]->admittedElsewhere(team, 1);
                    }
                }
            };
            this->limiters.push_back(std::make_unique<SharedRateLimiter>(std::move(hooks)));
        }
    }

    /// Requests of one team that are admitted within @p seconds, at @p perSecond on VMs chosen by chance.
    int admit(int seconds, int perSecond, std::mt19937_64 &random)
    {
        int admitted = 0;
        for (int request = 0; request < seconds * perSecond; ++request) {
            this->now += std::chrono::microseconds(1000000 / perSecond);
            const std::size_t vm = random() % this->limiters.size();
            admitted += this->limiters[vm]->acquire("red", this->now).kind == RateDecision::Kind::Granted ? 1 : 0;
        }
        return admitted;
    }

    SteadyTime now = start;
    /// The part of the fleet in which each VM is.
    std::vector<int> parts;
    std::vector<std::unique_ptr<SharedRateLimiter>> limiters;
};

} // namespace

// Guards against a team that gets more than its rate and burst by spreading its requests over VMs.
CATCH_TEST_CASE("A team at five times its rate gets its rate and burst over all VMs together", "[fleet-limit]")
{
    std::mt19937_64 random(1);
    LimitedFleet fleet(48);
    const int admitted = fleet.admit(10, 200, random);
    CATCH_CHECK(admitted <= 40 * 10 + 20 + 1);
    CATCH_CHECK(admitted >= 40 * 10);
}

// Guards against false refusals where the balancer sends all of a team's requests to one VM.
CATCH_TEST_CASE("A team inside its rate is never refused, however its requests fall on VMs", "[fleet-limit]")
{
    LimitedFleet fleet(48);
    for (int request = 0; request < 1000; ++request) {
        fleet.now += std::chrono::milliseconds(26);
        CATCH_REQUIRE(fleet.limiters[request < 500 ? 7 : 8]->acquire("red", fleet.now).kind == RateDecision::Kind::Granted);
    }
}

// Guards against each part of a divided fleet giving out the whole rate.
CATCH_TEST_CASE("The parts of a divided fleet together keep to the limit", "[fleet-limit]")
{
    std::mt19937_64 random(2);
    for (const int cutOff : {1, 12, 43}) {
        LimitedFleet fleet(48);
        for (int vm = 0; vm < cutOff; ++vm) {
            // Each of these hears nobody.
            fleet.parts[static_cast<std::size_t>(vm)] = vm + 1;
        }
        fleet.admit(2, 200, random);
        const int admitted = fleet.admit(10, 400, random);
        CATCH_CAPTURE(cutOff);
        // A VM that is alone may round its share of the burst up to one request.
        CATCH_CHECK(admitted <= 40 * 10 + 20 + cutOff);
    }
}
