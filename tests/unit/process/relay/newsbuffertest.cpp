#include "process/relay/newsbuffer.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

namespace {

constexpr NewsBuffer::Gathering immediately{std::chrono::milliseconds(0), std::chrono::milliseconds(0)};

} // namespace

// Guards against a slow receiver for which the news of a busy fleet piles up.
CATCH_TEST_CASE("Counts that wait are added up, so the size of a message doesn't grow with its age", "[relay]")
{
    NewsBuffer buffer;
    RelayMessages::News news;
    RelayMessages::InstanceOutcomes &outcomes = *news.add_outcomes();
    outcomes.set_instance(7);
    outcomes.set_started(1);
    outcomes.set_succeeded(2);
    news.add_teams()->set_team("red");
    news.mutable_teams(0)->set_admitted(1);
    for (int count = 0; count < 1000; ++count) {
        buffer.add(news);
    }
    const std::uint64_t sequence = buffer.nextSequence();
    const RelayMessages::News taken = buffer.take(std::chrono::steady_clock::now(), immediately).value();
    CATCH_REQUIRE(taken.outcomes_size() == 1);
    CATCH_CHECK(taken.outcomes(0).started() == 1000);
    CATCH_CHECK(taken.outcomes(0).succeeded() == 2000);
    CATCH_CHECK(taken.teams(0).admitted() == 1000);
    CATCH_CHECK(taken.sequence() == sequence);
    CATCH_CHECK(buffer.take(std::chrono::steady_clock::now(), immediately)->outcomes().empty());
    buffer.close();
    CATCH_CHECK_FALSE(buffer.take(std::chrono::steady_clock::now(), immediately));
}

// Guards against failures that wait as long as counts do: requests go on to a failing instance meanwhile.
CATCH_TEST_CASE("A failure leaves at once and takes along what was waiting", "[relay]")
{
    NewsBuffer buffer;
    const NewsBuffer::Gathering gathering{std::chrono::milliseconds(1), std::chrono::seconds(60)};
    RelayMessages::News success;
    success.add_outcomes()->set_succeeded(1);
    RelayMessages::News failure;
    failure.add_outcomes()->set_failed(1);
    buffer.add(success);
    buffer.add(failure);
    const SteadyTime began = std::chrono::steady_clock::now();
    const RelayMessages::News taken = buffer.take(began + std::chrono::seconds(60), gathering).value();
    CATCH_CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(30));
    CATCH_CHECK(taken.outcomes(0).succeeded() == 1);
    CATCH_CHECK(taken.outcomes(0).failed() == 1);
    CATCH_CHECK_FALSE(NewsBuffer::isUrgent(success));
}
