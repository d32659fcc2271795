#include "process/limits/borrowingratelimiter.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace Hyssophall;

CATCH_TEST_CASE("A caller keeps waiting when the owner doesn't reply for longer than a limited caller waits", "[fleet-limit]")
{
    // Guards against refusing requests within a team's rate while the team's shard moves to another owner: no VM lends tokens for longer than
    // maximumRateWait then.
    FleetContext context;
    context.self = "a";
    context.clock = [] { return std::chrono::steady_clock::now(); };
    int requests = 0;
    const auto owner = [&requests](const FleetMessages::BorrowTokensRequest &request) {
        FleetMessages::BorrowTokensReply reply;
        ++requests;
        for (const FleetMessages::TokenDemand &demand : request.demands()) {
            FleetMessages::TokenLoan &loan = *reply.add_loans();
            loan.set_team(demand.team());
            loan.set_owned(requests > 10);
            loan.set_lent(requests > 10 ? demand.wanted() : 0);
        }
        return reply;
    };
    BorrowingRateLimiter::Options options;
    options.maximumRateWait = std::chrono::milliseconds(1);
    options.maximumOwnerWait = std::chrono::minutes(1);
    const std::shared_ptr<BorrowingRateLimiter> limiter = BorrowingRateLimiter::create(
        context, options, [](std::uint32_t) { return "a"; }, owner);
    std::atomic<bool> ended = false;
    std::thread borrower([&] {
        while (!ended) {
            limiter->waitUntil(limiter->step());
        }
    });
    const RateDecision decision = limiter->acquire("red", std::chrono::steady_clock::now() + std::chrono::minutes(1));
    ended = true;
    limiter->wake();
    borrower.join();
    CATCH_REQUIRE(decision.kind == RateDecision::Kind::Granted);
    CATCH_REQUIRE(requests == 11);
}

CATCH_TEST_CASE("A caller that waited for an owner still waits for the tokens of its empty bucket", "[fleet-limit]")
{
    // Guards against refusing a team as over its rate because the bucket of a new owner starts empty and has only begun to fill.
    FleetContext context;
    context.self = "a";
    context.clock = [] { return std::chrono::steady_clock::now(); };
    BorrowingRateLimiter::Options options;
    options.maximumRateWait = std::chrono::seconds(1);
    options.maximumOwnerWait = std::chrono::minutes(1);
    const SteadyTime ownedFrom = context.clock() + options.maximumRateWait * 3 / 2;
    int replies = 0;
    const auto owner = [&replies, ownedFrom](const FleetMessages::BorrowTokensRequest &request) {
        FleetMessages::BorrowTokensReply reply;
        const bool isOwned = std::chrono::steady_clock::now() >= ownedFrom;
        replies += isOwned ? 1 : 0;
        for (const FleetMessages::TokenDemand &demand : request.demands()) {
            FleetMessages::TokenLoan &loan = *reply.add_loans();
            loan.set_team(demand.team());
            loan.set_owned(isOwned);
            loan.set_lent(replies > 2 ? demand.wanted() : 0);
            loan.set_wait_milliseconds(replies > 2 ? 0 : 20);
        }
        return reply;
    };
    const std::shared_ptr<BorrowingRateLimiter> limiter = BorrowingRateLimiter::create(
        context, options, [](std::uint32_t) { return "a"; }, owner);
    std::atomic<bool> ended = false;
    std::thread borrower([&] {
        while (!ended) {
            limiter->waitUntil(limiter->step());
        }
    });
    const RateDecision decision = limiter->acquire("red", std::chrono::steady_clock::now() + std::chrono::minutes(1));
    ended = true;
    limiter->wake();
    borrower.join();
    CATCH_REQUIRE(decision.kind == RateDecision::Kind::Granted);
}

CATCH_TEST_CASE("A caller isn't refused for a former owner's last answer", "[fleet-limit]")
{
    // Guards against refusing a team as over its rate by an old reply: the owner had no token, and then left while the next request was on its way.
    FleetContext context;
    context.self = "a";
    context.clock = [] { return std::chrono::steady_clock::now(); };
    const BorrowingRateLimiter::Options options;
    int requests = 0;
    const auto owner = [&requests, &options](const FleetMessages::BorrowTokensRequest &request) {
        FleetMessages::BorrowTokensReply reply;
        ++requests;
        if (requests == 2) {
            // The request to which the former owner no longer replies.
            std::this_thread::sleep_for(options.maximumRateWait * 2);
        }
        for (const FleetMessages::TokenDemand &demand : request.demands()) {
            FleetMessages::TokenLoan &loan = *reply.add_loans();
            loan.set_team(demand.team());
            loan.set_owned(requests != 2);
            loan.set_lent(requests > 2 ? demand.wanted() : 0);
            loan.set_wait_milliseconds(1);
        }
        return reply;
    };
    const std::shared_ptr<BorrowingRateLimiter> limiter = BorrowingRateLimiter::create(
        context, options, [](std::uint32_t) { return "a"; }, owner);
    std::atomic<bool> ended = false;
    std::thread borrower([&] {
        while (!ended) {
            limiter->waitUntil(limiter->step());
        }
    });
    const RateDecision decision = limiter->acquire("red", std::chrono::steady_clock::now() + std::chrono::minutes(1));
    ended = true;
    limiter->wake();
    borrower.join();
    CATCH_CHECK(decision.kind == RateDecision::Kind::Granted);
}

CATCH_TEST_CASE("Callers on many threads get exactly the tokens that were lent", "[fleet-limit]")
{
    // Guards against tokens that are granted twice or lost when several threads call acquire() while tokens arrive.
    FleetContext context;
    context.self = "a";
    context.clock = [] { return std::chrono::steady_clock::now(); };
    double left = 5000;
    std::atomic<int> granted = 0;
    std::atomic<int> limited = 0;
    // The owner is called only on the borrower's thread, so it needs no lock.
    const auto owner = [&left](const FleetMessages::BorrowTokensRequest &request) {
        FleetMessages::BorrowTokensReply reply;
        for (const FleetMessages::TokenDemand &demand : request.demands()) {
            FleetMessages::TokenLoan &loan = *reply.add_loans();
            left += demand.returned();
            loan.set_team(demand.team());
            loan.set_owned(true);
            loan.set_lent(std::min(left, demand.wanted()));
            loan.set_wait_milliseconds(left < demand.wanted() ? 1000 : 0);
            left -= loan.lent();
        }
        return reply;
    };
    const std::shared_ptr<BorrowingRateLimiter> limiter = BorrowingRateLimiter::create(
        context, {}, [](std::uint32_t) { return "a"; }, owner);
    std::atomic<bool> ended = false;
    std::thread borrower([&] {
        while (!ended) {
            limiter->waitUntil(limiter->step());
        }
    });
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 8; ++caller) {
        callers.emplace_back([&] {
            while (limited == 0) {
                const RateDecision decision = limiter->acquire("red", std::chrono::steady_clock::now() + std::chrono::minutes(1));
                ++(decision.kind == RateDecision::Kind::Granted ? granted : limited);
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    ended = true;
    limiter->wake();
    borrower.join();
    CATCH_REQUIRE(granted == 5000);
    CATCH_REQUIRE(left == 0);
}
