#include "connection/upstreamclient.h"
#include "fuzz/mutator.h"
#include "process/administration/administrationserver.h"
#include "process/proxy/callerendpoint.h"
#include "support/rawcaller.h"
#include "support/rawupstream.h"
#include "unit/process/administration/administrationmocks.h"
#include "unit/process/administration/freeport.h"
#include "unit/process/proxy/requesthandlermocks.h"

#include <catch2/catch.hpp>

#include <stdexcept>
#include <thread>

using namespace Hyssophall;
using namespace std::chrono_literals;
using HyssophallTest::MockedRequestHandler;
using HyssophallTest::Mutator;
using HyssophallTest::RawCaller;
using HyssophallTest::RawConnection;
using HyssophallTest::RawUpstream;

namespace {

const std::string good = "GET /read HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer red-key\r\n\r\n";

const std::vector<std::string> corpus{good,
    "POST /write HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabcde",
    "POST /v1/announce HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "GET /v1/keys/%41?change_id=1&expected_version=2 HTTP/1.1\r\n\r\n",
    "HEAD / HTTP/1.0\r\n\r\n"};

CallerEndpoint::Options optionsOf()
{
    CallerEndpoint::Options options;
    options.endpoint = {"127.0.0.1", 0};
    options.connectionTimeout = 1s;
    return options;
}

CallerResponse answerPlainly(const CallerRequest &)
{
    CallerResponse answer;
    answer.http.status = 200;
    answer.http.body = "ok";
    return answer;
}

/// Sends mutated requests, each on a connection of its own that closes at once.
void attack(std::uint16_t port, std::uint64_t seed)
{
    Mutator mutator(seed);
    for (int round = 0; round < 400; ++round) {
        RawCaller caller(port);
        caller.write(mutator.mutated(corpus));
    }
}

std::string firstLine(const std::string &answer)
{
    return answer.substr(0, answer.find("\r\n"));
}

/// The status line, or nothing when the connection closed without one.
std::string statusOf(std::uint16_t port, const std::string &text)
{
    RawCaller caller(port);
    return firstLine(caller.exchange(text));
}

} // namespace

// Guards against bytes from callers that crash the endpoint or leave requests behind that hold up the shutdown.
CATCH_TEST_CASE("The caller port survives mutated requests", "[fuzz][proxy]")
{
    const std::unique_ptr<CallerEndpoint> endpoint = CallerEndpoint::create(optionsOf(), answerPlainly).value();
    attack(endpoint->port(), 10);
    CATCH_REQUIRE(statusOf(endpoint->port(), good) == "HTTP/1.1 200 OK");
    CATCH_REQUIRE(endpoint->waitUntilIdle(10s));
}

// Guards against senders that are refused without an answer, or hold a connection for good.
CATCH_TEST_CASE("Requests that aren't HTTP are refused by the caller port", "[fuzz][proxy]")
{
    const std::unique_ptr<CallerEndpoint> endpoint = CallerEndpoint::create(optionsOf(), answerPlainly).value();
    const std::string head = "POST /write HTTP/1.1\r\nHost: x\r\n";
    for (const std::string &text : {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
             head + "X: " + std::string(100000, 'x') + "\r\n\r\n",
             "GET /" + std::string(100000, 'x') + " HTTP/1.1\r\nHost: x\r\n\r\n",
             head + "Content-Length: -5\r\n\r\n"}) {
        const std::string status = statusOf(endpoint->port(), text);
        CATCH_INFO(text.substr(0, 100) << " -> " << status);
        CATCH_REQUIRE((status.empty() || status.starts_with("HTTP/1.1 4")));
    }
    for (const std::string &part : {std::string("GET /re"), head + "X: y", head + "Content-Length: 10\r\n\r\nabc"}) {
        RawCaller slow(endpoint->port());
        slow.write(part);
        slow.readAnswer();
        CATCH_REQUIRE(slow.isClosedByPeer());
    }
    CATCH_REQUIRE(endpoint->waitUntilIdle(10s));
}

// Guards against bytes that crash the administration port.
CATCH_TEST_CASE("The administration port survives mutated requests", "[fuzz][administration]")
{
    ApiFixture fixture;
    const unsigned short port = freePort();
    const boost::leaf::result<std::unique_ptr<Administration::AdministrationServer>> server = Administration::AdministrationServer::create(
        [&fixture](const Administration::HttpRequest &request) { return fixture.api.handle(request); }, Endpoint{"127.0.0.1", port}, 64);
    CATCH_REQUIRE(server);
    attack(port, 11);
    CATCH_REQUIRE(statusOf(port, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") == "HTTP/1.1 200 OK");
}

// Guards against an unexpected failure in one request that ends the process, with all other requests.
CATCH_TEST_CASE("A request that fails unexpectedly is refused with an unknown outcome", "[proxy][true-refusal]")
{
    const std::unique_ptr<CallerEndpoint> endpoint
        = CallerEndpoint::create(optionsOf(), [](const CallerRequest &) -> CallerResponse { throw std::runtime_error("unexpected"); }).value();
    RawCaller caller(endpoint->port());
    const std::string answer = caller.exchange(good);
    CATCH_REQUIRE(firstLine(answer).starts_with("HTTP/1.1 502"));
    CATCH_REQUIRE(answer.find("Hyssophall-Outcome: unknown") != std::string::npos);
}

// Guards against a permit and a token that stay taken until the deadline for a caller that is gone.
CATCH_TEST_CASE("An idempotent try ends when its caller goes away", "[proxy]")
{
    std::atomic<bool> received{false};
    std::atomic<bool> ended{false};
    RawUpstream upstream([&received, &ended](RawConnection &, const std::string &) {
        received = true;
        while (!ended) {
            std::this_thread::sleep_for(1ms);
        }
    });
    UpstreamClient client({});
    MockedRequestHandler mocked(&client, {upstream.port()});
    CallerEndpoint::Options options = optionsOf();
    options.connectionTimeout = 90s;
    const std::unique_ptr<CallerEndpoint> endpoint
        = CallerEndpoint::create(options, [&mocked](const CallerRequest &request) { return mocked.path.handle(request); }).value();
    {
        RawCaller caller(endpoint->port());
        caller.write("GET /read HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer red-key\r\nX-Request-Timeout-Ms: 50000\r\n\r\n");
        while (!received) {
            std::this_thread::sleep_for(1ms);
        }
        CATCH_REQUIRE(endpoint->requestsInFlight() == 1);
    }
    const bool idle = endpoint->waitUntilIdle(20s);
    ended = true;
    CATCH_REQUIRE(idle);
}
