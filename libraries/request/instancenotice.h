#pragma once

#include "connection/httpmessage.h"
#include "request/headernames.h"

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

private:
    void readLimit(const HttpResponse &response, const std::string &name);

    bool limitValid = true;
    std::optional<double> limit;
};

} // namespace Hyssophall
