#include "request/tryverdict.h"

namespace Hyssophall {

namespace {

constexpr int wrongInstanceStatus = 421;

/// Whether the status tells the caller that its request never ran, as this fleet's own refusals do.
bool promisesNotRun(int status)
{
    return status == 408 || status == wrongInstanceStatus || status == 429 || status == 503;
}

/// Whether the instance proves that it didn't run the request, and not because of the request itself.
bool isShed(const HttpAnswer &answer, const std::string &notRunHeader)
{
    const std::string *notRun = findHeader(answer.headers, notRunHeader);
    return promisesNotRun(answer.status) && (answer.status == wrongInstanceStatus || (notRun != nullptr && *notRun != "false"));
}

TryOutcome failedOutcome(const UpstreamFailure &failure)
{
    switch (failure.kind) {
    case UpstreamFailureKind::ConnectFailed:
        return TryOutcome::ConnectFailed;
    case UpstreamFailureKind::Withheld:
    case UpstreamFailureKind::Abandoned:
        return TryOutcome::Neutral;
    case UpstreamFailureKind::TimedOut:
        return failure.silentConnection || !failure.mayHaveSent ? TryOutcome::Neutral : TryOutcome::TimedOut;
    case UpstreamFailureKind::ConnectionLost:
        return TryOutcome::ConnectionLost;
    case UpstreamFailureKind::AnswerIncomplete:
    case UpstreamFailureKind::AnswerTooLarge:
    case UpstreamFailureKind::AnswerCrossed:
        return TryOutcome::AnswerIncomplete;
    }
    return TryOutcome::Neutral;
}

RefusalCode failedCode(UpstreamFailureKind kind)
{
    switch (kind) {
    case UpstreamFailureKind::TimedOut:
        return RefusalCode::DeadlineExceeded;
    case UpstreamFailureKind::AnswerIncomplete:
    case UpstreamFailureKind::AnswerTooLarge:
    case UpstreamFailureKind::AnswerCrossed:
        return RefusalCode::AnswerIncomplete;
    default:
        return RefusalCode::UpstreamFailed;
    }
}

} // namespace

TryVerdict::TryVerdict(const UpstreamResult &result, const std::string &notRunHeader)
{
    if (result.failure) {
        this->provenNotRun = !result.failure->mayHaveSent;
        this->tryOutcome = failedOutcome(*result.failure);
        this->refusalCode = failedCode(result.failure->kind);
        // Another try would be withheld, too, or get as large an answer, or have nobody to answer.
        const UpstreamFailureKind kind = result.failure->kind;
        this->worthRetry = kind != UpstreamFailureKind::Withheld && kind != UpstreamFailureKind::AnswerTooLarge && kind != UpstreamFailureKind::Abandoned;
        return;
    }
    if (isShed(*result.answer, notRunHeader)) {
        this->provenNotRun = true;
        this->tryOutcome = result.answer->status == wrongInstanceStatus ? TryOutcome::WrongInstance : TryOutcome::Shed;
        this->refusalCode = RefusalCode::Overloaded;
        return;
    }
    const int status = result.answer->status;
    if (promisesNotRun(status)) {
        // Without the proof, the status alone would promise the caller too much.
        this->tryOutcome = TryOutcome::ServerError;
        this->refusalCode = RefusalCode::UpstreamFailed;
        return;
    }
    this->answered = true;
    this->worthRetry = status == 500 || status == 502 || status == 503 || status == 504;
    this->tryOutcome = status >= 500 ? TryOutcome::ServerError : TryOutcome::Answered;
}

bool TryVerdict::isAnswer() const
{
    return this->answered;
}

bool TryVerdict::isProvenNotRun() const
{
    return this->provenNotRun;
}

bool TryVerdict::mayRetry(bool idempotent, int retriesSoFar) const
{
    return this->worthRetry && retriesSoFar < maximumRetries && (this->provenNotRun || idempotent);
}

TryOutcome TryVerdict::outcome() const
{
    return this->tryOutcome;
}

CapacitySignal TryVerdict::capacitySignal() const
{
    switch (this->tryOutcome) {
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

Refusal TryVerdict::refusal(bool provenNotRun) const
{
    const std::chrono::milliseconds retryAfter(this->refusalCode == RefusalCode::Overloaded ? 1000 : 0);
    return Refusal{this->refusalCode, provenNotRun ? RequestOutcome::NotRun : RequestOutcome::Unknown, retryAfter};
}

} // namespace Hyssophall
