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

InstanceNotice retryAfterOf(const std::string &value, int status = 503)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({"Retry-After", value});
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

// Guards against an instance that is kept out of use, or used all the same, because of a Retry-After that can't be meant so.
CATCH_TEST_CASE("Retry-After counts as a number of seconds in a response with status 503, and up to an hour", "[load-shedding]")
{
    CATCH_CHECK(retryAfterOf("3").retryAfter() == std::chrono::seconds(3));
    CATCH_CHECK(retryAfterOf("0.25").retryAfter() == std::chrono::milliseconds(250));
    CATCH_CHECK(retryAfterOf("0").retryAfter() == std::chrono::milliseconds(0));
    CATCH_CHECK(retryAfterOf("86400").retryAfter() == std::chrono::hours(1));
    for (const std::string &value : std::vector<std::string>{"", "soon", "-3", "+3", "3 s", "1e3", "nan", "inf", "Fri, 04 Dec 2026 19:00:00 GMT", "1e99"}) {
        CATCH_CAPTURE(value);
        CATCH_CHECK(!retryAfterOf(value).isRetryAfterValid());
        CATCH_CHECK(!retryAfterOf(value).retryAfter());
    }
    CATCH_CHECK(!retryAfterOf("99999999999999999999").retryAfter());
    // With another status, the header is for the caller.
    CATCH_CHECK(!retryAfterOf("3", 429).retryAfter());
    CATCH_CHECK(retryAfterOf("soon", 200).isRetryAfterValid());
}

// Guards against an instance that is taken out of use because its responses say that it isn't leaving.
CATCH_TEST_CASE("An instance is leaving if a response says so with a value that isn't a negation", "[leaving-upstream]")
{
    const auto isLeaving = [](const std::string &value) { return InstanceNotice({200, {{HeaderNames().leaving, value}}, ""}, HeaderNames()).isLeaving(); };
    CATCH_CHECK(isLeaving("1"));
    CATCH_CHECK(isLeaving("true"));
    CATCH_CHECK(!isLeaving("0"));
    CATCH_CHECK(!isLeaving("false"));
    const InstanceNotice absent{HttpResponse(), HeaderNames()};
    CATCH_CHECK(!absent.isLeaving());
}
