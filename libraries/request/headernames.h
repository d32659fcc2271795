#pragma once

#include <string>

namespace Hyssophall {

/// Names of the headers that carry the fleet's own facts, towards callers and upstreams. Empty: the header isn't used.
struct HeaderNames {
    /// From callers: the key and nothing else. Besides, "Authorization: Bearer" is read when this is the default.
    std::string key = "X-Api-Key";
    /// From callers and to upstreams: the time left, in milliseconds.
    std::string deadline = "X-Request-Timeout-Ms";
    /// To upstreams: the team whose key came with the request.
    std::string team;
    /// To upstreams: the id of the instance that alone may run the request.
    std::string targetInstance;
    /// From upstreams: present when the request didn't run and never will.
    std::string notRun = "Hyssophall-Not-Run";
    /// Whether a caller's X-Request-Id goes on to upstreams in place of an id of the try.
    bool forwardsRequestId = false;

    bool readsBearer() const
    {
        return this->key == HeaderNames().key;
    }
};

} // namespace Hyssophall
