#include "request/instancenotice.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Hyssophall {

namespace {

/// Far above what an instance can take; a larger value isn't a limit.
constexpr double largestLimit = 1e6;
constexpr int unavailableStatus = 503;
/// A longer time is cut to this, so that a mistaken value doesn't keep the instance out of use for good.
constexpr std::chrono::hours longestBackoff{1};
/// In seconds; larger values are taken for mistakes.
constexpr double largestRetryAfter = 1e9;

/// A decimal number without sign, exponent or spaces that isn't above @p largest.
std::optional<double> parseDecimal(const std::string &text, double largest)
{
    double parsed = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, parsed, std::chars_format::fixed);
    const bool isValid = result.ec == std::errc() && result.ptr == end && std::isfinite(parsed) && parsed >= 0 && parsed <= largest;
    return isValid ? std::optional<double>(parsed) : std::nullopt;
}

const std::string *findNamed(const HttpResponse &response, const std::string &name)
{
    return name.empty() ? nullptr : findHeader(response.headers, name);
}

} // namespace

InstanceNotice::InstanceNotice(const HttpResponse &response, const HeaderNames &names)
{
    this->readLimit(response, names.requestLimit);
    this->readRetryAfter(response);
    const std::string *leavingValue = findNamed(response, names.leaving);
    this->leaving = leavingValue != nullptr && *leavingValue != "0" && *leavingValue != "false";
}

void InstanceNotice::readRetryAfter(const HttpResponse &response)
{
    const std::string *value = response.status == unavailableStatus ? findNamed(response, "Retry-After") : nullptr;
    if (value == nullptr) {
        return;
    }
    const std::optional<double> seconds = parseDecimal(*value, largestRetryAfter);
    this->retryAfterValid = seconds.has_value();
    if (seconds) {
        const std::chrono::duration<double> asked(*seconds);
        this->retryAfterTime = std::chrono::ceil<std::chrono::milliseconds>(std::min<std::chrono::duration<double>>(asked, longestBackoff));
    }
}

void InstanceNotice::readLimit(const HttpResponse &response, const std::string &name)
{
    const std::string *value = findNamed(response, name);
    if (value != nullptr) {
        this->limit = parseDecimal(*value, largestLimit);
        this->limitValid = this->limit.has_value();
    }
}

bool InstanceNotice::isLimitValid() const
{
    return this->limitValid;
}

std::optional<double> InstanceNotice::requestsPerSecond() const
{
    return this->limit;
}

bool InstanceNotice::isRetryAfterValid() const
{
    return this->retryAfterValid;
}

std::optional<std::chrono::milliseconds> InstanceNotice::retryAfter() const
{
    return this->retryAfterTime;
}

bool InstanceNotice::isLeaving() const
{
    return this->leaving;
}

} // namespace Hyssophall
