#pragma once

#include "connection/httpmessage.h"
#include "request/headernames.h"

#include <chrono>
#include <optional>
#include <string>

namespace Hyssophall {

/// What an instance says about itself in a response.
class InstanceNotice
{
public:
    InstanceNotice(const HttpResponse &response, const HeaderNames &names);

    /// False if the header with the limit has no valid value, which says nothing about the limit.
    bool isLimitValid() const;

    /// The limit on requests that the instance names while it is in need, in requests per second over all VMs together; nothing if it names none.
    std::optional<double> requestsPerSecond() const;

    /// False if a rejection has a Retry-After without a valid value, which is then ignored. Dates aren't valid.
    bool isRetryAfterValid() const;

    /// The time for which an instance that rejects a request with status 503 wants no requests of this VM; nothing if it asks for none. At most an hour.
    std::optional<std::chrono::milliseconds> retryAfter() const;

    /// Whether the instance says that it is leaving.
    bool isLeaving() const;

private:
    void readRetryAfter(const HttpResponse &response);
    void readLimit(const HttpResponse &response, const std::string &name);

    bool limitValid = true;
    std::optional<double> limit;
    bool retryAfterValid = true;
    std::optional<std::chrono::milliseconds> retryAfterTime;
    bool leaving = false;
};

} // namespace Hyssophall
