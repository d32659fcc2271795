#include "process/proxy/upstreamtries.h"

#include "connection/headerfilter.h"
#include "request/instancenotice.h"

#include <boost/leaf/handle_errors.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// A request that lost this many connections is treated as poison and not sent again.
constexpr int poisonConnectionLosses = 2;
/// After a try that reached no instance the next instance is tried, whatever the retry budget, but at most this many times per request.
constexpr int maximumUnsentTries = 4;
/// Of this many responses with an invalid header, one is logged.
constexpr int invalidHeaderLogInterval = 100;

HttpResponse forwardedResponse(const HttpResponse &response, const CallerRequest &request)
{
    HttpResponse forwarded = response;
    // A response to HEAD has no body; its Content-Length is that of the response to GET and must be kept.
    const std::string *length = request.http.method == "HEAD" ? findHeader(response.headers, "Content-Length") : nullptr;
    forwarded.headers = forwardedResponseHeaders(response.headers);
    if (length != nullptr) {
        forwarded.headers.push_back({"Content-Length", *length});
    }
    const std::string *requestId = findHeader(request.http.headers, "X-Request-Id");
    if (requestId != nullptr) {
        forwarded.headers.push_back({"X-Request-Id", *requestId});
    }
    return forwarded;
}

} // namespace

UpstreamTries::UpstreamTries(
    const Admission &admission, InstanceHealth &health, UpstreamSender &sender, RetryLimiter &budget, SteadyClock clock, RandomSource random)
    : admission(admission)
    , health(health)
    , sender(sender)
    , budget(budget)
    , clock(std::move(clock))
    , random(std::move(random))
{
}

TriesResult UpstreamTries::run(const RequestContext &context, RequestRecord &record)
{
    State state;
    state.result.response = refusalResponse({RefusalCode::NoInstance, RequestOutcome::NotRun, std::chrono::seconds(1)});
    this->budget.addRequest(context.service, this->clock());
    while (state.mayContinue) {
        const std::optional<hyssophall::fleet::v1::Instance> instance = this->nextInstance(context, state);
        if (!instance) {
            record.retryStopReason = "no instance is available for the request";
            this->refuseUntilBackoffEnds(context, state);
            break;
        }
        state.triedInstances.insert(instance->id());
        this->tryOnce(context, *instance, record, state);
    }
    if (state.reserved) {
        this->health.finish(*state.reserved, TryOutcome::Neutral, std::chrono::microseconds(0), context.fingerprint);
    }
    return std::move(state.result);
}

void UpstreamTries::beginShutdown()
{
    this->shuttingDown = true;
}

std::optional<hyssophall::fleet::v1::Instance> UpstreamTries::nextInstance(const RequestContext &context, State &state)
{
    std::optional<hyssophall::fleet::v1::Instance> reserved = std::exchange(state.reserved, std::nullopt);
    return reserved ? reserved : this->health.choose(this->createQuery(context, state));
}

bool UpstreamTries::reserveRetry(const RequestContext &context, State &state)
{
    if (this->shuttingDown || this->mayBePoison(context, state)) {
        return false;
    }
    state.reserved = this->health.choose(this->createQuery(context, state));
    if (state.reserved && !this->budget.tryAcquire(context.service, this->clock())) {
        this->health.finish(*state.reserved, TryOutcome::Neutral, std::chrono::microseconds(0), context.fingerprint);
        state.reserved.reset();
    }
    return state.reserved.has_value();
}

void UpstreamTries::refuseUntilBackoffEnds(const RequestContext &context, State &state) const
{
    const std::optional<std::chrono::milliseconds> backoff = this->health.shortestBackoff(context.service);
    if (backoff && !state.result.mayHaveRun) {
        state.result.response = refusalResponse({RefusalCode::Overloaded, RequestOutcome::NotRun, *backoff});
    }
}

InstanceQuery UpstreamTries::createQuery(const RequestContext &context, const State &state) const
{
    InstanceQuery query;
    query.service = context.service;
    query.route = context.route->name();
    query.idempotent = context.isIdempotent();
    query.mayRetry = mayRetry(context, state);
    query.requestBytes = context.request->http.body.size();
    query.tried = state.triedInstances;
    return query;
}

bool UpstreamTries::mayRetry(const RequestContext &context, const State &state)
{
    const int attempts = static_cast<int>(context.route->maximum_attempts());
    return context.isIdempotent() && (attempts == 0 || state.sent + 1 < attempts) && state.sent < TryClassification::maximumRetries;
}

std::optional<SteadyTime> UpstreamTries::tryDeadline(const RequestContext &context, SteadyTime now) const
{
    const std::optional<std::chrono::milliseconds> perTryTimeout = this->health.perTryTimeout(context.route->name());
    if (!perTryTimeout) {
        return std::nullopt;
    }
    // Half of the timeout is longer than a request usually takes, so at least that much is left for a retry before the request's deadline.
    const SteadyTime end = std::min(now + *perTryTimeout, context.deadline - *perTryTimeout / 2);
    return end < now + *perTryTimeout / 2 ? std::nullopt : std::optional<SteadyTime>(end);
}

void UpstreamTries::tryOnce(const RequestContext &context, const hyssophall::fleet::v1::Instance &instance, RequestRecord &record, State &state)
{
    TryRecord tryRecord;
    tryRecord.spanId = newSpanId(this->random);
    tryRecord.instance = instance.id();
    tryRecord.selectionReason = this->health.describeInstance(instance.id());
    tryRecord.startTime = std::chrono::system_clock::now();
    state.preSendRefusal.reset();
    const UpstreamResult result = this->sender.send(this->createCall(context, instance, record, tryRecord.spanId, state));
    const TryClassification classification(result, this->admission.headerNames().notRun);
    if (result.connectionOpenedAt) {
        this->health.connectionOpened(instance, *result.connectionOpenedAt);
    }
    this->reportNotice(instance, result, classification.outcome());
    this->health.finish(instance, classification.outcome(), result.latency, context.fingerprint);
    tryRecord.duration = result.latency;
    tryRecord.outcome = classification.outcome();
    tryRecord.status = result.response ? result.response->status : 0;
    tryRecord.reusedConnection = result.reusedConnection;
    tryRecord.forwardedThrough = result.forwardedThrough;
    record.upstreamDuration += result.latency;
    record.tries.push_back(std::move(tryRecord));
    this->evaluateTry(context, record, result, classification, state);
}

void UpstreamTries::reportNotice(const hyssophall::fleet::v1::Instance &instance, const UpstreamResult &result, TryOutcome outcome)
{
    if (!result.response || outcome == TryOutcome::WrongInstance) {
        return;
    }
    const InstanceNotice notice(*result.response, this->admission.headerNames());
    if (!notice.isLimitValid()) {
        LOG_EVERY_N(WARNING, invalidHeaderLogInterval) << "Instance " << instance.id() << " names a request limit that isn't a number";
    }
    if (!notice.isRetryAfterValid()) {
        LOG_EVERY_N(WARNING, invalidHeaderLogInterval) << "Instance " << instance.id() << " sent a Retry-After that isn't a number of seconds";
    }
    this->health.noticed(instance, notice);
}

void UpstreamTries::evaluateTry(
    const RequestContext &context, RequestRecord &record, const UpstreamResult &result, const TryClassification &classification, State &state)
{
    TriesResult &total = state.result;
    total.mayHaveRun = total.mayHaveRun || !classification.isProvenNotRun();
    total.mayHaveSent = total.mayHaveSent || result.response || result.failure->mayHaveSent;
    total.capacitySignal = classification.capacitySignal();
    total.lastLatency = result.latency;
    if (classification.isForwardable()) {
        total.response = CallerResponse{forwardedResponse(*result.response, *context.request), std::nullopt};
    } else {
        Refusal refusal = state.preSendRefusal.value_or(classification.refusal(!total.mayHaveRun));
        refusal.outcome = total.mayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
        total.response = refusalResponse(refusal);
    }
    state.lostConnections += classification.outcome() == TryOutcome::ConnectionLost ? 1 : 0;
    const SteadyTime now = this->clock();
    // All idle connections can become stale at the same time, for example when a middlebox drops them. The first timeout closes them all, so the number
    // of these retries is bounded by the size of the pools and they don't count against the retry budget. The instance itself may be healthy, so the
    // retry may go to it again on a new connection.
    const bool stale = result.failure && result.failure->staleConnection;
    if (stale) {
        state.triedInstances.erase(record.tries.back().instance);
    }
    const bool mayHaveReached = result.response || result.failure->mayHaveSent;
    state.sent += mayHaveReached ? 1 : 0;
    state.unsent += mayHaveReached ? 0 : 1;
    const int attempts = static_cast<int>(context.route->maximum_attempts());
    const bool attemptsLeft = (attempts == 0 || state.sent < attempts) && state.unsent <= maximumUnsentTries;
    const bool retryAllowed = attemptsLeft && classification.allowsRetry(context.isIdempotent(), std::max(0, state.sent - 1))
        && !this->mayBePoison(context, state) && now < context.deadline;
    // A try that reached no instance caused no load, so its retry doesn't count against the retry budget.
    const bool withinRetryBudget = retryAllowed && (stale || !mayHaveReached || state.reserved || this->budget.tryAcquire(context.service, now));
    state.mayContinue = withinRetryBudget;
    if (retryAllowed && !withinRetryBudget) {
        record.retryStopReason = "the retry budget of the service is exhausted";
    } else if (!attemptsLeft) {
        record.retryStopReason = "the route allows no further attempt";
    } else if (!retryAllowed && !classification.isForwardable()) {
        record.retryStopReason = now >= context.deadline ? "the deadline has passed" : "the request may have run and can't be repeated";
    }
}

bool UpstreamTries::mayBePoison(const RequestContext &context, const State &state) const
{
    // A request whose connection was lost on two instances may have crashed both. It isn't sent to a third one, even if its route allows more attempts.
    return state.lostConnections >= poisonConnectionLosses || this->health.isPoison(context.fingerprint)
        || this->health.poisonSuspicion(context.fingerprint).has_value();
}

UpstreamCall UpstreamTries::createCall(
    const RequestContext &context, const hyssophall::fleet::v1::Instance &instance, const RequestRecord &record, const std::string &spanId, State &state)
{
    const HeaderNames &names = this->admission.headerNames();
    UpstreamCall call;
    call.instance = instance.id();
    call.failureDomain = instance.failure_domain();
    call.host = instance.host();
    call.port = static_cast<std::uint16_t>(instance.port());
    call.request = context.request->http;
    call.request.headers = forwardedRequestHeaders(context.request->http.headers, names);
    call.request.headers.push_back({"traceparent", record.trace.traceparent(spanId)});
    if (!names.targetInstance.empty()) {
        call.request.headers.push_back({names.targetInstance, instance.id()});
    }
    if (!names.team.empty() && context.team != nullptr) {
        call.request.headers.push_back({names.team, context.teamName()});
    }
    call.deadlineHeader = names.deadline;
    call.idempotent = context.isIdempotent();
    call.newConnection = state.sent + state.unsent > 0;
    const std::string *callerRequestId = names.forwardsRequestId ? findHeader(context.request->http.headers, "X-Request-Id") : nullptr;
    call.requestId = callerRequestId == nullptr ? record.trace.traceId + spanId : *callerRequestId;
    call.deadline = context.deadline;
    call.mayRetry = mayRetry(context, state);
    call.tryDeadline = this->tryDeadline(context, this->clock());
    call.mayBeAborted = [this, &context, &state] { return this->reserveRetry(context, state); };
    call.mayBeStale = [this] { return !this->shuttingDown; };
    call.isCallerDisconnected = context.request->isCallerDisconnected;
    call.mayBeSent = [this, &context, &state] {
        if (context.request->isCallerDisconnected && context.request->isCallerDisconnected()) {
            // The caller has disconnected, so this refusal is only seen in metrics and traces.
            state.preSendRefusal = Refusal{RefusalCode::DeadlineExceeded, RequestOutcome::NotRun, std::chrono::milliseconds(0)};
            return false;
        }
        return boost::leaf::try_handle_all(
            [this, &context]() -> boost::leaf::result<bool> {
                boost::leaf::result<void> revalidated = this->admission.revalidate(context);
                if (!revalidated) {
                    return revalidated.error();
                }
                return true;
            },
            [&state](const Refusal &refusal) {
                state.preSendRefusal = refusal;
                return false;
            },
            [] { return false; });
    };
    return call;
}

} // namespace Hyssophall
