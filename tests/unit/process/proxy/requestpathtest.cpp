#include "unit/process/proxy/pathmocks.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;
using HyssophallTest::MockedPath;

namespace {

const HttpHeaders withClaim{{"Idempotency-Key", "order-1"}};

void requireRefusal(const CallerAnswer &answer, RefusalCode code, RequestOutcome outcome)
{
    CATCH_REQUIRE(answer.refusal);
    CATCH_CHECK(refusalName(answer.refusal->code) == refusalName(code));
    CATCH_CHECK(outcomeName(answer.refusal->outcome) == outcomeName(outcome));
    CATCH_CHECK(*findHeader(answer.http.headers, "Hyssophall-Outcome") == outcomeName(outcome));
}

// A refusal before sending: nothing sent, the token given back and the claim, if there was one, released.
void requireRefusedUnsent(MockedPath &mocked, const CallerAnswer &answer, RefusalCode code)
{
    requireRefusal(answer, code, RequestOutcome::NotRun);
    CATCH_CHECK(mocked.sender.calls.empty());
    CATCH_CHECK(mocked.limiter.taken == 0);
    CATCH_CHECK(mocked.claims.finished.empty());
    CATCH_CHECK(mocked.health.inFlight == 0);
}

} // namespace

CATCH_TEST_CASE("Requests without the right key are refused and not sent", "[proxy][key-isolation]")
{
    MockedPath mocked;
    CallerRequest request;
    request.http = {"GET", "/read", {}, ""};
    request.arrival = std::chrono::steady_clock::now();
    requireRefusedUnsent(mocked, mocked.path.handle(request), RefusalCode::KeyMissing);
    request.http.headers = {{"Authorization", "Bearer red-key2"}};
    requireRefusedUnsent(mocked, mocked.path.handle(request), RefusalCode::KeyUnknown);
    requireRefusedUnsent(mocked, mocked.handle("GET", "/blue"), RefusalCode::RouteForbidden);
    requireRefusedUnsent(mocked, mocked.handle("GET", "/none"), RefusalCode::RouteUnknown);
    // Paths that an upstream would resolve to another route.
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read/../blue"), RefusalCode::MalformedRequest);
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read/%2E%2e/blue"), RefusalCode::MalformedRequest);
    // A header that an upstream would read as two.
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read", {{"X-Kept", "1\r\nX-Team: blue"}}), RefusalCode::MalformedRequest);
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read", {{"X-Kept: 1", "2"}}), RefusalCode::MalformedRequest);
    mocked.lease.held = false;
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read"), RefusalCode::VmIsolated);
    CATCH_CHECK(!mocked.handle("GET", "/open").refusal);
}

CATCH_TEST_CASE("A key withdrawn after admission stops the request before it is sent", "[proxy][key-isolation][true-refusal]")
{
    MockedPath mocked;
    mocked.lookup->keysLeft = 1;
    requireRefusedUnsent(mocked, mocked.handle("POST", "/write", withClaim), RefusalCode::KeyUnknown);
    CATCH_CHECK(mocked.claims.released == 1);
}

CATCH_TEST_CASE("No header of the caller's key or of the fleet reaches an upstream", "[proxy][key-isolation]")
{
    MockedPath mocked;
    CATCH_REQUIRE(
        !mocked.handle("GET", "/read", {{"x-api-key", "red-key"}, {"Hyssophall-Outcome", "x"}, {"Connection", "X-Hop"}, {"X-Hop", "1"}, {"X-Kept", "2"}})
             .refusal);
    const HttpHeaders &sent = mocked.sender.calls.at(0).request.headers;
    for (const HttpHeader &header : sent) {
        CATCH_CHECK(header.value.find("red-key") == std::string::npos);
    }
    CATCH_CHECK(findHeader(sent, "Hyssophall-Outcome") == nullptr);
    CATCH_CHECK(findHeader(sent, "X-Hop") == nullptr);
    CATCH_CHECK(findHeader(sent, "X-Kept") != nullptr);
}

CATCH_TEST_CASE("An upstream can't forge a refusal", "[proxy][true-refusal]")
{
    MockedPath mocked;
    mocked.sender.addAnswer(404, {{"Hyssophall-Refusal", "route_unknown"}, {"Hyssophall-Outcome", "not-run"}, {"X-Kept", "2"}});
    const CallerAnswer answer = mocked.handle("POST", "/write");
    CATCH_CHECK(answer.http.status == 404);
    CATCH_CHECK(answer.http.headers.size() == 1);
}

CATCH_TEST_CASE("Refusals before sending are not run, and give back token and claim", "[proxy][true-refusal]")
{
    MockedPath mocked;
    mocked.health.poison = true;
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read"), RefusalCode::PoisonRequest);
    mocked.health.poison = false;
    mocked.limiter.kind = RateDecision::Kind::RateLimited;
    const CallerAnswer limited = mocked.handle("GET", "/read");
    requireRefusedUnsent(mocked, limited, RefusalCode::RateLimited);
    CATCH_CHECK(*findHeader(limited.http.headers, "Retry-After") == "2");
    mocked.limiter.kind = RateDecision::Kind::Unavailable;
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read"), RefusalCode::LimitUnavailable);
    mocked.limiter.kind = RateDecision::Kind::Granted;
    mocked.capacity.full = true;
    requireRefusedUnsent(mocked, mocked.handle("POST", "/write", withClaim), RefusalCode::Overloaded);
    CATCH_CHECK(mocked.claims.released == 1);
    mocked.capacity.full = false;
    mocked.health.instances.clear();
    requireRefusedUnsent(mocked, mocked.handle("POST", "/write", withClaim), RefusalCode::NoInstance);
    CATCH_CHECK(mocked.claims.released == 2);
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read", {{"X-Request-Timeout-Ms", "-5"}}), RefusalCode::MalformedRequest);
    mocked.path.stopAccepting();
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read"), RefusalCode::ShuttingDown);
}

CATCH_TEST_CASE("Each state of a claim gives its own answer without sending", "[proxy][at-most-once]")
{
    MockedPath mocked;
    mocked.claims.result = {ClaimResult::Kind::InProgress, "", std::nullopt};
    requireRefusal(mocked.handle("POST", "/write", withClaim), RefusalCode::ClaimInProgress, RequestOutcome::Unknown);
    mocked.claims.result.kind = ClaimResult::Kind::FingerprintMismatch;
    requireRefusedUnsent(mocked, mocked.handle("POST", "/write", withClaim), RefusalCode::IdempotencyKeyReused);
    mocked.claims.result.kind = ClaimResult::Kind::Unavailable;
    requireRefusedUnsent(mocked, mocked.handle("POST", "/write", withClaim), RefusalCode::ClaimUnavailable);
    mocked.claims.result.kind = ClaimResult::Kind::Finished;
    mocked.claims.result.outcome.emplace().set_status(201);
    const CallerAnswer replayed = mocked.handle("POST", "/write", withClaim);
    CATCH_CHECK(replayed.http.status == 201);
    CATCH_CHECK(*findHeader(replayed.http.headers, "Idempotent-Replayed") == "true");
    CATCH_CHECK(mocked.sender.calls.empty());
    CATCH_CHECK(mocked.claims.released == 0);
}

CATCH_TEST_CASE("A non-idempotent request is sent again only when nothing ran", "[proxy][at-most-once][true-refusal]")
{
    MockedPath mocked;
    mocked.sender.addFailure(UpstreamFailureKind::ConnectionLost, true);
    requireRefusal(mocked.handle("POST", "/write", withClaim), RefusalCode::UpstreamFailed, RequestOutcome::Unknown);
    CATCH_CHECK(mocked.sender.calls.size() == 1);
    // The claim stays, so that a resend is told "outcome unknown".
    CATCH_CHECK(mocked.claims.released == 0);
    CATCH_CHECK(mocked.claims.finished.empty());
    CATCH_CHECK(mocked.limiter.taken == 1);

    mocked.sender.addFailure(UpstreamFailureKind::ConnectFailed, false);
    mocked.sender.addAnswer(503, {{"Hyssophall-Not-Run", "true"}});
    const CallerAnswer answer = mocked.handle("POST", "/write", withClaim);
    CATCH_CHECK(answer.http.body == "done");
    CATCH_CHECK(mocked.sender.calls.size() == 4);
    CATCH_CHECK(!mocked.sender.calls.at(1).newConnection);
    CATCH_CHECK(mocked.sender.calls.at(2).newConnection);
    CATCH_REQUIRE(mocked.claims.finished.size() == 1);
    CATCH_CHECK(mocked.claims.finished.at(0).body() == "done");
    CATCH_CHECK(mocked.claims.finished.at(0).content_type() == "text/plain");
}

CATCH_TEST_CASE("A request that all instances shed was not run and frees its claim", "[proxy][true-refusal]")
{
    MockedPath mocked;
    for (int count = 0; count < 3; ++count) {
        mocked.sender.addAnswer(503, {{"Hyssophall-Not-Run", "true"}});
    }
    requireRefusal(mocked.handle("POST", "/write", withClaim), RefusalCode::Overloaded, RequestOutcome::NotRun);
    CATCH_CHECK(mocked.sender.calls.size() == 3);
    CATCH_CHECK(mocked.claims.released == 1);
}

CATCH_TEST_CASE("A request of which one try may have run is never called not run", "[proxy][true-refusal]")
{
    MockedPath mocked;
    mocked.sender.addFailure(UpstreamFailureKind::TimedOut, true);
    // As many as there are instances; tries that reach none don't use up the retries.
    mocked.sender.addFailure(UpstreamFailureKind::ConnectFailed, false);
    mocked.sender.addFailure(UpstreamFailureKind::ConnectFailed, false);
    mocked.sender.addFailure(UpstreamFailureKind::ConnectFailed, false);
    requireRefusal(mocked.handle("GET", "/read"), RefusalCode::UpstreamFailed, RequestOutcome::Unknown);
    mocked.sender.addFailure(UpstreamFailureKind::AnswerTooLarge, true);
    requireRefusal(mocked.handle("GET", "/read"), RefusalCode::AnswerIncomplete, RequestOutcome::Unknown);
}

CATCH_TEST_CASE("The trace of a caller goes on with a span for each try", "[proxy][trace]")
{
    MockedPath mocked;
    const std::string traceId = "0af7651916cd43dd8448eb211c80319c";
    mocked.sender.addAnswer(500);
    CATCH_REQUIRE(!mocked.handle("GET", "/read", {{"traceparent", "00-" + traceId + "-b7ad6b7169203331-01"}}).refusal);
    const std::string first = *findHeader(mocked.sender.calls.at(0).request.headers, "traceparent");
    const std::string second = *findHeader(mocked.sender.calls.at(1).request.headers, "traceparent");
    CATCH_CHECK(first.substr(0, 36) == "00-" + traceId + "-");
    CATCH_CHECK(second.substr(0, 36) == first.substr(0, 36));
    CATCH_CHECK(first != second);
}

// Guards against refusing requests of a VM that gets its first catalogue a moment later.
CATCH_TEST_CASE("A request waits for the first catalogue before it is decided on", "[proxy][true-refusal]")
{
    MockedPath mocked;
    mocked.lease.held = false;
    mocked.awaitCatalogue = [&mocked](SteadyTime) { mocked.lease.held = true; };
    CATCH_CHECK(!mocked.handle("GET", "/read").refusal);
}

// Guards against waiting for a hanging instance until a request that may be repeated has no time left for another try.
CATCH_TEST_CASE("Only tries that others may follow end before the deadline", "[proxy]")
{
    MockedPath mocked;
    mocked.health.usualPatience = std::chrono::milliseconds(600);
    const SteadyTime began = std::chrono::steady_clock::now();
    mocked.handle("GET", "/read");
    mocked.handle("POST", "/write");
    CATCH_REQUIRE(mocked.sender.calls.size() == 2);
    CATCH_CHECK(mocked.sender.calls[0].mayFollow);
    CATCH_REQUIRE(mocked.sender.calls[0].patienceEnd);
    CATCH_CHECK(*mocked.sender.calls[0].patienceEnd >= began + std::chrono::milliseconds(600));
    CATCH_CHECK(*mocked.sender.calls[0].patienceEnd < mocked.sender.calls[0].deadline);
    CATCH_CHECK_FALSE(mocked.sender.calls[1].mayFollow);
    // Too little time for another try: this one gets it all.
    mocked.handle("GET", "/read", {{"X-Request-Timeout-Ms", "500"}});
    CATCH_CHECK_FALSE(mocked.sender.calls[2].patienceEnd);
}
