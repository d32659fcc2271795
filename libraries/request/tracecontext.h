#pragma once

#include "process/hooks.h"

#include <string>

namespace Hyssophall {

/// The place of a request in a distributed trace, in the terms of W3C Trace Context.
struct TraceContext {
    /// 32 lower-case hexadecimal digits.
    std::string traceId;
    /// 16 digits; the span of this hop.
    std::string spanId;
    /// Empty: this hop starts the trace.
    std::string parentSpanId;
    /// Two hexadecimal digits, passed on unchanged.
    std::string flags = "01";

    /// Continues the trace of a traceparent header (null without one), or starts a new one when it is malformed.
    static TraceContext create(const std::string *traceparent, const RandomSource &random);

    /// Whether the caller wants spans to be recorded.
    bool isSampled() const;

    /// The traceparent header for a request sent in the span @p childSpanId.
    std::string traceparent(const std::string &childSpanId) const;
};

/// A new span identifier: 16 hexadecimal digits, not all zero.
std::string newSpanId(const RandomSource &random);

} // namespace Hyssophall
