#include "request/tryclassification.h"

namespace Hyssophall {

namespace {

/// 421 Misdirected Request: another instance now has the address that the request was sent to.
constexpr int wrongInstanceStatus = 421;

/// A caller that comes back after this time reaches another VM, or one that has learned meanwhile which instances work.
constexpr std::chrono::milliseconds refusalRetryAfter{1000};

/// Whether callers read the status as "the request wasn't run", as with the refusals of this fleet that have the same status.
bool impliesNotRun(int status)
{
    return status == 408 || status == wrongInstanceStatus || status == 429 || status == 503;
}

/// Whether the response proves that the instance didn't run the request, for a reason that doesn't lie in the request: any 421, or a 408, 429 or 503
/// with the not-run header.
bool provesNotRun(const HttpResponse &response, const std::string &notRunHeader)
{
    const std::string *notRun = findHeader(response.headers, notRunHeader);
    return impliesNotRun(response.status) && (response.status == wrongInstanceStatus || (notRun != nullptr && *notRun != "false"));
}

TryOutcome outcomeOf(const UpstreamFailure &failure)
{
    if (failure.isPathFailure && failure.kind != UpstreamFailureKind::ConnectFailed) {
        return TryOutcome::Neutral;
    }
    switch (failure.kind) {
    case UpstreamFailureKind::ConnectFailed:
        return TryOutcome::ConnectFailed;
    case UpstreamFailureKind::NoPath:
    case UpstreamFailureKind::RejectedBeforeSend:
    case UpstreamFailureKind::CallerDisconnected:
        return TryOutcome::Neutral;
    case UpstreamFailureKind::TimedOut:
        return failure.staleConnection || !failure.mayHaveSent ? TryOutcome::Neutral : TryOutcome::TimedOut;
    case UpstreamFailureKind::ConnectionLost:
        return TryOutcome::ConnectionLost;
    case UpstreamFailureKind::ResponseIncomplete:
    case UpstreamFailureKind::ResponseTooLarge:
    case UpstreamFailureKind::ResponseMismatched:
        return TryOutcome::AnswerIncomplete;
    }
    return TryOutcome::Neutral;
}

RefusalCode refusalCodeOf(UpstreamFailureKind kind)
{
    switch (kind) {
    case UpstreamFailureKind::ConnectFailed:
    case UpstreamFailureKind::NoPath:
        return RefusalCode::InstanceUnreachable;
    case UpstreamFailureKind::TimedOut:
        return RefusalCode::DeadlineExceeded;
    case UpstreamFailureKind::ResponseIncomplete:
    case UpstreamFailureKind::ResponseTooLarge:
    case UpstreamFailureKind::ResponseMismatched:
        return RefusalCode::AnswerIncomplete;
    default:
        return RefusalCode::UpstreamFailed;
    }
}

} // namespace

TryClassification::TryClassification(const UpstreamResult &result, const std::string &notRunHeader)
{
    if (result.failure) {
        this->provenNotRun = !result.failure->mayHaveSent;
        this->outcomeOfTry = outcomeOf(*result.failure);
        this->refusalCode = refusalCodeOf(result.failure->kind);
        // A retry would find no path and be refused before sending as well, get a response that is too large as well, or have no caller to respond to.
        const UpstreamFailureKind kind = result.failure->kind;
        this->retryable = kind != UpstreamFailureKind::NoPath && kind != UpstreamFailureKind::RejectedBeforeSend
            && kind != UpstreamFailureKind::ResponseTooLarge && kind != UpstreamFailureKind::CallerDisconnected;
        return;
    }
    if (provesNotRun(*result.response, notRunHeader)) {
        this->provenNotRun = true;
        this->outcomeOfTry = result.response->status == wrongInstanceStatus ? TryOutcome::WrongInstance : TryOutcome::Shed;
        this->refusalCode = RefusalCode::Overloaded;
        return;
    }
    const int status = result.response->status;
    if (impliesNotRun(status)) {
        // The caller would take this status as a statement that the request wasn't run. Without the not-run header that isn't proven, so the caller gets
        // a 502 instead.
        this->outcomeOfTry = TryOutcome::ServerError;
        this->refusalCode = RefusalCode::UpstreamFailed;
        return;
    }
    this->forwardable = true;
    this->retryable = status == 500 || status == 502 || status == 503 || status == 504;
    this->outcomeOfTry = status >= 500 ? TryOutcome::ServerError : TryOutcome::Answered;
}

bool TryClassification::isForwardable() const
{
    return this->forwardable;
}

bool TryClassification::isProvenNotRun() const
{
    return this->provenNotRun;
}

bool TryClassification::allowsRetry(bool idempotent, int retriesSoFar) const
{
    return this->retryable && retriesSoFar < maximumRetries && (this->provenNotRun || idempotent);
}

TryOutcome TryClassification::outcome() const
{
    return this->outcomeOfTry;
}

CapacitySignal TryClassification::capacitySignal() const
{
    switch (this->outcomeOfTry) {
    case TryOutcome::Answered:
    case TryOutcome::ServerError:
        return CapacitySignal::Answered;
    case TryOutcome::Shed:
    case TryOutcome::TimedOut:
        return CapacitySignal::Overload;
    default:
        return CapacitySignal::Neutral;
    }
}

Refusal TryClassification::refusal(bool provenNotRun) const
{
    if (this->refusalCode == RefusalCode::InstanceUnreachable && !provenNotRun) {
        // The status of this code would promise that the request wasn't run.
        return Refusal{RefusalCode::UpstreamFailed, RequestOutcome::Unknown};
    }
    const bool mayComeBack = this->refusalCode == RefusalCode::Overloaded || this->refusalCode == RefusalCode::InstanceUnreachable;
    return Refusal{
        this->refusalCode, provenNotRun ? RequestOutcome::NotRun : RequestOutcome::Unknown, mayComeBack ? refusalRetryAfter : std::chrono::milliseconds(0)};
}

} // namespace Hyssophall
