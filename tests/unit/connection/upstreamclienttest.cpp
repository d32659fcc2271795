#include "connection/upstreamclient.h"

#include "support/rawupstream.h"

#include <catch2/catch.hpp>
#include <curl/curl.h>

#include <atomic>
#include <condition_variable>
#include <string>
#include <thread>
#include <vector>

using namespace Hyssophall;
using HyssophallTest::RawConnection;
using HyssophallTest::RawUpstream;

namespace {

UpstreamCall callTo(const RawUpstream &upstream, const std::string &method, std::chrono::milliseconds limit = std::chrono::seconds(5))
{
    UpstreamCall call;
    call.host = "127.0.0.1";
    call.port = upstream.port();
    call.request.method = method;
    call.request.target = "/path?query=1";
    call.request.body = method == "POST" ? "order" : "";
    call.idempotent = method != "POST";
    call.deadline = std::chrono::steady_clock::now() + limit;
    return call;
}

UpstreamFailureKind failureOf(const std::string &response, const std::string &method = "GET")
{
    RawUpstream upstream([&response](RawConnection &connection, const std::string &) {
        connection.write(response);
        throw RawUpstream::Close();
    });
    UpstreamClient client({.maximumAnswerBytes = 1000});
    const UpstreamResult result = client.send(callTo(upstream, method));
    CATCH_REQUIRE(result.failure);
    CATCH_REQUIRE(result.failure->mayHaveSent);
    return result.failure->kind;
}

// Responds to GET /path on the first connection. After any other request it closes the connection without a response.
void respondOnce(RawConnection &connection, const std::string &request)
{
    if (connection.number == 0 && request.substr(0, 9) == "GET /path") {
        connection.write(RawUpstream::answer("first"));
        return;
    }
    throw RawUpstream::Close();
}

std::size_t discard(char *, std::size_t size, std::size_t count, void *)
{
    return size * count;
}

} // namespace

// Guards against libcurl repeating a POST if the connection closes without a response.
CATCH_TEST_CASE("A POST whose connection closes without a response is sent once", "[connection][at-most-once]")
{
    RawUpstream upstream(respondOnce);
    UpstreamClient client({});
    CATCH_REQUIRE(client.send(callTo(upstream, "GET")).response);
    const UpstreamResult result = client.send(callTo(upstream, "POST"));
    CATCH_REQUIRE(result.failure);
    CATCH_CHECK(result.failure->kind == UpstreamFailureKind::ConnectionLost);
    CATCH_CHECK(result.failure->mayHaveSent);
    CATCH_CHECK(!result.reusedConnection);
    CATCH_CHECK(upstream.requests().size() == 2);
}

// Guards against retries inside libcurl, which would bypass the retry budget: it repeats a request if a reused connection closes without a response.
CATCH_TEST_CASE("A request on a reused connection is not sent again by the HTTP library", "[connection][at-most-once]")
{
    RawUpstream upstream(respondOnce);
    UpstreamClient client({});
    CATCH_REQUIRE(client.send(callTo(upstream, "GET")).response);
    UpstreamCall call = callTo(upstream, "GET");
    call.request.target = "/lost";
    const UpstreamResult result = client.send(call);
    CATCH_REQUIRE(result.failure);
    CATCH_CHECK(result.failure->kind == UpstreamFailureKind::ConnectionLost);
    CATCH_CHECK(result.failure->mayHaveSent);
    CATCH_CHECK(upstream.requests().size() == 2);
}

CATCH_TEST_CASE("libcurl alone sends a POST on a reused connection twice", "[connection][at-most-once]")
{
    // Checks the libcurl behaviour that makes the callback before sending and new connections for POST necessary. If this fails, libcurl has changed.
    RawUpstream upstream(respondOnce);
    const std::string url = "http://127.0.0.1:" + std::to_string(upstream.port()) + "/path";
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard);
    CATCH_REQUIRE(curl_easy_perform(easy) == CURLE_OK);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "order");
    CATCH_CHECK(curl_easy_perform(easy) != CURLE_OK);
    curl_easy_cleanup(easy);
    CATCH_CHECK(upstream.requests().size() == 3);
}

// Guards against forwarding a response that was truncated, has contradictory lengths, isn't HTTP or exceeds the limit.
CATCH_TEST_CASE("Truncated or ambiguous responses are never taken as complete", "[connection][whole-answer]")
{
    CATCH_CHECK(failureOf("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort") == UpstreamFailureKind::ResponseIncomplete);
    CATCH_CHECK(failureOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n") == UpstreamFailureKind::ResponseIncomplete);
    CATCH_CHECK(failureOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort") == UpstreamFailureKind::ResponseIncomplete);
    CATCH_CHECK(failureOf("HTTP/1.1 200 OK\r\nConte") == UpstreamFailureKind::ResponseIncomplete);
    CATCH_CHECK(failureOf("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nshorts") == UpstreamFailureKind::ResponseIncomplete);
    CATCH_CHECK(failureOf("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n\r\n")
        == UpstreamFailureKind::ResponseIncomplete);
    CATCH_CHECK(failureOf("no status line\r\n\r\n") == UpstreamFailureKind::ResponseIncomplete);
    CATCH_CHECK(failureOf(RawUpstream::answer(std::string(1001, 'x'))) == UpstreamFailureKind::ResponseTooLarge);
    CATCH_CHECK(failureOf("", "POST") == UpstreamFailureKind::ConnectionLost);
}

// Guards against rejecting a complete response that ends with its connection, and against accepting one that was truncated by a reset.
CATCH_TEST_CASE("A response without a length is complete if its connection is closed and incomplete if it is reset", "[connection][whole-answer]")
{
    for (const bool isReset : {false, true}) {
        RawUpstream upstream([isReset](RawConnection &connection, const std::string &) {
            connection.write("HTTP/1.1 200 OK\r\n\r\nuntil close");
            if (isReset) {
                // The bytes must arrive first, as the reset would discard them otherwise.
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
                connection.reset();
                return;
            }
            throw RawUpstream::Close();
        });
        UpstreamClient client({});
        const UpstreamResult result = client.send(callTo(upstream, "GET"));
        CATCH_INFO("reset " << isReset);
        CATCH_CHECK(result.response.has_value() == !isReset);
        CATCH_CHECK((isReset ? result.failure->kind == UpstreamFailureKind::ResponseIncomplete : result.response->body == "until close"));
    }
}

// Guards against opening a connection for each request, as instances accept only a limited number and each new one costs time. Also guards against
// sending a non-idempotent request on a reused connection.
CATCH_TEST_CASE("A connection is reused for the next idempotent request only", "[connection]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &) { connection.write(RawUpstream::answer("ok")); });
    UpstreamClient client({});
    CATCH_CHECK_FALSE(client.send(callTo(upstream, "GET")).reusedConnection);
    CATCH_CHECK(client.send(callTo(upstream, "GET")).reusedConnection);
    CATCH_CHECK_FALSE(client.send(callTo(upstream, "POST")).reusedConnection);
    CATCH_CHECK(upstream.connections() == 2);
}

// Guards against upstreams that continue to work for disconnected callers.
CATCH_TEST_CASE("An idempotent request is aborted within half a second after its caller has disconnected", "[connection]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &) { CATCH_CHECK(connection.readRequest().empty()); });
    UpstreamClient client({});
    UpstreamCall call = callTo(upstream, "GET");
    const SteadyTime began = std::chrono::steady_clock::now();
    call.isCallerDisconnected = [began] { return std::chrono::steady_clock::now() - began > std::chrono::milliseconds(100); };
    const UpstreamResult result = client.send(call);
    CATCH_REQUIRE(result.failure);
    CATCH_CHECK(result.failure->kind == UpstreamFailureKind::CallerDisconnected);
    CATCH_CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(600));
}

// Guards against treating 204, 304 and responses to HEAD as truncated; a Content-Length in them doesn't announce a body.
CATCH_TEST_CASE("Responses that never have a body are complete without one", "[connection][whole-answer]")
{
    for (const std::string response : {"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n"}) {
        RawUpstream upstream([&response](RawConnection &connection, const std::string &) { connection.write(response); });
        UpstreamClient client({});
        CATCH_CHECK(client.send(callTo(upstream, "GET")).response);
    }
    RawUpstream upstream([](RawConnection &connection, const std::string &) { connection.write("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"); });
    UpstreamClient client({});
    CATCH_CHECK(client.send(callTo(upstream, "HEAD")).response);
}

// Guards against taking an interim (1xx) response or its headers for the final one.
CATCH_TEST_CASE("A chunked response after an interim response is complete", "[connection][whole-answer]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &) {
        connection.write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    });
    UpstreamClient client({});
    const UpstreamResult result = client.send(callTo(upstream, "POST"));
    CATCH_REQUIRE(result.response);
    CATCH_CHECK(result.response->status == 201);
    CATCH_CHECK(result.response->body == "abc");
    CATCH_CHECK(findHeader(result.response->headers, "Link") == nullptr);
}

// Guards against a try that reads for as long as a faulty instance writes.
CATCH_TEST_CASE("An endless response is aborted at the size limit and its connection is closed", "[connection][whole-answer]")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    struct Endless {
        std::string name;
        std::string beginning;
        std::string repeated;
    };
    const std::vector<Endless> responses{{"header lines", head, "X-More: and more\r\n"},
        {"one header line", head + "X-More: ", "and more "},
        {"no line at all", "", "and more "},
        {"empty lines", "", "\r\n"},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"a body without a length", head + "\r\n", "and more "},
        {"chunks", chunked, "3\r\nabc\r\n"},
        {"a chunk's extension", chunked + "3;", "name=value;"},
        {"a chunk's length", chunked, "0"},
        {"trailers", chunked + "0\r\n", "X-More: and more\r\n"}};
    for (const Endless &endless : responses) {
        CATCH_CAPTURE(endless.name);
        constexpr std::size_t blockBytes = 16 * 1024;
        std::string block;
        while (block.size() < blockBytes) {
            block += endless.repeated;
        }
        // Upper bound on what is written before the client closes: the client's limits plus the kernel's buffers on both sides.
        constexpr std::size_t mostBytes = 32 * 1024 * 1024;
        std::atomic<std::size_t> written{0};
        std::atomic<bool> isClosed{false};
        RawUpstream upstream([&endless, &block, &written, &isClosed](RawConnection &connection, const std::string &) {
            connection.write(endless.beginning);
            while (written < mostBytes) {
                if (!connection.tryWrite(block)) {
                    isClosed = true;
                    break;
                }
                written += block.size();
            }
            throw RawUpstream::Close();
        });
        UpstreamClient client({.maximumAnswerBytes = 100000});
        const UpstreamResult result = client.send(callTo(upstream, "GET", std::chrono::seconds(20)));
        CATCH_REQUIRE(result.failure);
        CATCH_CHECK(result.failure->mayHaveSent);
        // Not ConnectionLost: the instance hasn't crashed, so the request must not be counted as a poison request.
        const UpstreamFailureKind kind = result.failure->kind;
        CATCH_CHECK((kind == UpstreamFailureKind::ResponseTooLarge || kind == UpstreamFailureKind::ResponseIncomplete));
        const SteadyTime limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!isClosed && written < mostBytes && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        CATCH_CHECK(isClosed);
        CATCH_CHECK(written < mostBytes);
    }
}

// Guards against a try that exceeds its deadline because bytes keep arriving.
CATCH_TEST_CASE("A response that arrives byte by byte without end is aborted at the deadline", "[connection][whole-answer]")
{
    for (const std::string &beginning : {std::string("HTTP/1.1 200 OK\r\nX-More: "), std::string("HTTP/1.1 200 OK\r\n\r\n")}) {
        std::atomic<bool> isClosed{false};
        RawUpstream upstream([&beginning, &isClosed](RawConnection &connection, const std::string &) {
            connection.write(beginning);
            while (connection.tryWrite("a")) {
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
            isClosed = true;
            throw RawUpstream::Close();
        });
        UpstreamClient client({});
        const SteadyTime began = std::chrono::steady_clock::now();
        const UpstreamResult result = client.send(callTo(upstream, "POST", std::chrono::milliseconds(500)));
        CATCH_CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(2));
        CATCH_REQUIRE(result.failure);
        CATCH_CHECK(result.failure->kind == UpstreamFailureKind::TimedOut);
        const SteadyTime limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!isClosed && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        CATCH_CHECK(isClosed);
    }
}

// Guards against reusing the connection of a request that timed out: its response arrives later and would be taken for that of the next request.
CATCH_TEST_CASE("A late response never reaches the next request", "[connection][whole-answer]")
{
    std::mutex mutex;
    std::condition_variable released;
    bool release = false;
    RawUpstream upstream([&](RawConnection &connection, const std::string &) {
        if (connection.number == 0) {
            std::unique_lock<std::mutex> lock(mutex);
            released.wait(lock, [&release] { return release; });
            connection.write(RawUpstream::answer("late"));
            return;
        }
        connection.write(RawUpstream::answer("right"));
    });
    UpstreamClient client({});
    const UpstreamResult late = client.send(callTo(upstream, "GET", std::chrono::milliseconds(50)));
    CATCH_REQUIRE(late.failure);
    CATCH_CHECK(late.failure->kind == UpstreamFailureKind::TimedOut);
    {
        std::lock_guard<std::mutex> lock(mutex);
        release = true;
    }
    released.notify_all();
    const UpstreamResult next = client.send(callTo(upstream, "GET"));
    CATCH_REQUIRE(next.response);
    CATCH_CHECK(next.response->body == "right");
}

// Guards against taking a second response, sent by the upstream without a request, for the response to the next request.
CATCH_TEST_CASE("A surplus response is discarded together with its connection", "[connection][whole-answer]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &) {
        const std::string number = std::to_string(connection.number);
        connection.write(RawUpstream::answer("asked " + number) + RawUpstream::answer("unasked " + number));
    });
    UpstreamClient client({});
    for (std::size_t round = 0; round < 20; ++round) {
        const UpstreamResult result = client.send(callTo(upstream, "GET"));
        CATCH_REQUIRE(result.response);
        CATCH_REQUIRE(result.response->body.substr(0, 6) == "asked ");
    }
}

// Guards against forwarding the response to another request.
CATCH_TEST_CASE("A response with the X-Request-Id of another request is rejected", "[connection][whole-answer]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &) { connection.write(RawUpstream::answer("other", "X-Request-Id: 77\r\n")); });
    UpstreamClient client({});
    UpstreamCall call = callTo(upstream, "GET");
    call.requestId = "78";
    CATCH_CHECK(client.send(call).failure.value().kind == UpstreamFailureKind::ResponseMismatched);
    call.requestId = "77";
    CATCH_CHECK(client.send(call).response);
}

// Guards against a late copy of an earlier response that arrives just after the next request was sent, when no check of the idle connection can see it.
CATCH_TEST_CASE("On a connection whose responses have the request's id, one without it is rejected", "[connection][whole-answer]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &request) {
        const bool isFirst = request.find("X-Request-Id: 1") != std::string::npos;
        connection.write(isFirst ? RawUpstream::answer("first", "X-Request-Id: 1\r\n") : RawUpstream::answer("first"));
    });
    UpstreamClient client({});
    UpstreamCall call = callTo(upstream, "GET");
    call.requestId = "1";
    CATCH_REQUIRE(client.send(call).response);
    call.requestId = "2";
    const UpstreamResult second = client.send(call);
    CATCH_REQUIRE(second.reusedConnection);
    CATCH_REQUIRE(second.failure);
    CATCH_CHECK(second.failure->kind == UpstreamFailureKind::ResponseMismatched);
    CATCH_CHECK(second.failure->mayHaveSent);
    // On a new connection, nothing is known of what the instance returns.
    CATCH_CHECK(client.send(call).response);
}

// Guards against a faulty instance that writes an earlier rejection once more on its connection: callers would be told that an order wasn't run, or the
// order would be tried at a second instance, while the first one runs it.
CATCH_TEST_CASE("A rejection that an instance repeats is never taken for the response to an order", "[connection][true-refusal][at-most-once]")
{
    const std::string rejection = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Request-Id: 1\r\nContent-Length: 0\r\n\r\n";
    RawUpstream upstream([&rejection](RawConnection &connection, const std::string &request) {
        if (request.substr(0, 4) != "POST") {
            connection.write(rejection);
            // The copy comes late, so that the connection may be in the pool again.
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
            connection.tryWrite(rejection);
            return;
        }
        connection.write(RawUpstream::answer("run", "X-Request-Id: 1\r\n"));
    });
    UpstreamClient client({});
    for (int round = 0; round < 20; ++round) {
        UpstreamCall call = callTo(upstream, "GET");
        call.requestId = "1";
        static_cast<void>(client.send(call));
        // The same id, as in a try that follows another one.
        UpstreamCall order = callTo(upstream, "POST");
        order.requestId = "1";
        const UpstreamResult result = client.send(order);
        CATCH_REQUIRE(result.response);
        CATCH_REQUIRE(result.response->status == 200);
        CATCH_REQUIRE_FALSE(result.reusedConnection);
    }
}

// Guards against ejecting a healthy instance because a middlebox dropped its pooled connections.
CATCH_TEST_CASE("A timeout on a stale connection isn't attributed to the instance if new connections can be established", "[connection][whole-answer]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &request) {
        if (connection.number > 0 || request.find("/silent") == std::string::npos) {
            connection.write(RawUpstream::answer("ok"));
        }
    });
    UpstreamClient client({});
    CATCH_REQUIRE(client.send(callTo(upstream, "GET")).response);
    UpstreamCall call = callTo(upstream, "GET", std::chrono::milliseconds(200));
    call.request.target = "/silent";
    const UpstreamResult silent = client.send(call);
    CATCH_REQUIRE(silent.failure);
    CATCH_CHECK(silent.failure->kind == UpstreamFailureKind::TimedOut);
    CATCH_CHECK(silent.reusedConnection);
    CATCH_CHECK(silent.failure->staleConnection);
    CATCH_CHECK(!client.send(callTo(upstream, "GET")).reusedConnection);
}

// Guards against treating an instance that accepts connections but never responds as a stale connection.
CATCH_TEST_CASE("A timeout on a new connection is attributed to the instance", "[connection][true-refusal]")
{
    RawUpstream upstream([](RawConnection &, const std::string &) {});
    UpstreamClient client({});
    const UpstreamResult result = client.send(callTo(upstream, "GET", std::chrono::milliseconds(100)));
    CATCH_REQUIRE(result.failure);
    CATCH_CHECK(result.failure->kind == UpstreamFailureKind::TimedOut);
    CATCH_CHECK(result.failure->mayHaveSent);
    CATCH_CHECK(!result.failure->staleConnection);
}

// Guards against a false "not run": a connection that is reset after sending proves nothing about the request.
CATCH_TEST_CASE("Only a failed connection or the check before sending proves that nothing was sent", "[connection][true-refusal]")
{
    std::uint16_t closedPort = 0;
    {
        RawUpstream gone([](RawConnection &, const std::string &) {});
        closedPort = gone.port();
    }
    RawUpstream resetting([](RawConnection &connection, const std::string &) { connection.reset(); });
    UpstreamClient client({});
    UpstreamCall call = callTo(resetting, "POST");
    CATCH_CHECK(client.send(call).failure.value().mayHaveSent);
    call.mayBeSent = [] { return false; };
    const UpstreamResult withheld = client.send(call);
    CATCH_CHECK(withheld.failure.value().kind == UpstreamFailureKind::RejectedBeforeSend);
    CATCH_CHECK(!withheld.failure->mayHaveSent);
    CATCH_CHECK(resetting.requests().size() == 1);
    call.port = closedPort;
    const UpstreamResult refused = client.send(call);
    CATCH_CHECK(refused.failure.value().kind == UpstreamFailureKind::ConnectFailed);
    CATCH_CHECK(!refused.failure->mayHaveSent);
}

CATCH_TEST_CASE("A connection that was idle for too long isn't reused", "[connection][whole-answer]")
{
    // Guards against sending on connections that a middlebox has dropped without notifying either end. Retries always use a new connection.
    RawUpstream upstream([](RawConnection &connection, const std::string &) { connection.write(RawUpstream::answer("ok")); });
    UpstreamClient impatient({.maximumIdleTime = std::chrono::milliseconds(0)});
    CATCH_CHECK(!impatient.send(callTo(upstream, "GET")).reusedConnection);
    CATCH_CHECK(!impatient.send(callTo(upstream, "GET")).reusedConnection);
    UpstreamClient patient({});
    CATCH_CHECK(!patient.send(callTo(upstream, "GET")).reusedConnection);
    CATCH_CHECK(patient.send(callTo(upstream, "GET")).reusedConnection);
    UpstreamCall retry = callTo(upstream, "GET");
    retry.newConnection = true;
    CATCH_CHECK(!patient.send(retry).reusedConnection);
}

// Guards against headers that libcurl adds by default and that the caller didn't send.
CATCH_TEST_CASE("The HTTP library adds no headers of its own", "[connection]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &) { connection.write(RawUpstream::answer("ok", "Location: /elsewhere\r\n")); });
    UpstreamClient client({});
    CATCH_REQUIRE(client.send(callTo(upstream, "POST")).response);
    const std::string request = upstream.requests().at(0);
    CATCH_CHECK(request.substr(0, 30) == "POST /path?query=1 HTTP/1.1\r\nH");
    CATCH_CHECK(request.find("X-Request-Timeout-Ms: ") != std::string::npos);
    for (const std::string name : {"Expect:", "Accept:", "User-Agent:", "Content-Type:"}) {
        CATCH_CHECK(request.find(name) == std::string::npos);
    }
}

// Guards against a hanging instance that uses up the time of a request to which another instance could respond.
CATCH_TEST_CASE("A try ends at its try deadline only if it can be followed by a retry", "[connection]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &) {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        connection.write(RawUpstream::answer("late"));
    });
    UpstreamClient client({});
    UpstreamCall call = callTo(upstream, "GET");
    call.tryDeadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
    const UpstreamResult ended = client.send(call);
    CATCH_REQUIRE(ended.failure);
    CATCH_CHECK(ended.failure->kind == UpstreamFailureKind::TimedOut);
    call.mayRetry = false;
    CATCH_CHECK(client.send(call).response);
    UpstreamCall order = callTo(upstream, "POST");
    order.tryDeadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
    CATCH_CHECK(client.send(order).response);
}

// Guards against an instance's work that is thrown away although the request can't be retried after all.
CATCH_TEST_CASE("A try goes on past its try deadline unless it may be aborted then", "[connection]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &) {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        connection.write(RawUpstream::answer("late"));
    });
    UpstreamClient client({});
    int asked = 0;
    for (const bool mayBeAborted : {false, true}) {
        UpstreamCall call = callTo(upstream, "GET");
        call.newConnection = true;
        call.tryDeadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
        call.mayBeAborted = [&asked, mayBeAborted] {
            ++asked;
            return mayBeAborted;
        };
        CATCH_CHECK(client.send(call).response.has_value() == !mayBeAborted);
    }
    CATCH_CHECK(asked == 2);
    // The first request has left its connection in the pool.
    UpstreamCall pooled = callTo(upstream, "GET", std::chrono::milliseconds(900));
    pooled.mayBeStale = [] { return false; };
    const UpstreamResult result = client.send(pooled);
    CATCH_CHECK(result.response);
    CATCH_CHECK(result.reusedConnection);
}

// Guards against a name or id of somebody else that ends its line and writes headers or a request of its own.
CATCH_TEST_CASE("A request of which a part would end its line isn't sent", "[connection][smuggling]")
{
    RawUpstream upstream(respondOnce);
    UpstreamClient client({});
    const std::string smuggled = "a\r\n\r\nPOST /path HTTP/1.1\r\nX-A: b";
    std::vector<UpstreamCall> calls(5, callTo(upstream, "GET"));
    calls[0].request.headers = {{"X-Target-Instance", smuggled}};
    calls[1].request.headers = {{smuggled, "a"}};
    calls[2].request.target = "/path " + smuggled;
    calls[3].requestId = smuggled;
    calls[4].request.method = "GET /path HTTP/1.1\r\nX-A: b";
    for (const UpstreamCall &call : calls) {
        const UpstreamResult result = client.send(call);
        CATCH_REQUIRE(result.failure);
        CATCH_CHECK_FALSE(result.failure->mayHaveSent);
    }
    CATCH_CHECK(upstream.requests().empty());
}

// Guards against an instance that stops in the middle of its head and closes: its caller would get a 200 with an empty body as a whole response.
CATCH_TEST_CASE("A response that ends anywhere in its head is incomplete", "[connection][whole-answer]")
{
    for (const std::string head : {"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: 5\r\nX-Folded: a\r\n b\r\n\r\n",
             "HTTP/1.1 200 OK\r\nX-Empty:\r\n \r\n\t\r\nTransfer-Encoding: chunked\r\n\r\n",
             "HTTP/1.1 200 OK\nContent-Length: 5\n \n\n",
             "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Folded: a\r\n \r\n\r\n"}) {
        for (std::size_t length = 1; length < head.size(); ++length) {
            CATCH_CAPTURE(head.substr(0, length));
            const UpstreamFailureKind failure = failureOf(head.substr(0, length));
            CATCH_CHECK((failure == UpstreamFailureKind::ResponseIncomplete || failure == UpstreamFailureKind::ConnectionLost));
        }
    }
}

// Guards against a VM that runs out of memory, and loses the requests of all its callers, because instances send bytes without end.
CATCH_TEST_CASE("Instances that send without end don't use more memory than the client may", "[connection][memory]")
{
    constexpr std::size_t budget = 4 * 1024 * 1024;
    constexpr std::size_t maximumAnswerBytes = 1024 * 1024;
    constexpr int calls = 24;
    for (const std::string start : {"HTTP/1.1 200 OK\r\n\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
             "HTTP/1.1 200 OK\r\nX-Endless: ",
             "HTTP/1.1 200 OK\r\n",
             ""}) {
        CATCH_CAPTURE(start);
        std::atomic<bool> stopped{false};
        RawUpstream upstream([&start, &stopped](RawConnection &connection, const std::string &request) {
            if (request.find("/small") != std::string::npos) {
                connection.write(RawUpstream::answer("small"));
                return;
            }
            connection.write(start);
            const std::string line = start.ends_with("OK\r\n") ? "X-Line: a\r\n" : std::string(16 * 1024, 'x');
            while (!stopped && connection.tryWrite(line)) { }
            throw RawUpstream::Close();
        });
        UpstreamClient client({.maximumAnswerBytes = maximumAnswerBytes, .bufferedAnswerBytes = budget});
        std::vector<std::thread> threads;
        std::atomic<int> failed{0};
        for (int number = 0; number < calls; ++number) {
            threads.emplace_back([&] { failed += client.send(callTo(upstream, "GET", std::chrono::seconds(3))).failure ? 1 : 0; });
        }
        UpstreamCall small = callTo(upstream, "GET");
        small.request.target = "/small";
        for (int number = 0; number < 5; ++number) {
            CATCH_CHECK(client.send(small).response);
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        stopped = true;
        CATCH_CHECK(failed == calls);
        CATCH_CHECK(client.mostBufferedBytes() <= budget);
    }
}

// Guards against aborting the last try on a reused connection after half of its time.
CATCH_TEST_CASE("The last try on a reused connection gets all of the remaining time", "[connection]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &request) {
        if (request.find("/slow") != std::string::npos) {
            std::this_thread::sleep_for(std::chrono::milliseconds(700));
        }
        connection.write(RawUpstream::answer("ok"));
    });
    UpstreamClient client({});
    CATCH_REQUIRE(client.send(callTo(upstream, "GET")).response);
    UpstreamCall call = callTo(upstream, "GET", std::chrono::milliseconds(1100));
    call.request.target = "/slow";
    call.mayRetry = false;
    const UpstreamResult result = client.send(call);
    CATCH_CHECK(result.response);
    CATCH_CHECK(result.reusedConnection);
}

// Guards against logs that show a try as sent on an open connection although no connection was established.
CATCH_TEST_CASE("A try that established no connection doesn't count as one on a reused connection", "[connection][observability]")
{
    UpstreamCall call;
    {
        RawUpstream upstream(respondOnce);
        call = callTo(upstream, "GET");
        UpstreamClient client({});
        const UpstreamResult first = client.send(call);
        CATCH_CHECK(first.connectionOpenedAt);
        CATCH_CHECK(!first.reusedConnection);
    }
    // Nobody listens on the port any more.
    UpstreamClient client({});
    const UpstreamResult result = client.send(call);
    CATCH_REQUIRE(result.failure);
    CATCH_CHECK(result.failure->kind == UpstreamFailureKind::ConnectFailed);
    CATCH_CHECK(!result.reusedConnection);
    CATCH_CHECK(!result.connectionOpenedAt);
}
