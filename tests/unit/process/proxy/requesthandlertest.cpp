#include "unit/process/proxy/requesthandlermocks.h"

#include "process/proxy/admission.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;
using HyssophallTest::MockedRequestHandler;

namespace {

const HttpHeaders withClaim{{"Idempotency-Key", "order-1"}};

void requireRefusal(const CallerResponse &response, RefusalCode code, RequestOutcome outcome)
{
    CATCH_REQUIRE(response.refusal);
    CATCH_CHECK(refusalName(response.refusal->code) == refusalName(code));
    CATCH_CHECK(outcomeName(response.refusal->outcome) == outcomeName(outcome));
    CATCH_CHECK(*findHeader(response.http.headers, "Hyssophall-Outcome") == outcomeName(outcome));
}

// Checks a refusal before sending: nothing was sent, the rate token was returned and no outcome was stored for the claim.
void requireRefusedUnsent(MockedRequestHandler &mocked, const CallerResponse &response, RefusalCode code)
{
    requireRefusal(response, code, RequestOutcome::NotRun);
    CATCH_CHECK(mocked.sender.calls.empty());
    CATCH_CHECK(mocked.limiter.taken == 0);
    CATCH_CHECK(mocked.claims.finished.empty());
    CATCH_CHECK(mocked.health.inFlight == 0);
}

} // namespace

// Guards against requests that reach an upstream without a valid key, or on a route that their team may not use.
CATCH_TEST_CASE("Requests without the right key are refused and not sent", "[proxy][key-isolation]")
{
    MockedRequestHandler mocked;
    CallerRequest request;
    request.http = {"GET", "/read", {}, ""};
    request.arrival = std::chrono::steady_clock::now();
    requireRefusedUnsent(mocked, mocked.path.handle(request), RefusalCode::KeyMissing);
    request.http.headers = {{"Authorization", "Bearer red-key2"}};
    requireRefusedUnsent(mocked, mocked.path.handle(request), RefusalCode::KeyUnknown);
    requireRefusedUnsent(mocked, mocked.handle("GET", "/blue"), RefusalCode::RouteForbidden);
    requireRefusedUnsent(mocked, mocked.handle("GET", "/none"), RefusalCode::RouteUnknown);
    // An upstream would resolve these paths to another route.
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read/../blue"), RefusalCode::MalformedRequest);
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read/%2E%2e/blue"), RefusalCode::MalformedRequest);
    // An upstream would parse these headers differently, the first one as two headers.
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read", {{"X-Kept", "1\r\nX-Team: blue"}}), RefusalCode::MalformedRequest);
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read", {{"X-Kept: 1", "2"}}), RefusalCode::MalformedRequest);
    mocked.lease.held = false;
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read"), RefusalCode::VmIsolated);
    CATCH_CHECK(!mocked.handle("GET", "/open").refusal);
}

// Guards against denying for good what a newer catalogue allows: a VM whose relay is partitioned from the control group doesn't know the routes, keys and
// permissions that were added since.
CATCH_TEST_CASE("A VM whose catalogue may be out of date denies nothing for good", "[proxy][key-isolation][true-refusal]")
{
    MockedRequestHandler mocked;
    mocked.lease.current = false;
    CallerRequest request;
    request.http = {"GET", "/read", {}, ""};
    request.arrival = std::chrono::steady_clock::now();
    requireRefusedUnsent(mocked, mocked.path.handle(request), RefusalCode::VmIsolated);
    request.http.headers = {{"Authorization", "Bearer red-key2"}};
    const CallerResponse unknownKey = mocked.path.handle(request);
    requireRefusedUnsent(mocked, unknownKey, RefusalCode::VmIsolated);
    CATCH_CHECK(unknownKey.http.status == 503);
    CATCH_CHECK(*findHeader(unknownKey.http.headers, "Retry-After") == "1");
    requireRefusedUnsent(mocked, mocked.handle("GET", "/blue"), RefusalCode::VmIsolated);
    requireRefusedUnsent(mocked, mocked.handle("GET", "/none"), RefusalCode::VmIsolated);
    // What is wrong by any catalogue is denied, and what this one allows is served.
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read/../blue"), RefusalCode::MalformedRequest);
    CATCH_CHECK(!mocked.handle("GET", "/read").refusal);
}

// Guards against logs that can't tell which catalogue has denied a request.
CATCH_TEST_CASE("The record of a denied request names the version of the catalogue", "[proxy]")
{
    class VersionedLookup : public HyssophallTest::MockLookup
    {
    public:
        std::uint64_t version() const override
        {
            return 7;
        }
    };
    MockedRequestHandler mocked;
    const std::shared_ptr<const CatalogueLookup> lookup = std::make_shared<VersionedLookup>();
    const Admission admission([&lookup] { return lookup; }, mocked.lease, mocked.health, [] { return 1; }, {});
    CallerRequest request;
    request.http = {"GET", "/none", {}, ""};
    RequestRecord record;
    CATCH_CHECK_FALSE(admission.admit(request, record));
    CATCH_CHECK(record.catalogueVersion == 7);
}

// Guards against using a withdrawn key: a request can wait for a token, a claim and its connection after its admission, so the key is checked again.
CATCH_TEST_CASE("A request whose key is withdrawn after its admission isn't sent", "[proxy][key-isolation][true-refusal]")
{
    MockedRequestHandler mocked;
    mocked.lookup->keysLeft = 1;
    requireRefusedUnsent(mocked, mocked.handle("POST", "/write", withClaim), RefusalCode::KeyUnknown);
    CATCH_CHECK(mocked.claims.released == 1);
}

// Guards against upstreams that learn a caller's key, and against hop-by-hop headers that are forwarded.
CATCH_TEST_CASE("Headers with the caller's key, hop-by-hop headers and the fleet's own headers don't reach an upstream", "[proxy][key-isolation]")
{
    MockedRequestHandler mocked;
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

// Guards against an upstream that sends the fleet's refusal headers and makes a caller believe that its request wasn't run.
CATCH_TEST_CASE("An upstream can't forge a refusal", "[proxy][true-refusal]")
{
    MockedRequestHandler mocked;
    mocked.sender.addResponse(404, {{"Hyssophall-Refusal", "route_unknown"}, {"Hyssophall-Outcome", "not-run"}, {"X-Kept", "2"}});
    const CallerResponse response = mocked.handle("POST", "/write");
    CATCH_CHECK(response.http.status == 404);
    CATCH_CHECK(response.http.headers.size() == 1);
}

// Guards against resources that leak when a request is refused at any step before sending.
CATCH_TEST_CASE("Refusals before sending are reported as not run, return the token and release the claim", "[proxy][true-refusal]")
{
    MockedRequestHandler mocked;
    mocked.health.poison = true;
    requireRefusedUnsent(mocked, mocked.handle("GET", "/read"), RefusalCode::PoisonRequest);
    mocked.health.poison = false;
    mocked.health.suspicion = std::chrono::milliseconds(1500);
    const CallerResponse suspected = mocked.handle("GET", "/read");
    requireRefusedUnsent(mocked, suspected, RefusalCode::NoInstance);
    CATCH_CHECK(*findHeader(suspected.http.headers, "Retry-After") == "2");
    mocked.health.suspicion.reset();
    mocked.limiter.kind = RateDecision::Kind::RateLimited;
    const CallerResponse limited = mocked.handle("GET", "/read");
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

// Guards against running a request again whose idempotency key is in use, belongs to another request, has a stored outcome or can't be claimed.
CATCH_TEST_CASE("Each state of an idempotency claim has its own response and nothing is sent", "[proxy][at-most-once]")
{
    MockedRequestHandler mocked;
    mocked.claims.result = {ClaimResult::Kind::InProgress, "", std::nullopt};
    requireRefusal(mocked.handle("POST", "/write", withClaim), RefusalCode::ClaimInProgress, RequestOutcome::Unknown);
    mocked.claims.result.kind = ClaimResult::Kind::FingerprintMismatch;
    requireRefusedUnsent(mocked, mocked.handle("POST", "/write", withClaim), RefusalCode::IdempotencyKeyReused);
    mocked.claims.result.kind = ClaimResult::Kind::Unavailable;
    requireRefusedUnsent(mocked, mocked.handle("POST", "/write", withClaim), RefusalCode::ClaimUnavailable);
    mocked.claims.result.kind = ClaimResult::Kind::Finished;
    mocked.claims.result.outcome.emplace().set_status(201);
    const CallerResponse replayed = mocked.handle("POST", "/write", withClaim);
    CATCH_CHECK(replayed.http.status == 201);
    CATCH_CHECK(*findHeader(replayed.http.headers, "Idempotent-Replayed") == "true");
    CATCH_CHECK(mocked.sender.calls.empty());
    CATCH_CHECK(mocked.claims.released == 0);
}

// Guards against running a non-idempotent request twice, and against giving up although no instance has run it.
CATCH_TEST_CASE("A non-idempotent request is retried only if it is proven that it didn't run", "[proxy][at-most-once][true-refusal]")
{
    MockedRequestHandler mocked;
    mocked.sender.addFailure(UpstreamFailureKind::ConnectionLost, true);
    requireRefusal(mocked.handle("POST", "/write", withClaim), RefusalCode::UpstreamFailed, RequestOutcome::Unknown);
    CATCH_CHECK(mocked.sender.calls.size() == 1);
    // The claim isn't released, so a caller that repeats the request gets the outcome "unknown".
    CATCH_CHECK(mocked.claims.released == 0);
    CATCH_CHECK(mocked.claims.finished.empty());
    CATCH_CHECK(mocked.limiter.taken == 1);

    mocked.sender.addFailure(UpstreamFailureKind::ConnectFailed, false);
    mocked.sender.addResponse(503, {{"Hyssophall-Not-Run", "true"}});
    const CallerResponse response = mocked.handle("POST", "/write", withClaim);
    CATCH_CHECK(response.http.body == "done");
    CATCH_CHECK(mocked.sender.calls.size() == 4);
    CATCH_CHECK(!mocked.sender.calls.at(1).newConnection);
    CATCH_CHECK(mocked.sender.calls.at(2).newConnection);
    CATCH_REQUIRE(mocked.claims.finished.size() == 1);
    CATCH_CHECK(mocked.claims.finished.at(0).body() == "done");
    CATCH_CHECK(mocked.claims.finished.at(0).content_type() == "text/plain");
}

// Guards against callers that can't repeat a request although no instance ran it.
CATCH_TEST_CASE("A request that all instances shed is reported as not run and releases its claim", "[proxy][true-refusal]")
{
    MockedRequestHandler mocked;
    for (int count = 0; count < 3; ++count) {
        mocked.sender.addResponse(503, {{"Hyssophall-Not-Run", "true"}});
    }
    requireRefusal(mocked.handle("POST", "/write", withClaim), RefusalCode::Overloaded, RequestOutcome::NotRun);
    CATCH_CHECK(mocked.sender.calls.size() == 3);
    CATCH_CHECK(mocked.claims.released == 1);
}

// Guards against a false "not run": the first try may have run the request, and the later ones prove only that they didn't.
CATCH_TEST_CASE("A request that may have run on one try is never reported as not run", "[proxy][true-refusal]")
{
    MockedRequestHandler mocked;
    mocked.sender.addFailure(UpstreamFailureKind::TimedOut, true);
    // With the first try, one per instance. Tries that reach no instance don't count towards the maximum number of retries.
    mocked.sender.addFailure(UpstreamFailureKind::ConnectFailed, false);
    mocked.sender.addFailure(UpstreamFailureKind::ConnectFailed, false);
    mocked.sender.addFailure(UpstreamFailureKind::ConnectFailed, false);
    requireRefusal(mocked.handle("GET", "/read"), RefusalCode::UpstreamFailed, RequestOutcome::Unknown);
    mocked.sender.addFailure(UpstreamFailureKind::ResponseTooLarge, true);
    requireRefusal(mocked.handle("GET", "/read"), RefusalCode::AnswerIncomplete, RequestOutcome::Unknown);
}

// Guards against broken traces: all tries belong to the caller's trace, and each has a span id of its own.
CATCH_TEST_CASE("A caller's trace is continued with a span for each try", "[proxy][trace]")
{
    MockedRequestHandler mocked;
    const std::string traceId = "0af7651916cd43dd8448eb211c80319c";
    mocked.sender.addResponse(500);
    CATCH_REQUIRE(!mocked.handle("GET", "/read", {{"traceparent", "00-" + traceId + "-b7ad6b7169203331-01"}}).refusal);
    const std::string first = *findHeader(mocked.sender.calls.at(0).request.headers, "traceparent");
    const std::string second = *findHeader(mocked.sender.calls.at(1).request.headers, "traceparent");
    CATCH_CHECK(first.substr(0, 36) == "00-" + traceId + "-");
    CATCH_CHECK(second.substr(0, 36) == first.substr(0, 36));
    CATCH_CHECK(first != second);
}

// Guards against refusing requests right after a start although the VM gets its first catalogue a moment later.
CATCH_TEST_CASE("A request waits for the first catalogue before its admission", "[proxy][true-refusal]")
{
    MockedRequestHandler mocked;
    mocked.lease.held = false;
    mocked.awaitCatalogue = [&mocked](SteadyTime) { mocked.lease.held = true; };
    CATCH_CHECK(!mocked.handle("GET", "/read").refusal);
}

// Guards against waiting for a hanging instance until an idempotent request has no time left for a retry.
CATCH_TEST_CASE("Only tries that can be followed by a retry end before the deadline", "[proxy]")
{
    MockedRequestHandler mocked;
    mocked.health.usualPerTryTimeout = std::chrono::milliseconds(600);
    const SteadyTime began = std::chrono::steady_clock::now();
    mocked.handle("GET", "/read");
    mocked.handle("POST", "/write");
    CATCH_REQUIRE(mocked.sender.calls.size() == 2);
    CATCH_CHECK(mocked.sender.calls[0].mayRetry);
    CATCH_REQUIRE(mocked.sender.calls[0].tryDeadline);
    CATCH_CHECK(*mocked.sender.calls[0].tryDeadline >= began + std::chrono::milliseconds(600));
    CATCH_CHECK(*mocked.sender.calls[0].tryDeadline < mocked.sender.calls[0].deadline);
    CATCH_CHECK_FALSE(mocked.sender.calls[1].mayRetry);
    // Not enough time for a retry, so this try gets all of it.
    mocked.handle("GET", "/read", {{"X-Request-Timeout-Ms", "500"}});
    CATCH_CHECK_FALSE(mocked.sender.calls[2].tryDeadline);
}

// Guards against instances whose work is thrown away for a retry that can't follow: the caller then gets a failure in place of a response.
CATCH_TEST_CASE("A try that lasts long is aborted only if a retry can follow", "[proxy][graceful-shutdown]")
{
    MockedRequestHandler mocked;
    mocked.sender.isSlow = true;
    mocked.health.usualPerTryTimeout = std::chrono::milliseconds(600);
    // Each retry is reserved when the try before it is aborted; the last try gets all of the time.
    CATCH_CHECK(!mocked.handle("GET", "/read").refusal);
    CATCH_CHECK(mocked.sender.calls.size() == 3);
    CATCH_CHECK(mocked.sender.calls[0].instance != mocked.sender.calls[1].instance);
    CATCH_CHECK(mocked.health.inFlight == 0);

    mocked.health.instances.resize(1);
    CATCH_CHECK(!mocked.handle("GET", "/read").refusal);
    CATCH_CHECK(mocked.sender.calls.size() == 4);
    CATCH_CHECK(mocked.health.inFlight == 0);
}

// Guards against a retry budget that is exhausted only when the instance's work has already been thrown away.
CATCH_TEST_CASE("A try that lasts long goes on when the retry budget is exhausted", "[proxy][retries]")
{
    MockedRequestHandler mocked;
    mocked.health.usualPerTryTimeout = std::chrono::milliseconds(600);
    while (mocked.retries.tryAcquire("service", std::chrono::steady_clock::now())) { }
    mocked.sender.isSlow = true;
    CATCH_CHECK(!mocked.handle("GET", "/read").refusal);
    CATCH_CHECK(mocked.sender.calls.size() == 1);
    CATCH_CHECK(mocked.health.inFlight == 0);
}

// Guards against a planned stop that throws away an instance's work although little time is left for a retry.
CATCH_TEST_CASE("No try is aborted in favour of a retry once the process is stopping", "[proxy][graceful-shutdown]")
{
    MockedRequestHandler mocked;
    mocked.sender.isSlow = true;
    mocked.health.usualPerTryTimeout = std::chrono::milliseconds(600);
    mocked.path.beginShutdown();
    CATCH_CHECK(!mocked.handle("GET", "/read").refusal);
    CATCH_REQUIRE(mocked.sender.calls.size() == 1);
    CATCH_CHECK_FALSE(mocked.sender.calls[0].mayBeStale());
}

// Guards against a response that tells the caller nothing although no instance was reached: an order that gets it can't be sent again.
CATCH_TEST_CASE("A request whose tries reached no instance is refused as not run and told when to come back", "[proxy][true-refusal][lost-path]")
{
    for (const char *method : {"GET", "POST"}) {
        MockedRequestHandler mocked;
        for (int number = 0; number < 10; ++number) {
            mocked.sender.addFailure(UpstreamFailureKind::ConnectFailed, false);
        }
        const CallerResponse response = mocked.handle(method, method == std::string("GET") ? "/read" : "/write");
        CATCH_REQUIRE(response.refusal);
        CATCH_CHECK(response.refusal->outcome == RequestOutcome::NotRun);
        CATCH_CHECK(response.http.status == 503);
        CATCH_CHECK(findHeader(response.http.headers, "Retry-After") != nullptr);
    }
}

// Guards against a refusal that promises that the request wasn't run, after a try that may have run it.
CATCH_TEST_CASE("A request that reached no instance in its last try alone isn't refused as not run", "[proxy][true-refusal][lost-path]")
{
    MockedRequestHandler mocked;
    mocked.sender.addFailure(UpstreamFailureKind::ConnectionLost, true);
    for (int number = 0; number < 10; ++number) {
        mocked.sender.addFailure(UpstreamFailureKind::ConnectFailed, false);
    }
    const CallerResponse response = mocked.handle("GET", "/read");
    requireRefusal(response, RefusalCode::UpstreamFailed, RequestOutcome::Unknown);
    CATCH_CHECK(response.http.status == 502);
}
