#include "connection/upstreamclient.h"
#include "support/rawupstream.h"
#include "unit/process/proxy/pathmocks.h"

#include <catch2/catch.hpp>
#include <xxhash.h>

using namespace Hyssophall;
using HyssophallTest::MockedPath;
using HyssophallTest::RawConnection;
using HyssophallTest::RawUpstream;

namespace {

std::string idOf(const std::string &request)
{
    const std::size_t begin = request.find("?id=") + 4;
    return request.substr(begin, request.find(' ', begin) - begin);
}

// Misbehaves as the request's identifier and the seed decide; a retry on another instance may fare better.
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
        // Ends neither by a length nor by an orderly close.
        connection.write("HTTP/1.1 200 OK\r\nHyssophall-Outcome: not-run\r\n\r\nuntil reset");
        connection.reset();
        return;
    default:
        connection.write(whole);
    }
}

// How often a POST was run: it arrived and wasn't shed.
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

CATCH_TEST_CASE("Whatever upstreams do, answers are whole, refusals true and POSTs run once", "[proxy][whole-answer][true-refusal][at-most-once]")
{
    RawUpstream first([](RawConnection &connection, const std::string &request) { misbehave(connection, request, 0); });
    RawUpstream second([](RawConnection &connection, const std::string &request) { misbehave(connection, request, 1); });
    RawUpstream third([](RawConnection &connection, const std::string &request) { misbehave(connection, request, 2); });
    UpstreamClient client({});
    MockedPath mocked(&client, {first.port(), second.port(), third.port()});
    std::mutex mutex;
    std::map<std::string, std::string> outcomes;
    std::vector<std::thread> callers;
    std::atomic<int> wrong{0};
    for (int caller = 0; caller < 4; ++caller) {
        callers.emplace_back([&, caller] {
            for (int number = 0; number < 150; ++number) {
                const std::string id = std::to_string(caller) + "-" + std::to_string(number);
                const bool writes = number % 2 == 0;
                const CallerAnswer answer = mocked.handle(writes ? "POST" : "GET", (writes ? "/write?id=" : "/read?id=") + id);
                wrong += !answer.refusal && answer.http.body != "answer " + id + "." ? 1 : 0;
                std::lock_guard<std::mutex> lock(mutex);
                outcomes[id] = answer.refusal ? outcomeName(answer.refusal->outcome) : "answered";
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
    // The run is of use only when it met all outcomes.
    CATCH_CHECK(seen.size() == 3);
    CATCH_CHECK(mocked.health.inFlight == 0);
}
