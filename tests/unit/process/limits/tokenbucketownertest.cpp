#include "process/limits/tokenbucketowner.h"

#include "process/fleet/shardleases.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace Hyssophall;

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr SteadyTime start{std::chrono::hours(1)};

/// Reference bucket without rounding errors: counts thousandths of a token as integers and advances by single milliseconds.
struct ExactBucket {
    std::int64_t thousandths = 0;
    std::int64_t capacity = 0;
    std::int64_t perMillisecond = 0;

    void pass(int milliseconds)
    {
        for (int count = 0; count < milliseconds; ++count) {
            this->thousandths = std::min(this->capacity, this->thousandths + this->perMillisecond);
        }
    }
    std::int64_t lend(std::int64_t wanted, std::int64_t returned)
    {
        this->thousandths = std::min(this->capacity, this->thousandths + 1000 * returned);
        const std::int64_t lent = std::min(wanted, this->thousandths / 1000);
        this->thousandths -= 1000 * lent;
        return lent;
    }
};

struct OwnerFixture {
    std::optional<TeamLimit> limit = TeamLimit{10, 5};
    std::optional<std::uint64_t> epoch = 1;
    TokenBucketOwner owner{{}, [this](const std::string &) { return this->limit; }, [this](std::uint32_t) { return this->epoch; }};

    FleetMessages::TokenLoan borrow(const std::string &member, double wanted, double returned, SteadyTime now)
    {
        FleetMessages::BorrowTokensRequest request;
        request.set_member(member);
        FleetMessages::TokenDemand &demand = *request.add_demands();
        demand.set_team("red");
        demand.set_wanted(wanted);
        demand.set_returned(returned);
        return this->owner.borrow(request, now).loans(0);
    }
};

} // namespace

// Guards against rounding errors that lend a token too many or too few over time.
CATCH_TEST_CASE("The bucket lends what an exact bucket in whole numbers lends", "[fleet-limit]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 random(seed);
        OwnerFixture fixture;
        fixture.limit = TeamLimit{static_cast<double>(1 + random() % 500), static_cast<double>(1 + random() % 40)};
        ExactBucket exact{0, static_cast<std::int64_t>(fixture.limit->burst) * 1000, std::llround(fixture.limit->rate)};
        fixture.owner.updateShards(start);
        SteadyTime now = start;
        std::int64_t held = 0;
        for (int step = 0; step < 400; ++step) {
            const int pause = static_cast<int>(random() % 100);
            now += Milliseconds(pause);
            exact.pass(pause);
            const std::int64_t wanted = static_cast<std::int64_t>(random() % 8);
            const std::int64_t returned = random() % 3 == 0 ? std::min<std::int64_t>(held, 2) : 0;
            const std::int64_t lent = std::llround(fixture.borrow("a", static_cast<double>(wanted), static_cast<double>(returned), now).lent());
            CATCH_INFO("seed " << seed << " step " << step);
            CATCH_REQUIRE(lent == exact.lend(wanted, returned));
            held += lent - returned;
        }
    }
}

// Guards against lending tokens a second time that the previous owner of the shard has lent, and against lending without a lease.
CATCH_TEST_CASE("A new epoch starts with an empty bucket", "[fleet-limit]")
{
    OwnerFixture fixture;
    fixture.owner.updateShards(start);
    const SteadyTime later = start + std::chrono::seconds(10);
    CATCH_REQUIRE(fixture.borrow("a", 3, 0, later).lent() == 3);
    fixture.epoch = 2;
    CATCH_REQUIRE(fixture.borrow("a", 3, 0, later).lent() == 0);
    fixture.epoch.reset();
    CATCH_REQUIRE_FALSE(fixture.borrow("a", 3, 0, later).owned());
}

// Guards against a burst of tokens when a team's limit is raised, or when the team is removed and added again.
CATCH_TEST_CASE("A raised limit doesn't count for the time before, and a removed team gets nothing", "[fleet-limit]")
{
    OwnerFixture fixture;
    fixture.owner.updateShards(start);
    CATCH_REQUIRE(fixture.borrow("a", 0, 0, start).lent() == 0);
    fixture.limit = TeamLimit{1000, 1000};
    CATCH_REQUIRE(fixture.borrow("a", 900, 0, start + Milliseconds(300)).lent() == 3);
    fixture.limit = TeamLimit{10, 2};
    CATCH_REQUIRE(fixture.borrow("a", 900, 0, start + std::chrono::seconds(60)).lent() == 2);
    fixture.limit.reset();
    CATCH_REQUIRE(fixture.borrow("a", 1, 0, start + std::chrono::seconds(70)).lent() == 0);
    fixture.limit = TeamLimit{10, 2};
    CATCH_REQUIRE(fixture.borrow("a", 1, 0, start + std::chrono::seconds(70)).lent() == 0);
}

// Guards against a VM with a large demand that takes all tokens before a VM with a small one gets any.
CATCH_TEST_CASE("Members get shares in proportion to their demand, and a small one isn't starved", "[fleet-limit]")
{
    OwnerFixture fixture;
    fixture.limit = TeamLimit{100, 100};
    fixture.owner.updateShards(start);
    double large = 0;
    double small = 0;
    for (int round = 0; round < 400; ++round) {
        const SteadyTime now = start + Milliseconds(25 * round);
        large += fixture.borrow("large", 80, 0, now).lent();
        small += fixture.borrow("small", 8, 0, now + Milliseconds(5)).lent();
    }
    CATCH_REQUIRE(small > large / 20);
    CATCH_REQUIRE(large > small);
}

// Guards against a faulty VM whose messages corrupt a bucket.
CATCH_TEST_CASE("Amounts that aren't numbers or are negative move no tokens", "[fleet-limit]")
{
    OwnerFixture fixture;
    fixture.owner.updateShards(start);
    const SteadyTime now = start + Milliseconds(200);
    CATCH_REQUIRE(fixture.borrow("a", std::nan(""), std::nan(""), now).lent() == 0);
    CATCH_REQUIRE(fixture.borrow("a", -5, -5, now).lent() == 0);
    CATCH_REQUIRE(fixture.borrow("a", 5, 0, now).lent() == 2);
}
