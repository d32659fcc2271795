#include "request/tracecontext.h"

#include <algorithm>
#include <string_view>

namespace Hyssophall {

namespace {

std::string hexadecimal(std::uint64_t number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t position = 0; position < text.size(); ++position) {
        text[text.size() - 1 - position] = digits[(number >> (4 * position)) & 15U];
    }
    return text;
}

bool isIdentifier(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isZero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

// Version 00 is exactly 55 characters: 00-<trace id>-<span id>-<flags>.
bool isTraceparent(std::string_view text)
{
    return text.size() == 55 && text.substr(0, 3) == "00-" && text[35] == '-' && text[52] == '-' && isIdentifier(text.substr(3, 32))
        && isIdentifier(text.substr(36, 16)) && isIdentifier(text.substr(53, 2)) && !isZero(text.substr(3, 32)) && !isZero(text.substr(36, 16));
}

} // namespace

TraceContext TraceContext::create(const std::string *traceparent, const RandomSource &random)
{
    TraceContext context;
    context.spanId = newSpanId(random);
    if (traceparent != nullptr && isTraceparent(*traceparent)) {
        context.traceId = traceparent->substr(3, 32);
        context.parentSpanId = traceparent->substr(36, 16);
        context.flags = traceparent->substr(53, 2);
    } else {
        context.traceId = newSpanId(random) + newSpanId(random);
    }
    return context;
}

bool TraceContext::isSampled() const
{
    // The sampled flag is the lowest bit, so it is set if the last digit is odd.
    return std::string_view("13579bdf").find(this->flags.back()) != std::string_view::npos;
}

std::string TraceContext::traceparent(const std::string &childSpanId) const
{
    return "00-" + this->traceId + "-" + childSpanId + "-" + this->flags;
}

std::string newSpanId(const RandomSource &random)
{
    return hexadecimal(std::max<std::uint64_t>(random(), 1));
}

} // namespace Hyssophall
