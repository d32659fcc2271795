#include "process/health/routestatistics.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

// Guards against tries on a slow route that end early because the timeout follows the latency of a fast route.
CATCH_TEST_CASE("Each route has its own try timeout after a few responses", "[health]")
{
    RouteStatistics statistics;
    CATCH_CHECK_FALSE(statistics.perTryTimeout("specifications"));
    for (int answer = 0; answer < 20; ++answer) {
        CATCH_CHECK(statistics.perTryTimeout("specifications").has_value() == (answer >= 5));
        statistics.add("specifications", std::chrono::milliseconds(900), 400);
        statistics.add("progress", std::chrono::milliseconds(50), 5000);
    }
    CATCH_CHECK(statistics.perTryTimeout("specifications") == std::chrono::milliseconds(2700));
    // The lower bound applies to fast routes, so that a pause of the VM doesn't look like a hanging instance.
    CATCH_CHECK(statistics.perTryTimeout("progress") == std::chrono::milliseconds(400));
    CATCH_CHECK(statistics.responseBytes("progress") == 5000);
    CATCH_CHECK(statistics.responseBytes("unknown") == 0);
}
