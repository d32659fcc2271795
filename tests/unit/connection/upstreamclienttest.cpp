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

UpstreamFailureKind failureOf(const std::string &answer, const std::string &method = "GET")
{
    RawUpstream upstream([&answer](RawConnection &connection, const std::string &) {
        connection.write(answer);
        throw RawUpstream::Close();
    });
    UpstreamClient client({.maximumAnswerBytes = 1000});
    const UpstreamResult result = client.send(callTo(upstream, method));
    CATCH_REQUIRE(result.failure);
    CATCH_REQUIRE(result.failure->mayHaveSent);
    return result.failure->kind;
}

// Answers GET /path on the first connection and closes without an answer after any other request.
void answerOnce(RawConnection &connection, const std::string &request)
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

CATCH_TEST_CASE("A POST whose connection closes without an answer runs once", "[connection][at-most-once]")
{
    RawUpstream upstream(answerOnce);
    UpstreamClient client({});
    CATCH_REQUIRE(client.send(callTo(upstream, "GET")).answer);
    const UpstreamResult result = client.send(callTo(upstream, "POST"));
    CATCH_REQUIRE(result.failure);
    CATCH_CHECK(result.failure->kind == UpstreamFailureKind::ConnectionLost);
    CATCH_CHECK(result.failure->mayHaveSent);
    CATCH_CHECK(!result.reusedConnection);
    CATCH_CHECK(upstream.requests().size() == 2);
}

CATCH_TEST_CASE("A request on a reused connection is not sent again by the HTTP library", "[connection][at-most-once]")
{
    RawUpstream upstream(answerOnce);
    UpstreamClient client({});
    CATCH_REQUIRE(client.send(callTo(upstream, "GET")).answer);
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
    // Guards the reason for the callback and the new connections: when this fails, libcurl has changed.
    RawUpstream upstream(answerOnce);
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

CATCH_TEST_CASE("Answers that are cut off are never taken as whole", "[connection][whole-answer]")
{
    CATCH_CHECK(failureOf("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort") == UpstreamFailureKind::AnswerIncomplete);
    CATCH_CHECK(failureOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n") == UpstreamFailureKind::AnswerIncomplete);
    CATCH_CHECK(failureOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort") == UpstreamFailureKind::AnswerIncomplete);
    CATCH_CHECK(failureOf("HTTP/1.1 200 OK\r\nConte") == UpstreamFailureKind::AnswerIncomplete);
    CATCH_CHECK(failureOf("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nshorts") == UpstreamFailureKind::AnswerIncomplete);
    CATCH_CHECK(failureOf("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n\r\n")
        == UpstreamFailureKind::AnswerIncomplete);
    CATCH_CHECK(failureOf("no status line\r\n\r\n") == UpstreamFailureKind::AnswerIncomplete);
    CATCH_CHECK(failureOf(RawUpstream::answer(std::string(1001, 'x'))) == UpstreamFailureKind::AnswerTooLarge);
    CATCH_CHECK(failureOf("", "POST") == UpstreamFailureKind::ConnectionLost);
}

// Guards against answers that end with their connection being refused though they are whole, or taken as whole though they were cut.
CATCH_TEST_CASE("An answer without a length is whole when its connection ends orderly and cut off when it is reset", "[connection][whole-answer]")
{
    for (const bool isReset : {false, true}) {
        RawUpstream upstream([isReset](RawConnection &connection, const std::string &) {
            connection.write("HTTP/1.1 200 OK\r\n\r\nuntil close");
            if (isReset) {
                // The bytes must arrive before the reset, which would discard them otherwise.
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
                connection.reset();
                return;
            }
            throw RawUpstream::Close();
        });
        UpstreamClient client({});
        const UpstreamResult result = client.send(callTo(upstream, "GET"));
        CATCH_INFO("reset " << isReset);
        CATCH_CHECK(result.answer.has_value() == !isReset);
        CATCH_CHECK((isReset ? result.failure->kind == UpstreamFailureKind::AnswerIncomplete : result.answer->body == "until close"));
    }
}

// Guards against a connection for each request: instances accept few, and each new one costs them time.
CATCH_TEST_CASE("A kept connection carries the next idempotent request and no other", "[connection]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &) { connection.write(RawUpstream::answer("ok")); });
    UpstreamClient client({});
    CATCH_CHECK_FALSE(client.send(callTo(upstream, "GET")).reusedConnection);
    CATCH_CHECK(client.send(callTo(upstream, "GET")).reusedConnection);
    CATCH_CHECK_FALSE(client.send(callTo(upstream, "POST")).reusedConnection);
    CATCH_CHECK(upstream.connections() == 2);
}

// Guards against upstreams that work on for callers who have left.
CATCH_TEST_CASE("An idempotent request whose caller has left ends within half a second", "[connection]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &) { CATCH_CHECK(connection.readRequest().empty()); });
    UpstreamClient client({});
    UpstreamCall call = callTo(upstream, "GET");
    const SteadyTime began = std::chrono::steady_clock::now();
    call.isAbandoned = [began] { return std::chrono::steady_clock::now() - began > std::chrono::milliseconds(100); };
    const UpstreamResult result = client.send(call);
    CATCH_REQUIRE(result.failure);
    CATCH_CHECK(result.failure->kind == UpstreamFailureKind::Abandoned);
    CATCH_CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(600));
}

CATCH_TEST_CASE("Answers without a body are whole without a length", "[connection][whole-answer]")
{
    for (const std::string answer : {"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n"}) {
        RawUpstream upstream([&answer](RawConnection &connection, const std::string &) { connection.write(answer); });
        UpstreamClient client({});
        CATCH_CHECK(client.send(callTo(upstream, "GET")).answer);
    }
    RawUpstream upstream([](RawConnection &connection, const std::string &) { connection.write("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"); });
    UpstreamClient client({});
    CATCH_CHECK(client.send(callTo(upstream, "HEAD")).answer);
}

CATCH_TEST_CASE("A chunked answer after an interim one is whole", "[connection][whole-answer]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &) {
        connection.write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    });
    UpstreamClient client({});
    const UpstreamResult result = client.send(callTo(upstream, "POST"));
    CATCH_REQUIRE(result.answer);
    CATCH_CHECK(result.answer->status == 201);
    CATCH_CHECK(result.answer->body == "abc");
    CATCH_CHECK(findHeader(result.answer->headers, "Link") == nullptr);
}

// Guards against a try that reads for as long as an instance in trouble goes on writing.
CATCH_TEST_CASE("An answer that never ends is given up at its limit and its connection is closed", "[connection][whole-answer]")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    struct Endless {
        std::string name;
        std::string beginning;
        std::string repeated;
    };
    const std::vector<Endless> answers{{"header lines", head, "X-More: and more\r\n"},
        {"one header line", head + "X-More: ", "and more "},
        {"no line at all", "", "and more "},
        {"empty lines", "", "\r\n"},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"a body without a length", head + "\r\n", "and more "},
        {"chunks", chunked, "3\r\nabc\r\n"},
        {"a chunk's extension", chunked + "3;", "name=value;"},
        {"a chunk's length", chunked, "0"},
        {"trailers", chunked + "0\r\n", "X-More: and more\r\n"}};
    for (const Endless &endless : answers) {
        CATCH_CAPTURE(endless.name);
        constexpr std::size_t blockBytes = 16 * 1024;
        std::string block;
        while (block.size() < blockBytes) {
            block += endless.repeated;
        }
        // What is written before the client closes: its limits, and what the kernel holds for both ends.
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
        // Such an instance hasn't crashed, so the request isn't to blame.
        const UpstreamFailureKind kind = result.failure->kind;
        CATCH_CHECK((kind == UpstreamFailureKind::AnswerTooLarge || kind == UpstreamFailureKind::AnswerIncomplete));
        const SteadyTime limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!isClosed && written < mostBytes && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        CATCH_CHECK(isClosed);
        CATCH_CHECK(written < mostBytes);
    }
}

// Guards against a try that outlasts its time because bytes go on arriving.
CATCH_TEST_CASE("An answer that comes byte by byte for ever ends with the request's time", "[connection][whole-answer]")
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

CATCH_TEST_CASE("A late answer never reaches the next request", "[connection][whole-answer]")
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
    CATCH_REQUIRE(next.answer);
    CATCH_CHECK(next.answer->body == "right");
}

CATCH_TEST_CASE("A second answer that nobody asked for is dropped with its connection", "[connection][whole-answer]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &) {
        const std::string number = std::to_string(connection.number);
        connection.write(RawUpstream::answer("asked " + number) + RawUpstream::answer("unasked " + number));
    });
    UpstreamClient client({});
    for (std::size_t round = 0; round < 20; ++round) {
        const UpstreamResult result = client.send(callTo(upstream, "GET"));
        CATCH_REQUIRE(result.answer);
        CATCH_REQUIRE(result.answer->body.substr(0, 6) == "asked ");
    }
}

CATCH_TEST_CASE("An answer that names another request is refused", "[connection][whole-answer]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &) { connection.write(RawUpstream::answer("other", "X-Request-Id: 77\r\n")); });
    UpstreamClient client({});
    UpstreamCall call = callTo(upstream, "GET");
    call.requestId = "78";
    CATCH_CHECK(client.send(call).failure.value().kind == UpstreamFailureKind::AnswerCrossed);
    call.requestId = "77";
    CATCH_CHECK(client.send(call).answer);
}

CATCH_TEST_CASE("A silent connection isn't charged while new ones stand", "[connection][whole-answer]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &request) {
        if (connection.number > 0 || request.find("/silent") == std::string::npos) {
            connection.write(RawUpstream::answer("ok"));
        }
    });
    UpstreamClient client({});
    CATCH_REQUIRE(client.send(callTo(upstream, "GET")).answer);
    UpstreamCall call = callTo(upstream, "GET", std::chrono::milliseconds(200));
    call.request.target = "/silent";
    const UpstreamResult silent = client.send(call);
    CATCH_REQUIRE(silent.failure);
    CATCH_CHECK(silent.failure->kind == UpstreamFailureKind::TimedOut);
    CATCH_CHECK(silent.reusedConnection);
    CATCH_CHECK(silent.failure->silentConnection);
    CATCH_CHECK(!client.send(callTo(upstream, "GET")).reusedConnection);
}

CATCH_TEST_CASE("An instance that accepts and never answers is charged on a new connection", "[connection][true-refusal]")
{
    RawUpstream upstream([](RawConnection &, const std::string &) {});
    UpstreamClient client({});
    const UpstreamResult result = client.send(callTo(upstream, "GET", std::chrono::milliseconds(100)));
    CATCH_REQUIRE(result.failure);
    CATCH_CHECK(result.failure->kind == UpstreamFailureKind::TimedOut);
    CATCH_CHECK(result.failure->mayHaveSent);
    CATCH_CHECK(!result.failure->silentConnection);
}

CATCH_TEST_CASE("Only a failed connection or a withheld request proves that nothing was sent", "[connection][true-refusal]")
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
    CATCH_CHECK(withheld.failure.value().kind == UpstreamFailureKind::Withheld);
    CATCH_CHECK(!withheld.failure->mayHaveSent);
    CATCH_CHECK(resetting.requests().size() == 1);
    call.port = closedPort;
    const UpstreamResult refused = client.send(call);
    CATCH_CHECK(refused.failure.value().kind == UpstreamFailureKind::ConnectFailed);
    CATCH_CHECK(!refused.failure->mayHaveSent);
}

CATCH_TEST_CASE("A connection that was idle for too long isn't used again", "[connection][whole-answer]")
{
    // Guards against connections that a middlebox has dropped without a sign.
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

CATCH_TEST_CASE("The HTTP library adds no headers of its own", "[connection]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &) { connection.write(RawUpstream::answer("ok", "Location: /elsewhere\r\n")); });
    UpstreamClient client({});
    CATCH_REQUIRE(client.send(callTo(upstream, "POST")).answer);
    const std::string request = upstream.requests().at(0);
    CATCH_CHECK(request.substr(0, 30) == "POST /path?query=1 HTTP/1.1\r\nH");
    CATCH_CHECK(request.find("X-Request-Timeout-Ms: ") != std::string::npos);
    for (const std::string name : {"Expect:", "Accept:", "User-Agent:", "Content-Type:"}) {
        CATCH_CHECK(request.find(name) == std::string::npos);
    }
}

// Guards against an instance that hangs and uses up the time of a request that another instance could answer.
CATCH_TEST_CASE("A try that another one may follow ends with its patience, and others don't", "[connection]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &) {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        connection.write(RawUpstream::answer("late"));
    });
    UpstreamClient client({});
    UpstreamCall call = callTo(upstream, "GET");
    call.patienceEnd = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
    const UpstreamResult ended = client.send(call);
    CATCH_REQUIRE(ended.failure);
    CATCH_CHECK(ended.failure->kind == UpstreamFailureKind::TimedOut);
    call.mayFollow = false;
    CATCH_CHECK(client.send(call).answer);
    UpstreamCall order = callTo(upstream, "POST");
    order.patienceEnd = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
    CATCH_CHECK(client.send(order).answer);
}

// Guards against giving up the last try on a kept connection at half of its time.
CATCH_TEST_CASE("The last try on a kept connection gets all of the time", "[connection]")
{
    RawUpstream upstream([](RawConnection &connection, const std::string &request) {
        if (request.find("/slow") != std::string::npos) {
            std::this_thread::sleep_for(std::chrono::milliseconds(700));
        }
        connection.write(RawUpstream::answer("ok"));
    });
    UpstreamClient client({});
    CATCH_REQUIRE(client.send(callTo(upstream, "GET")).answer);
    UpstreamCall call = callTo(upstream, "GET", std::chrono::milliseconds(1100));
    call.request.target = "/slow";
    call.mayFollow = false;
    const UpstreamResult result = client.send(call);
    CATCH_CHECK(result.answer);
    CATCH_CHECK(result.reusedConnection);
}
