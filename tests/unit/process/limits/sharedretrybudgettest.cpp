#include "process/limits/sharedretrybudget.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace Hyssophall;

// Guards against retries that VMs allow each for itself and that together multiply the load on a failing service.
CATCH_TEST_CASE("Retries of all VMs together stay within the budget of each service", "[retries]")
{
    const SteadyTime start{std::chrono::hours(1)};
    SharedRetryBudget::Options options;
    options.ratio = 0.2;
    options.slack = 64;
    std::vector<std::unique_ptr<SharedRetryBudget>> budgets;
    SteadyTime now = start;
    for (std::size_t vm = 0; vm < 48; ++vm) {
        SharedRetryBudget::Hooks hooks;
        hooks.visibleShare = [] { return 1.0; };
        hooks.used = [&budgets, &now, vm](const std::string &service, std::uint32_t requests, std::uint32_t retries) {
            for (std::size_t other = 0; other < budgets.size(); ++other) {
                if (other != vm) {
                    budgets[other]->usedElsewhere(service, requests, retries, now);
                }
            }
        };
        budgets.push_back(std::make_unique<SharedRetryBudget>(options, std::move(hooks)));
    }
    int retried = 0;
    for (int request = 0; request < 1000; ++request) {
        now += std::chrono::milliseconds(10);
        SharedRetryBudget &budget = *budgets[static_cast<std::size_t>(request) % budgets.size()];
        budget.addRequest("orders", now);
        retried += budget.tryTake("orders", now) ? 1 : 0;
    }
    CATCH_CHECK(retried <= 0.2 * 1000 + 64);
    CATCH_CHECK(retried >= 0.5 * (0.2 * 1000 + 64));
    CATCH_CHECK(budgets[0]->tryTake("catalogue", now));
    now += std::chrono::seconds(11);
    CATCH_CHECK(budgets[0]->tryTake("orders", now));
}
