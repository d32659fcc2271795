#include "process/proxy/upstreamtries.h"

#include "connection/headerfilter.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

constexpr int lostConnectionsPerRequest = 2;
/// Instances that refuse connections or don't answer them are left behind quickly, but not without end.
constexpr int maximumUnsentTries = 4;

HttpAnswer forwardedAnswer(const HttpAnswer &answer, const CallerRequest &request)
{
    HttpAnswer forwarded = answer;
    // A length in the answer to HEAD, which has no body, is that of the body that GET would give.
    const std::string *length = request.http.method == "HEAD" ? findHeader(answer.headers, "Content-Length") : nullptr;
    forwarded.headers = forwardedAnswerHeaders(answer.headers);
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
    const Admission &admission, InstanceHealth &health, UpstreamSender &sender, RetryAllowance &budget, SteadyClock clock, RandomSource random)
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
    state.result.answer = refusalAnswer({RefusalCode::NoInstance, RequestOutcome::NotRun, std::chrono::seconds(1)});
    this->budget.addRequest(context.service, this->clock());
    while (state.goesOn) {
        const std::optional<hyssophall::fleet::v1::Instance> instance = this->health.choose(this->queryOf(context, state));
        if (!instance) {
            record.endGrounds = "no instance can take the request";
            break;
        }
        state.tried.insert(instance->id());
        this->tryOnce(context, *instance, record, state);
    }
    return std::move(state.result);
}

InstanceQuery UpstreamTries::queryOf(const RequestContext &context, const State &state) const
{
    InstanceQuery query;
    query.service = context.service;
    query.route = context.route->name();
    query.idempotent = context.isIdempotent();
    query.mayRetry = mayFollow(context, state);
    query.requestBytes = context.request->http.body.size();
    query.tried = state.tried;
    return query;
}

bool UpstreamTries::mayFollow(const RequestContext &context, const State &state)
{
    const int attempts = static_cast<int>(context.route->maximum_attempts());
    return context.isIdempotent() && (attempts == 0 || state.sent + 1 < attempts) && state.sent < TryVerdict::maximumRetries;
}

std::optional<SteadyTime> UpstreamTries::patienceEnd(const RequestContext &context, SteadyTime now) const
{
    const std::optional<std::chrono::milliseconds> patience = this->health.perTryTimeout(context.route->name());
    if (!patience) {
        return std::nullopt;
    }
    // Half of the patience is more than a request usually takes, so another try gets that much.
    const SteadyTime end = std::min(now + *patience, context.deadline - *patience / 2);
    return end < now + *patience / 2 ? std::nullopt : std::optional<SteadyTime>(end);
}

void UpstreamTries::tryOnce(const RequestContext &context, const hyssophall::fleet::v1::Instance &instance, RequestRecord &record, State &state)
{
    TryRecord tried;
    tried.spanId = newSpanId(this->random);
    tried.instance = instance.id();
    tried.grounds = this->health.describeInstance(instance.id());
    tried.began = std::chrono::system_clock::now();
    state.withheld.reset();
    const UpstreamResult result = this->sender.send(this->createCall(context, instance, record, tried.spanId, state));
    const TryVerdict verdict(result, this->admission.headerNames().notRun);
    this->health.finish(instance, verdict.outcome(), result.latency, context.fingerprint);
    tried.duration = result.latency;
    tried.outcome = verdict.outcome();
    tried.status = result.answer ? result.answer->status : 0;
    tried.reusedConnection = result.reusedConnection;
    record.upstreamDuration += result.latency;
    record.tries.push_back(std::move(tried));
    this->judge(context, record, result, verdict, state);
}

void UpstreamTries::judge(const RequestContext &context, RequestRecord &record, const UpstreamResult &result, const TryVerdict &verdict, State &state)
{
    TriesResult &sum = state.result;
    sum.mayHaveRun = sum.mayHaveRun || !verdict.isProvenNotRun();
    sum.mayHaveSent = sum.mayHaveSent || result.answer || result.failure->mayHaveSent;
    sum.capacitySignal = verdict.capacitySignal();
    sum.lastLatency = result.latency;
    if (verdict.isAnswer()) {
        sum.answer = CallerAnswer{forwardedAnswer(*result.answer, *context.request), std::nullopt};
    } else {
        Refusal refusal = state.withheld.value_or(verdict.refusal(true));
        refusal.outcome = sum.mayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
        sum.answer = refusalAnswer(refusal);
    }
    state.lostConnections += verdict.outcome() == TryOutcome::ConnectionLost ? 1 : 0;
    const SteadyTime now = this->clock();
    // All idle connections can go silent at once. The first time-out retires them all, so these retries are bounded by the
    // size of the pools and need no budget, and a new connection to the same instance is as good as another instance.
    const bool silent = result.failure && result.failure->silentConnection;
    if (silent) {
        state.tried.erase(record.tries.back().instance);
    }
    const bool reached = result.answer || result.failure->mayHaveSent;
    state.sent += reached ? 1 : 0;
    state.unsent += reached ? 0 : 1;
    const int attempts = static_cast<int>(context.route->maximum_attempts());
    const bool mayBeSentAgain = (attempts == 0 || state.sent < attempts) && state.unsent <= maximumUnsentTries;
    const bool mayGoOn = mayBeSentAgain && verdict.mayRetry(context.isIdempotent(), std::max(0, state.sent - 1)) && !this->mayBePoison(context, state)
        && now < context.deadline;
    // A try that reached no instance was no load on one.
    const bool mayAfford = mayGoOn && (silent || !reached || this->budget.tryTake(context.service, now));
    state.goesOn = mayAfford;
    if (mayGoOn && !mayAfford) {
        record.endGrounds = "the retry budget of the service is spent";
    } else if (!mayBeSentAgain) {
        record.endGrounds = "the route allows no further attempt";
    } else if (!mayGoOn && !verdict.isAnswer()) {
        record.endGrounds = now >= context.deadline ? "the time is over" : "the request may have run and can't be repeated";
    }
}

bool UpstreamTries::mayBePoison(const RequestContext &context, const State &state) const
{
    // A request that lost two instances may have felled both; a third one isn't risked, whatever its route says.
    return state.lostConnections >= lostConnectionsPerRequest || this->health.isPoison(context.fingerprint);
}

UpstreamCall UpstreamTries::createCall(
    const RequestContext &context, const hyssophall::fleet::v1::Instance &instance, const RequestRecord &record, const std::string &spanId, State &state) const
{
    const HeaderNames &names = this->admission.headerNames();
    UpstreamCall call;
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
    const std::string *callersId = names.forwardsRequestId ? findHeader(context.request->http.headers, "X-Request-Id") : nullptr;
    call.requestId = callersId == nullptr ? record.trace.traceId + spanId : *callersId;
    call.deadline = context.deadline;
    call.mayFollow = mayFollow(context, state);
    call.patienceEnd = this->patienceEnd(context, this->clock());
    call.isAbandoned = context.request->isAbandoned;
    call.mayBeSent = [this, &context, &state] {
        if (context.request->isAbandoned && context.request->isAbandoned()) {
            // Nobody reads this refusal; it is counted and traced.
            state.withheld = Refusal{RefusalCode::DeadlineExceeded, RequestOutcome::NotRun, std::chrono::milliseconds(0)};
            return false;
        }
        return boost::leaf::try_handle_all(
            [this, &context]() -> boost::leaf::result<bool> {
                boost::leaf::result<void> confirmed = this->admission.confirm(context);
                if (!confirmed) {
                    return confirmed.error();
                }
                return true;
            },
            [&state](const Refusal &refusal) {
                state.withheld = refusal;
                return false;
            },
            [] { return false; });
    };
    return call;
}

} // namespace Hyssophall
