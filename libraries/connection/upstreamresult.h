#pragma once

#include "connection/httpmessage.h"

#include <chrono>
#include <optional>

namespace Hyssophall {

enum class UpstreamFailureKind {
    ConnectFailed,
    /// The caller's last check before sending refused.
    Withheld,
    /// The caller went away while the request was in flight.
    Abandoned,
    TimedOut,
    /// Closed or reset before an answer began.
    ConnectionLost,
    /// The answer ended before its length or last chunk, or gave neither.
    AnswerIncomplete,
    AnswerTooLarge,
    /// The answer names another request.
    AnswerCrossed,
};

/// Why a try on an upstream gave no whole answer.
struct UpstreamFailure {
    UpstreamFailureKind kind = UpstreamFailureKind::ConnectFailed;
    /// False only when not a byte of the request was sent.
    bool mayHaveSent = false;
    /// The connection was silent while a new one could be opened: says nothing about the instance.
    bool silentConnection = false;
};

/// How one try on an upstream ended: exactly one of answer and failure is set.
struct UpstreamResult {
    std::optional<HttpAnswer> answer;
    std::optional<UpstreamFailure> failure;
    bool reusedConnection = false;
    std::chrono::microseconds latency{0};
};

} // namespace Hyssophall
