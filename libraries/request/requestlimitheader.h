#pragma once

#include "connection/httpmessage.h"

#include <optional>
#include <string>

namespace Hyssophall {

/// What a response says about the limit on requests that its instance names while it is in need.
class RequestLimitHeader
{
public:
    /// Reads the header @p name, a decimal number of requests per second. With an empty name, no limit is read.
    RequestLimitHeader(const HttpResponse &response, const std::string &name);

    /// False if the header has no valid value, which says nothing about the limit.
    bool isValid() const;

    /// Requests per second over all VMs together; nothing if the response names no limit.
    std::optional<double> requestsPerSecond() const;

private:
    bool valid = true;
    std::optional<double> limit;
};

} // namespace Hyssophall
