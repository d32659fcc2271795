#include "process/proxy/requesthandler.h"

#include "request/requesttarget.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// Callers choose their X-Request-Id, so longer ones are truncated in the log.
constexpr std::size_t maximumLoggedIdLength = 64;

boost::leaf::error_id refuse(
    RefusalCode code, RequestOutcome outcome = RequestOutcome::NotRun, std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0))
{
    return boost::leaf::new_error(Refusal{code, outcome, retryAfter});
}

CallerResponse replayedResponse(const hyssophall::fleet::v1::ClaimOutcome &outcome)
{
    CallerResponse response;
    response.http.status = static_cast<int>(outcome.status());
    response.http.headers.push_back({"Idempotent-Replayed", "true"});
    if (outcome.body_omitted()) {
        // The body was too large to be stored; the stored status shows that the request ran.
        response.http.headers.push_back({"Hyssophall-Body-Omitted", "true"});
        response.http.headers.push_back({"Content-Type", "application/json"});
        response.http.body = R"({"replayed":true,"body_omitted":true})";
        return response;
    }
    if (!outcome.content_type().empty()) {
        response.http.headers.push_back({"Content-Type", outcome.content_type()});
    }
    response.http.body = outcome.body();
    return response;
}

} // namespace

RequestHandler::RequestHandler(const Dependencies &dependencies, const Options &options)
    : dependencies(dependencies)
    , options(options)
    , admission(dependencies.catalogue, dependencies.lease, dependencies.health, dependencies.random, options.admission)
    , tries(this->admission, dependencies.health, dependencies.sender, dependencies.retries, dependencies.clock, dependencies.random)
{
}

CallerResponse RequestHandler::handle(const CallerRequest &request)
{
    RequestRecord record;
    record.startTime = std::chrono::system_clock::now();
    record.trace = TraceContext::create(findHeader(request.http.headers, "traceparent"), this->dependencies.random);
    const CallerResponse response = boost::leaf::try_handle_all([this, &request, &record] { return this->run(request, record); },
        [](const Refusal &refusal) { return refusalResponse(refusal); },
        [] {
            return refusalResponse({RefusalCode::UpstreamFailed, RequestOutcome::Unknown});
        });
    this->observe(request, response, record);
    return response;
}

void RequestHandler::beginShutdown()
{
    this->tries.beginShutdown();
}

void RequestHandler::stopAccepting()
{
    this->accepting = false;
}

boost::leaf::result<CallerResponse> RequestHandler::run(const CallerRequest &request, RequestRecord &record)
{
    if (!this->accepting) {
        return refuse(RefusalCode::ShuttingDown, RequestOutcome::NotRun, std::chrono::seconds(1));
    }
    if (this->dependencies.awaitCatalogue) {
        this->dependencies.awaitCatalogue(this->dependencies.clock() + this->options.catalogueTimeout);
    }
    BOOST_LEAF_AUTO(context, this->admission.admit(request, record));
    BOOST_LEAF_AUTO(token, this->acquireToken(context, record));
    const std::string *idempotencyKey = context.isIdempotent() ? nullptr : findHeader(request.http.headers, "Idempotency-Key");
    if (idempotencyKey == nullptr) {
        return this->runOnUpstream(context, nullptr, token.get(), record);
    }
    BOOST_LEAF_AUTO(claimed, this->claim(context, *idempotencyKey));
    if (claimed.kind == ClaimResult::Kind::Finished) {
        if (token != nullptr) {
            token->consume();
        }
        return replayedResponse(claimed.outcome.value_or(hyssophall::fleet::v1::ClaimOutcome()));
    }
    IdempotencyClaim claim(this->dependencies.claims, context.teamName(), *idempotencyKey, claimed.attempt);
    return this->runOnUpstream(context, &claim, token.get(), record);
}

boost::leaf::result<std::unique_ptr<RateToken>> RequestHandler::acquireToken(const RequestContext &context, RequestRecord &record)
{
    if (context.team == nullptr) {
        return nullptr;
    }
    const SteadyTime deadline = std::min(this->dependencies.clock() + std::max(this->options.rateWait, this->options.ownerWait), context.deadline);
    const RateDecision decision = this->dependencies.rateLimiter.acquire(context.teamName(), deadline);
    record.rateDetails = decision.details;
    switch (decision.kind) {
    case RateDecision::Kind::Granted:
        return std::make_unique<RateToken>(this->dependencies.rateLimiter, context.teamName());
    case RateDecision::Kind::RateLimited:
        return refuse(RefusalCode::RateLimited, RequestOutcome::NotRun, std::max(decision.retryAfter, std::chrono::milliseconds(1)));
    case RateDecision::Kind::Unavailable:
        break;
    }
    return refuse(RefusalCode::LimitUnavailable, RequestOutcome::NotRun, std::max(decision.retryAfter, std::chrono::milliseconds(1)));
}

boost::leaf::result<ClaimResult> RequestHandler::claim(const RequestContext &context, const std::string &idempotencyKey)
{
    if (idempotencyKey.empty()) {
        return refuse(RefusalCode::MalformedRequest);
    }
    const SteadyTime deadline = std::min(this->dependencies.clock() + this->options.claimTimeout, context.deadline);
    ClaimResult claimed = this->dependencies.claims.claim(context.teamName(), idempotencyKey, context.fingerprint, deadline);
    switch (claimed.kind) {
    case ClaimResult::Kind::Granted:
        return claimed;
    case ClaimResult::Kind::Finished:
        // Without a stored outcome there is no response to replay, but the request may have run.
        return claimed.outcome ? boost::leaf::result<ClaimResult>(std::move(claimed)) : refuse(RefusalCode::ClaimInProgress, RequestOutcome::Unknown);
    case ClaimResult::Kind::InProgress:
        return refuse(RefusalCode::ClaimInProgress, RequestOutcome::Unknown, std::chrono::seconds(1));
    case ClaimResult::Kind::FingerprintMismatch:
        return refuse(RefusalCode::IdempotencyKeyReused);
    case ClaimResult::Kind::Unavailable:
        break;
    }
    return refuse(RefusalCode::ClaimUnavailable, RequestOutcome::NotRun, std::chrono::seconds(1));
}

boost::leaf::result<CallerResponse> RequestHandler::runOnUpstream(
    const RequestContext &context, IdempotencyClaim *claim, RateToken *token, RequestRecord &record)
{
    const double weight = context.team == nullptr || context.team->weight() <= 0 ? 1.0 : context.team->weight();
    const std::unique_ptr<CapacityQueue::Permit> permit = this->dependencies.capacity.acquire(context.service, context.teamName(), weight, context.deadline);
    if (permit == nullptr) {
        const bool deadlinePassed = this->dependencies.clock() >= context.deadline;
        return refuse(deadlinePassed ? RefusalCode::DeadlineExceeded : RefusalCode::Overloaded, RequestOutcome::NotRun, std::chrono::seconds(1));
    }
    const TriesResult result = this->tries.run(context, record);
    permit->finish(result.capacitySignal, result.lastLatency);
    if (token != nullptr && result.mayHaveSent) {
        token->consume();
    }
    if (claim != nullptr && result.mayHaveRun) {
        this->recordOutcome(result, *claim);
    }
    return result.response;
}

void RequestHandler::recordOutcome(const TriesResult &result, IdempotencyClaim &claim) const
{
    if (result.response.refusal) {
        claim.markMayHaveRun();
        return;
    }
    const HttpResponse &response = result.response.http;
    const std::string *contentType = findHeader(response.headers, "Content-Type");
    hyssophall::fleet::v1::ClaimOutcome outcome;
    outcome.set_status(static_cast<std::uint32_t>(response.status));
    if (contentType != nullptr) {
        outcome.set_content_type(*contentType);
    }
    if (response.body.size() <= this->options.maximumClaimBodyBytes) {
        outcome.set_body(response.body);
    } else {
        outcome.set_body_omitted(true);
    }
    claim.finish(outcome, this->dependencies.clock() + this->options.claimFinishTimeout);
}

void RequestHandler::observe(const CallerRequest &request, const CallerResponse &response, RequestRecord &record) const
{
    const std::string *requestId = findHeader(request.http.headers, "X-Request-Id");
    record.requestId = requestId == nullptr ? std::string() : requestId->substr(0, maximumLoggedIdLength);
    record.method = request.http.method;
    record.path = targetPath(request.http.target);
    record.duration = std::chrono::duration_cast<std::chrono::microseconds>(this->dependencies.clock() - request.arrival);
    record.status = response.http.status;
    record.responseBytes = response.http.body.size();
    record.refusal = response.refusal;
    for (RequestObserver *observer : this->dependencies.observers) {
        observer->requestFinished(record);
    }
}

} // namespace Hyssophall
