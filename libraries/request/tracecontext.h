#pragma once

#include "process/hooks.h"

#include <string>

namespace Hyssophall {

/// The position of a request in a distributed trace, as defined by W3C Trace Context.
struct TraceContext {
    /// 32 lower-case hexadecimal digits.
    std::string traceId;
    /// 16 lower-case hexadecimal digits; the span of this proxy.
    std::string spanId;
    /// Span of the sender; empty if the trace starts at this proxy.
    std::string parentSpanId;
    /// Two hexadecimal digits, forwarded unchanged.
    std::string flags = "01";

    /// Continues the trace of a traceparent header. Starts a new trace if there is no header (null) or if it is malformed.
    static TraceContext create(const std::string *traceparent, const RandomSource &random);

    /// Whether the caller's trace flags ask for spans to be recorded.
    bool isSampled() const;

    /// The traceparent header for a request sent in the span @p childSpanId.
    std::string traceparent(const std::string &childSpanId) const;
};

/// A new random span id: 16 hexadecimal digits, not all zero as W3C Trace Context forbids that.
std::string newSpanId(const RandomSource &random);

} // namespace Hyssophall
