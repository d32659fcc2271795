#include "request/requestlimitheader.h"

#include <charconv>
#include <cmath>

namespace Hyssophall {

namespace {

/// Far above what an instance can take; a larger value isn't a limit.
constexpr double largestLimit = 1e6;

} // namespace

RequestLimitHeader::RequestLimitHeader(const HttpResponse &response, const std::string &name)
{
    const std::string *value = name.empty() ? nullptr : findHeader(response.headers, name);
    if (value == nullptr) {
        return;
    }
    double parsed = 0;
    const char *end = value->data() + value->size();
    const std::from_chars_result result = std::from_chars(value->data(), end, parsed, std::chars_format::fixed);
    this->valid = result.ec == std::errc() && result.ptr == end && std::isfinite(parsed) && parsed >= 0 && parsed <= largestLimit;
    if (this->valid) {
        this->limit = parsed;
    }
}

bool RequestLimitHeader::isValid() const
{
    return this->valid;
}

std::optional<double> RequestLimitHeader::requestsPerSecond() const
{
    return this->limit;
}

} // namespace Hyssophall
