#include "process/limits/borrowingratelimiter.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace Hyssophall;

CATCH_TEST_CASE("A caller outlasts an owner that is silent for longer than a limited caller waits", "[fleet-limit]")
{
    // Guards against refusing requests inside a team's rate while the team's shard moves to another owner.
    FleetContext context;
    context.self = "a";
    context.clock = [] { return std::chrono::steady_clock::now(); };
    int asked = 0;
    const auto owner = [&asked](const FleetMessages::BorrowTokensRequest &request) {
        FleetMessages::BorrowTokensReply reply;
        ++asked;
        for (const FleetMessages::TokenDemand &demand : request.demands()) {
            FleetMessages::TokenLoan &loan = *reply.add_loans();
            loan.set_team(demand.team());
            loan.set_owned(asked > 10);
            loan.set_lent(asked > 10 ? demand.wanted() : 0);
        }
        return reply;
    };
    BorrowingRateLimiter::Options options;
    options.longestWait = std::chrono::milliseconds(1);
    options.longestSilence = std::chrono::minutes(1);
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
    CATCH_REQUIRE(asked == 11);
}

CATCH_TEST_CASE("A caller that waited for an owner still waits for the tokens of its empty bucket", "[fleet-limit]")
{
    // Guards against calling a team over its rate because a new owner's bucket has only begun to fill.
    FleetContext context;
    context.self = "a";
    context.clock = [] { return std::chrono::steady_clock::now(); };
    BorrowingRateLimiter::Options options;
    options.longestWait = std::chrono::seconds(1);
    options.longestSilence = std::chrono::minutes(1);
    const SteadyTime ownedFrom = context.clock() + options.longestWait * 3 / 2;
    int answers = 0;
    const auto owner = [&answers, ownedFrom](const FleetMessages::BorrowTokensRequest &request) {
        FleetMessages::BorrowTokensReply reply;
        const bool isOwned = std::chrono::steady_clock::now() >= ownedFrom;
        answers += isOwned ? 1 : 0;
        for (const FleetMessages::TokenDemand &demand : request.demands()) {
            FleetMessages::TokenLoan &loan = *reply.add_loans();
            loan.set_team(demand.team());
            loan.set_owned(isOwned);
            loan.set_lent(answers > 2 ? demand.wanted() : 0);
            loan.set_wait_milliseconds(answers > 2 ? 0 : 20);
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
    // Guards against calling a team over its rate because its owner had no token once and then left while the next question was on its way.
    FleetContext context;
    context.self = "a";
    context.clock = [] { return std::chrono::steady_clock::now(); };
    const BorrowingRateLimiter::Options options;
    int asked = 0;
    const auto owner = [&asked, &options](const FleetMessages::BorrowTokensRequest &request) {
        FleetMessages::BorrowTokensReply reply;
        ++asked;
        if (asked == 2) {
            // The question that the former owner no longer answers.
            std::this_thread::sleep_for(options.longestWait * 2);
        }
        for (const FleetMessages::TokenDemand &demand : request.demands()) {
            FleetMessages::TokenLoan &loan = *reply.add_loans();
            loan.set_team(demand.team());
            loan.set_owned(asked != 2);
            loan.set_lent(asked > 2 ? demand.wanted() : 0);
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
    FleetContext context;
    context.self = "a";
    context.clock = [] { return std::chrono::steady_clock::now(); };
    double left = 5000;
    std::atomic<int> granted = 0;
    std::atomic<int> limited = 0;
    // The owner runs on the borrower's thread alone.
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
