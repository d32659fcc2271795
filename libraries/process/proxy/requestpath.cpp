#include "process/proxy/requestpath.h"

#include "request/requesttarget.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// Callers choose their ids, so a longer one is cut in the log.
constexpr std::size_t longestLoggedId = 64;

boost::leaf::error_id refuse(
    RefusalCode code, RequestOutcome outcome = RequestOutcome::NotRun, std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0))
{
    return boost::leaf::new_error(Refusal{code, outcome, retryAfter});
}

CallerAnswer replayedAnswer(const hyssophall::fleet::v1::ClaimOutcome &outcome)
{
    CallerAnswer answer;
    answer.http.status = static_cast<int>(outcome.status());
    answer.http.headers.push_back({"Idempotent-Replayed", "true"});
    if (outcome.body_omitted()) {
        // The body was too large to be kept; the status alone tells that the request ran.
        answer.http.headers.push_back({"Hyssophall-Body-Omitted", "true"});
        answer.http.headers.push_back({"Content-Type", "application/json"});
        answer.http.body = R"({"replayed":true,"body_omitted":true})";
        return answer;
    }
    if (!outcome.content_type().empty()) {
        answer.http.headers.push_back({"Content-Type", outcome.content_type()});
    }
    answer.http.body = outcome.body();
    return answer;
}

} // namespace

RequestPath::RequestPath(const Parts &parts, const Options &options)
    : parts(parts)
    , options(options)
    , admission(parts.catalogue, parts.lease, parts.health, parts.random, options.admission)
    , tries(this->admission, parts.health, parts.sender, parts.retries, parts.clock, parts.random)
{
}

CallerAnswer RequestPath::handle(const CallerRequest &request)
{
    RequestRecord record;
    record.began = std::chrono::system_clock::now();
    record.trace = TraceContext::create(findHeader(request.http.headers, "traceparent"), this->parts.random);
    const CallerAnswer answer = boost::leaf::try_handle_all([this, &request, &record] { return this->run(request, record); },
        [](const Refusal &refusal) { return refusalAnswer(refusal); },
        [] {
            return refusalAnswer({RefusalCode::UpstreamFailed, RequestOutcome::Unknown});
        });
    this->observe(request, answer, record);
    return answer;
}

void RequestPath::stopAccepting()
{
    this->accepting = false;
}

boost::leaf::result<CallerAnswer> RequestPath::run(const CallerRequest &request, RequestRecord &record)
{
    if (!this->accepting) {
        return refuse(RefusalCode::ShuttingDown, RequestOutcome::NotRun, std::chrono::seconds(1));
    }
    if (this->parts.awaitCatalogue) {
        this->parts.awaitCatalogue(this->parts.clock() + this->options.catalogueWait);
    }
    BOOST_LEAF_AUTO(context, this->admission.admit(request, record));
    BOOST_LEAF_AUTO(token, this->takeToken(context, record));
    const std::string *idempotencyKey = context.isIdempotent() ? nullptr : findHeader(request.http.headers, "Idempotency-Key");
    if (idempotencyKey == nullptr) {
        return this->runClaimed(context, nullptr, token.get(), record);
    }
    BOOST_LEAF_AUTO(claimed, this->claim(context, *idempotencyKey));
    if (claimed.kind == ClaimResult::Kind::Finished) {
        if (token != nullptr) {
            token->spend();
        }
        return replayedAnswer(claimed.outcome.value_or(hyssophall::fleet::v1::ClaimOutcome()));
    }
    IdempotencyClaim claim(this->parts.claims, context.teamName(), *idempotencyKey, claimed.attempt);
    return this->runClaimed(context, &claim, token.get(), record);
}

boost::leaf::result<std::unique_ptr<RateToken>> RequestPath::takeToken(const RequestContext &context, RequestRecord &record)
{
    if (context.team == nullptr) {
        return nullptr;
    }
    const SteadyTime deadline = std::min(this->parts.clock() + std::max(this->options.rateWait, this->options.ownerWait), context.deadline);
    const RateDecision decision = this->parts.rateLimiter.acquire(context.teamName(), deadline);
    record.rateGrounds = decision.details;
    switch (decision.kind) {
    case RateDecision::Kind::Granted:
        return std::make_unique<RateToken>(this->parts.rateLimiter, context.teamName());
    case RateDecision::Kind::RateLimited:
        return refuse(RefusalCode::RateLimited, RequestOutcome::NotRun, std::max(decision.retryAfter, std::chrono::milliseconds(1)));
    case RateDecision::Kind::Unavailable:
        break;
    }
    return refuse(RefusalCode::LimitUnavailable, RequestOutcome::NotRun, std::max(decision.retryAfter, std::chrono::milliseconds(1)));
}

boost::leaf::result<ClaimResult> RequestPath::claim(const RequestContext &context, const std::string &idempotencyKey)
{
    if (idempotencyKey.empty()) {
        return refuse(RefusalCode::MalformedRequest);
    }
    const SteadyTime deadline = std::min(this->parts.clock() + this->options.claimWait, context.deadline);
    ClaimResult claimed = this->parts.claims.claim(context.teamName(), idempotencyKey, context.fingerprint, deadline);
    switch (claimed.kind) {
    case ClaimResult::Kind::Granted:
        return claimed;
    case ClaimResult::Kind::Finished:
        // A record without an outcome can't be replayed; the request did run.
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

boost::leaf::result<CallerAnswer> RequestPath::runClaimed(const RequestContext &context, IdempotencyClaim *claim, RateToken *token, RequestRecord &record)
{
    const double weight = context.team == nullptr || context.team->weight() <= 0 ? 1.0 : context.team->weight();
    const std::unique_ptr<CapacityQueue::Permit> permit = this->parts.capacity.acquire(context.service, context.teamName(), weight, context.deadline);
    if (permit == nullptr) {
        const bool late = this->parts.clock() >= context.deadline;
        return refuse(late ? RefusalCode::DeadlineExceeded : RefusalCode::Overloaded, RequestOutcome::NotRun, std::chrono::seconds(1));
    }
    const TriesResult result = this->tries.run(context, record);
    permit->finish(result.capacitySignal, result.lastLatency);
    if (token != nullptr && result.mayHaveSent) {
        token->spend();
    }
    if (claim != nullptr && result.mayHaveRun) {
        this->recordOutcome(result, *claim);
    }
    return result.answer;
}

void RequestPath::recordOutcome(const TriesResult &result, IdempotencyClaim &claim) const
{
    if (result.answer.refusal) {
        claim.keep();
        return;
    }
    const HttpAnswer &answer = result.answer.http;
    const std::string *contentType = findHeader(answer.headers, "Content-Type");
    hyssophall::fleet::v1::ClaimOutcome outcome;
    outcome.set_status(static_cast<std::uint32_t>(answer.status));
    if (contentType != nullptr) {
        outcome.set_content_type(*contentType);
    }
    if (answer.body.size() <= this->options.maximumClaimBodyBytes) {
        outcome.set_body(answer.body);
    } else {
        outcome.set_body_omitted(true);
    }
    claim.finish(outcome, this->parts.clock() + this->options.claimFinishLimit);
}

void RequestPath::observe(const CallerRequest &request, const CallerAnswer &answer, RequestRecord &record) const
{
    const std::string *requestId = findHeader(request.http.headers, "X-Request-Id");
    record.requestId = requestId == nullptr ? std::string() : requestId->substr(0, longestLoggedId);
    record.method = request.http.method;
    record.path = targetPath(request.http.target);
    record.duration = std::chrono::duration_cast<std::chrono::microseconds>(this->parts.clock() - request.arrival);
    record.status = answer.http.status;
    record.answerBytes = answer.http.body.size();
    record.refusal = answer.refusal;
    for (RequestObserver *observer : this->parts.observers) {
        observer->requestFinished(record);
    }
}

} // namespace Hyssophall
