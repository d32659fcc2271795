#include "request/instancenotice.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace Hyssophall;

namespace {

InstanceNotice limitOf(const std::string &value)
{
    HttpResponse response;
    response.headers.push_back({HeaderNames().requestLimit, value});
    return {response, HeaderNames()};
}

} // namespace

// Guards against a limit that is taken from a value that isn't one, or that ends because of it.
CATCH_TEST_CASE("A limit is a decimal number, and other values say nothing about it", "[load-shedding]")
{
    CATCH_CHECK(limitOf("3.4").requestsPerSecond() == 3.4);
    CATCH_CHECK(limitOf("0").requestsPerSecond() == 0.0);
    for (const std::string &value : std::vector<std::string>{"", "many", "-1", "3.4 ", "1e3", "nan", "inf", "0x4", "99999999"}) {
        CATCH_CAPTURE(value);
        CATCH_CHECK(!limitOf(value).isLimitValid());
    }
    const InstanceNotice absent{HttpResponse(), HeaderNames()};
    CATCH_CHECK(absent.isLimitValid());
    CATCH_CHECK(!absent.requestsPerSecond());
}
