#pragma once

#include <string>

namespace Hyssophall {

/// Names of the headers that the fleet evaluates itself or adds to requests. A header with an empty name isn't used.
struct HeaderNames {
    /// From callers: the API key without a scheme. While this has its default value, "Authorization: Bearer <key>" is accepted as well and comes first.
    std::string key = "X-Api-Key";
    /// From callers and to upstreams: the time until the request's deadline, in milliseconds.
    std::string deadline = "X-Request-Timeout-Ms";
    /// To upstreams: the name of the team that the request's key belongs to.
    std::string team;
    /// To upstreams: the id of the instance that the request is meant for. Any other instance at that address must reject the request.
    std::string targetInstance;
    /// From upstreams: present, with a value other than "false", if the request wasn't run and won't be run later.
    std::string notRun = "Hyssophall-Not-Run";
    /// From upstreams: the number of requests per second that the instance takes from all VMs together, while it names one.
    std::string requestLimit = "Hyssophall-Request-Limit";
    /// From upstreams: present, with a value other than "0" or "false", in each response of an instance that is leaving.
    std::string leaving = "Hyssophall-Leaving";
    /// True: the caller's X-Request-Id is forwarded to upstreams. False: each try is sent with an id of its own.
    bool forwardsRequestId = false;

    /// Whether keys are also accepted as "Authorization: Bearer <key>".
    bool readsBearer() const
    {
        return this->key == HeaderNames().key;
    }
};

} // namespace Hyssophall
