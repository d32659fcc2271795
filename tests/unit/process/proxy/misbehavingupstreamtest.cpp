#include "connection/upstreamclient.h"
#include "support/rawupstream.h"
#include "unit/process/proxy/requesthandlermocks.h"

#include <catch2/catch.hpp>
#include <xxhash.h>

using namespace Hyssophall;
using HyssophallTest::MockedRequestHandler;
using HyssophallTest::RawConnection;
using HyssophallTest::RawUpstream;

namespace {

std::string idOf(const std::string &request)
{
    const std::size_t begin = request.find("?id=") + 4;
    return request.substr(begin, request.find(' ', begin) - begin);
}

// Selects a fault from a hash of the request line and the seed. Each instance has a seed of its own, so a retry can succeed on another instance.
void misbehave(RawConnection &connection, const std::string &request, std::uint64_t seed)
{
    const std::string whole = RawUpstream::answer("answer " + idOf(request) + ".");
    switch (XXH64(request.data(), request.find("\r\n"), seed) % 10) {
    case 0:
        throw RawUpstream::Close();
    case 1:
        connection.reset();
        return;
    case 2:
        connection.write(whole.substr(0, whole.size() - 2));
        throw RawUpstream::Close();
    case 3:
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nansw\r\n");
        throw RawUpstream::Close();
    case 4:
        connection.write(whole + RawUpstream::answer("answer nobody."));
        return;
    case 5:
        connection.write("HTTP/1.1 503 Busy\r\nHyssophall-Not-Run: true\r\nContent-Length: 0\r\n\r\n");
        return;
    case 6:
        // Has no Content-Length, and the connection is reset and not closed in an orderly way.
        connection.write("HTTP/1.1 200 OK\r\nHyssophall-Outcome: not-run\r\n\r\nuntil reset");
        connection.reset();
        return;
    default:
        connection.write(whole);
    }
}

// How often each request was run, that is, was received by an upstream that didn't respond with "not run".
std::map<std::string, int> runs(const std::vector<RawUpstream *> &upstreams)
{
    std::map<std::string, int> counts;
    std::uint64_t seed = 0;
    for (const RawUpstream *upstream : upstreams) {
        for (const std::string &request : upstream->requests()) {
            counts[idOf(request)] += XXH64(request.data(), request.find("\r\n"), seed) % 10 == 5 ? 0 : 1;
        }
        ++seed;
    }
    return counts;
}

} // namespace

// Guards against incomplete or mixed-up responses, refusals with a wrong outcome and POSTs that are run twice, while three upstreams close, reset, truncate,
// send surplus responses or shed requests under concurrent load.
CATCH_TEST_CASE("With misbehaving upstreams, responses are complete, refusals report the true outcome and POSTs run at most once",
    "[proxy][whole-answer][true-refusal][at-most-once]")
{
    RawUpstream first([](RawConnection &connection, const std::string &request) { misbehave(connection, request, 0); });
    RawUpstream second([](RawConnection &connection, const std::string &request) { misbehave(connection, request, 1); });
    RawUpstream third([](RawConnection &connection, const std::string &request) { misbehave(connection, request, 2); });
    UpstreamClient client({});
    MockedRequestHandler mocked(&client, {first.port(), second.port(), third.port()});
    std::mutex mutex;
    std::map<std::string, std::string> outcomes;
    std::vector<std::thread> callers;
    std::atomic<int> wrong{0};
    for (int caller = 0; caller < 4; ++caller) {
        callers.emplace_back([&, caller] {
            for (int number = 0; number < 150; ++number) {
                const std::string id = std::to_string(caller) + "-" + std::to_string(number);
                const bool writes = number % 2 == 0;
                const CallerResponse response = mocked.handle(writes ? "POST" : "GET", (writes ? "/write?id=" : "/read?id=") + id);
                wrong += !response.refusal && response.http.body != "answer " + id + "." ? 1 : 0;
                std::lock_guard<std::mutex> lock(mutex);
                outcomes[id] = response.refusal ? outcomeName(response.refusal->outcome) : "answered";
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    CATCH_CHECK(wrong == 0);
    std::map<std::string, int> counts = runs({&first, &second, &third});
    std::map<std::string, int> seen;
    for (const auto &[id, outcome] : outcomes) {
        ++seen[outcome];
        const bool writes = std::stoi(id.substr(2)) % 2 == 0;
        CATCH_INFO(id << " " << outcome << " ran " << counts[id]);
        CATCH_CHECK((!writes || counts[id] <= 1));
        CATCH_CHECK((outcome != "not-run" || counts[id] == 0));
        CATCH_CHECK((outcome != "answered" || counts[id] >= 1));
    }
    // The test is conclusive only if all outcomes occurred.
    CATCH_CHECK(seen.size() == 3);
    CATCH_CHECK(mocked.health.inFlight == 0);
}
