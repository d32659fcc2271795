#pragma once

#include "process/administration/hooks.h"
#include "process/administration/httpmessage.h"

#include <boost/leaf/result.hpp>

namespace Hyssophall::Administration {

/// POST /v1/announce by upstream instances, with the token of their service.
class AnnounceEndpoint
{
public:
    /// The hooks outlive the endpoint.
    explicit AnnounceEndpoint(const Hooks &hooks);

    /// The body has the fields of Instance without "sequence", and "lease_milliseconds". Errors: InvalidChange.
    boost::leaf::result<HttpResponse> announce(const HttpRequest &request) const;

private:
    const Hooks &hooks;
};

} // namespace Hyssophall::Administration
