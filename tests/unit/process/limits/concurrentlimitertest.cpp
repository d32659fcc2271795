#include "process/limits/borrowingratelimiter.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace Hyssophall;

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
