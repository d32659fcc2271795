#include "process/proxy/callerendpoint.h"

#include "connection/upstreamclient.h"
#include "support/rawcaller.h"
#include "support/rawupstream.h"
#include "unit/process/proxy/requesthandlermocks.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace Hyssophall;
using HyssophallTest::MockedRequestHandler;
using HyssophallTest::RawCaller;
using HyssophallTest::RawConnection;
using HyssophallTest::RawUpstream;

namespace {

const std::string key = "Authorization: Bearer red-key\r\n";

std::string get(const std::string &target, const std::string &headers = key)
{
    return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
}

std::string post(const std::string &body)
{
    return "POST /write HTTP/1.1\r\nHost: x\r\n" + key + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

// An endpoint for callers in front of a request handler, which reaches one upstream over the real HTTP client. The other components are mocks.
struct Gateway {
    explicit Gateway(RawUpstream::Behaviour behaviour)
        : upstream(std::move(behaviour))
        , client({})
        , mocked(&client, {this->upstream.port()})
    {
        boost::leaf::try_handle_all(
            [this]() -> boost::leaf::result<void> {
                CallerEndpoint::Options options;
                options.endpoint = {"127.0.0.1", 0};
                options.maximumRequestBytes = 1000;
                BOOST_LEAF_ASSIGN(
                    this->endpoint, CallerEndpoint::create(options, [this](const CallerRequest &request) { return this->mocked.path.handle(request); }));
                return {};
            },
            [] { CATCH_FAIL("The endpoint doesn't start"); });
    }

    RawUpstream upstream;
    UpstreamClient client;
    MockedRequestHandler mocked;
    std::unique_ptr<CallerEndpoint> endpoint;
};

void respondOk(RawConnection &connection, const std::string &)
{
    connection.write(RawUpstream::answer("ok"));
}

} // namespace

// Guards against altered requests and responses, against a key that reaches an upstream, and against an upstream whose Hyssophall-* headers reach callers.
CATCH_TEST_CASE("A request and its response are forwarded unchanged, but without the key and forged headers", "[proxy][key-isolation][whole-answer]")
{
    Gateway gateway([](RawConnection &connection, const std::string &) {
        connection.write(
            RawUpstream::answer("ok", "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nSet-Cookie: c=3\r\nVary: x\r\nVary: y\r\nHyssophall-Refusal: forged\r\n"));
    });
    RawCaller caller(gateway.endpoint->port());
    const std::string response = caller.exchange(get("/read?a=b%20c&d", key + "X-Api-Key: red-key\r\nProxy-Authorization: red-key\r\nX-Kept: 1\r\n"));
    CATCH_CHECK(contains(response, "HTTP/1.1 200 "));
    for (const std::string kept : {": a=1", ": b=2", ": c=3", "Vary: x, y", "\r\n\r\nok"}) {
        CATCH_CHECK(contains(response, kept));
    }
    CATCH_CHECK(!contains(response, "forged"));
    const std::string request = gateway.upstream.requests().at(0);
    CATCH_CHECK(contains(request, "GET /read?a=b%20c&d HTTP/1.1\r\n"));
    CATCH_CHECK(contains(request, "X-Kept: 1\r\n"));
    CATCH_CHECK(!contains(request, "red-key"));
    const std::string body(999, 'b');
    CATCH_CHECK(contains(caller.exchange(post(body)), "ok"));
    CATCH_CHECK(contains(gateway.upstream.requests().at(1), "\r\n\r\n" + body));
}

// Guards against an odd header that takes away those that follow it, such as the signature: the web server's library stops at the first one that it refuses.
CATCH_TEST_CASE("An unusual header of an instance's response doesn't affect the other headers", "[proxy][whole-answer]")
{
    for (const std::string odd :
        {"Content-Language:", "Content-Language: ", "X-Tab: a\tb", "X Space: a", ": a", "X-Control: a\x01", "X-Latin: \xe9", "X-Twice:\r\nX-Twice:"}) {
        CATCH_CAPTURE(odd);
        Gateway gateway([&odd](RawConnection &connection, const std::string &) {
            connection.write(RawUpstream::answer("ok", odd + "\r\nX-Response-Signature: signed\r\nX-Last: 1\r\n"));
        });
        const std::string response = RawCaller(gateway.endpoint->port()).exchange(get("/read"));
        CATCH_CHECK(contains(response, "HTTP/1.1 200 "));
        CATCH_CHECK(contains(response, "\r\nX-Response-Signature: signed\r\n"));
        CATCH_CHECK(contains(response, "\r\nX-Last: 1\r\n"));
        CATCH_CHECK(contains(response, "\r\n\r\nok"));
    }
}

// Guards against forwarding a truncated body or a request without a valid path, key or route.
CATCH_TEST_CASE("Requests that can't be run are refused with their code and not truncated or forwarded", "[proxy][true-refusal]")
{
    Gateway gateway(respondOk);
    RawCaller caller(gateway.endpoint->port());
    CATCH_CHECK(contains(caller.exchange(post(std::string(1001, 'b'))), "Hyssophall-Refusal: request_too_large\r\n"));
    CATCH_CHECK(contains(RawCaller(gateway.endpoint->port()).exchange(get("/read/../blue")), "Hyssophall-Refusal: malformed_request\r\n"));
    CATCH_CHECK(contains(RawCaller(gateway.endpoint->port()).exchange(get("/read", "")), "\"outcome\":\"not-run\""));
    CATCH_CHECK(contains(RawCaller(gateway.endpoint->port()).exchange(get("/")), "Hyssophall-Refusal: route_unknown\r\n"));
    CATCH_CHECK(gateway.upstream.requests().empty());
}

// Guards against reporting an upstream's error as a success: ulfius sends status 200 if an empty body is set in the usual way.
CATCH_TEST_CASE("A response without a body keeps its status", "[proxy][whole-answer]")
{
    for (const std::string status : {"500 Failed", "404 Not Found", "204 No Content"}) {
        const std::string length = status.front() == '2' ? "" : "Content-Length: 0\r\n";
        Gateway gateway([&](RawConnection &connection, const std::string &) { connection.write("HTTP/1.1 " + status + "\r\n" + length + "\r\n"); });
        const std::string response = RawCaller(gateway.endpoint->port()).exchange(post("order"), true);
        CATCH_CHECK(contains(response, "HTTP/1.1 " + status.substr(0, 3) + " "));
    }
}

// Guards against downloads that are cut, mixed with others or taken as complete, when they are larger than every buffer on their way.
CATCH_TEST_CASE("A large response reaches its callers whole, and one that its instance breaks off is refused", "[proxy][whole-answer][download]")
{
    constexpr std::size_t bodyBytes = 4 * 1024 * 1024;
    constexpr std::size_t announcedTooMuch = 1000;
    enum class Manner { Whole, BrokenOff, Reset, Surplus };
    std::atomic<Manner> manner{Manner::Whole};
    std::string body;
    for (std::size_t number = 0; body.size() < bodyBytes; ++number) {
        body += std::to_string(number) + " ";
    }
    Gateway gateway([&manner, &body](RawConnection &connection, const std::string &) {
        const bool isCut = manner == Manner::BrokenOff || manner == Manner::Reset;
        const std::size_t announced = body.size() + (isCut ? announcedTooMuch : 0);
        const std::string surplus = manner == Manner::Surplus ? RawUpstream::answer("surplus") : "";
        if (!connection.tryWrite("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n" + body + surplus)) {
            throw RawUpstream::Close();
        }
        if (manner == Manner::Reset) {
            connection.reset();
        }
        if (isCut) {
            throw RawUpstream::Close();
        }
    });
    RawCaller slow(gateway.endpoint->port());
    for (int round = 0; round < 3; ++round) {
        for (const Manner each : {Manner::Whole, Manner::Surplus, Manner::BrokenOff, Manner::Reset}) {
            manner = each;
            {
                RawCaller leaving(gateway.endpoint->port());
                leaving.write(get("/read"));
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
            slow.write(get("/read"));
            // The connection's buffers are full by then.
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            const std::string response = slow.readAnswer();
            const bool isWhole = each == Manner::Whole || each == Manner::Surplus;
            CATCH_CHECK(contains(response, isWhole ? "HTTP/1.1 200 " : "HTTP/1.1 502 "));
            const bool endsWithBody = response.size() >= body.size() && response.compare(response.size() - body.size(), body.size(), body) == 0;
            CATCH_CHECK(endsWithBody == isWhole);
        }
    }
}

// Guards against work for a disconnected caller: with a pipelined request waiting, a read on the socket doesn't show that the caller has closed it.
CATCH_TEST_CASE("A caller that disconnects while a pipelined request is waiting is detected", "[proxy]")
{
    std::promise<bool> ended;
    Gateway gateway([&ended](RawConnection &connection, const std::string &) { ended.set_value(connection.readRequest().empty()); });
    {
        RawCaller caller(gateway.endpoint->port());
        caller.write(get("/read") + get("/read"));
        while (gateway.upstream.requests().empty()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
    std::future<bool> isEnded = ended.get_future();
    CATCH_REQUIRE(isEnded.wait_for(std::chrono::seconds(2)) == std::future_status::ready);
    CATCH_CHECK(isEnded.get());
    CATCH_CHECK(gateway.upstream.requests().size() == 1);
}

// Guards against checking a key only for the first request of a keep-alive connection.
CATCH_TEST_CASE("A withdrawn key is refused on a connection that was used with it before", "[proxy][key-isolation]")
{
    Gateway gateway(respondOk);
    RawCaller caller(gateway.endpoint->port());
    CATCH_CHECK(contains(caller.exchange(get("/read")), "HTTP/1.1 200 "));
    gateway.mocked.lookup->keysLeft = 0;
    CATCH_CHECK(contains(caller.exchange(get("/read")), "Hyssophall-Refusal: key_unknown\r\n"));
    CATCH_CHECK(gateway.upstream.requests().size() == 1);
}

// Guards against a Content-Length of 0 in place of the resource's, and against a connection that can't be used again after HEAD.
CATCH_TEST_CASE("A response to HEAD keeps its Content-Length", "[proxy][whole-answer]")
{
    Gateway gateway([](RawConnection &connection, const std::string &) { connection.write("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n"); });
    RawCaller caller(gateway.endpoint->port());
    CATCH_CHECK(contains(caller.exchange("HEAD /read HTTP/1.1\r\nHost: x\r\n" + key + "\r\n", true), "Content-Length: 77\r\n"));
    CATCH_CHECK(contains(caller.exchange("HEAD /read HTTP/1.1\r\nHost: x\r\n" + key + "\r\n", true), "HTTP/1.1 200 "));
}

// Guards against running a POST twice: its connection closes after the request was sent, so it may have run and must not be retried.
CATCH_TEST_CASE("A POST whose upstream closes without a response is sent once and reported as unknown", "[proxy][at-most-once][true-refusal]")
{
    Gateway gateway([](RawConnection &connection, const std::string &request) {
        if (request.substr(0, 4) == "POST") {
            throw RawUpstream::Close();
        }
        connection.write(RawUpstream::answer("ok"));
    });
    RawCaller caller(gateway.endpoint->port());
    CATCH_CHECK(contains(caller.exchange(get("/read")), "HTTP/1.1 200 "));
    const std::string response = caller.exchange(post("order"));
    CATCH_CHECK(contains(response, "HTTP/1.1 502 "));
    CATCH_CHECK(contains(response, "Hyssophall-Outcome: unknown\r\n"));
    CATCH_CHECK(gateway.upstream.requests().size() == 2);
}

// Guards against aborting requests in flight at shutdown, and against callers that keep their connections to a VM that is shutting down.
CATCH_TEST_CASE("A graceful shutdown finishes requests in flight and closes their connections", "[proxy][graceful-shutdown]")
{
    std::promise<void> arrived;
    std::promise<void> release;
    Gateway gateway([&arrived, &release](RawConnection &connection, const std::string &request) {
        if (request.substr(0, 4) == "POST") {
            arrived.set_value();
            release.get_future().wait();
        }
        connection.write(RawUpstream::answer("finished"));
    });
    RawCaller kept(gateway.endpoint->port());
    CATCH_CHECK(contains(kept.exchange(get("/read")), "finished"));
    RawCaller running(gateway.endpoint->port());
    running.write(post("order"));
    arrived.get_future().wait();
    CATCH_CHECK(gateway.endpoint->requestsInFlight() == 1);

    gateway.endpoint->beginDrain();
    RawCaller during(gateway.endpoint->port());
    const std::string drained = during.exchange(get("/read"));
    CATCH_CHECK(contains(drained, "finished"));
    CATCH_CHECK(contains(drained, "Connection: close\r\n"));
    CATCH_CHECK(during.isClosedByPeer());

    gateway.endpoint->stopAccepting();
    gateway.mocked.path.stopAccepting();
    CATCH_CHECK(contains(kept.exchange(get("/read")), "Hyssophall-Refusal: shutting_down\r\n"));
    CATCH_CHECK(!gateway.endpoint->waitUntilIdle(std::chrono::milliseconds(20)));
    release.set_value();
    CATCH_CHECK(contains(running.readAnswer(), "finished"));
    CATCH_CHECK(gateway.endpoint->waitUntilIdle(std::chrono::seconds(5)));
    gateway.endpoint.reset();
    CATCH_CHECK(gateway.upstream.requests().size() == 3);
}
