#pragma once

#include "process/administration/hooks.h"
#include "process/administration/httpmessage.h"

#include <boost/leaf/result.hpp>

namespace Hyssophall::Administration {

/// POST /v1/announce: upstream instances announce themselves with the token of their service.
class AnnounceEndpoint
{
public:
    /// The hooks must outlive the endpoint.
    explicit AnnounceEndpoint(const Hooks &hooks);

    /// The body has the fields of Instance except "sequence", and optionally "lease_milliseconds" (1000 to 60000, 10000 by default).
    /// Errors: InvalidChange.
    boost::leaf::result<HttpResponse> announce(const HttpRequest &request) const;

private:
    const Hooks &hooks;
};

} // namespace Hyssophall::Administration
