#include "process/health/routestatistics.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

// Guards against ending tries of a slow route by the latency of a fast one.
CATCH_TEST_CASE("Each route has its own patience, from a few answers on", "[health]")
{
    RouteStatistics statistics;
    CATCH_CHECK_FALSE(statistics.patience("specifications"));
    for (int answer = 0; answer < 20; ++answer) {
        CATCH_CHECK(statistics.patience("specifications").has_value() == (answer >= 5));
        statistics.add("specifications", std::chrono::milliseconds(900), 400);
        statistics.add("progress", std::chrono::milliseconds(50), 5000);
    }
    CATCH_CHECK(statistics.patience("specifications") == std::chrono::milliseconds(2700));
    // A pause of the VM must not look like a hanging instance, however fast the route is.
    CATCH_CHECK(statistics.patience("progress") == std::chrono::milliseconds(400));
    CATCH_CHECK(statistics.answerBytes("progress") == 5000);
    CATCH_CHECK(statistics.answerBytes("unknown") == 0);
}
