#include "request/fingerprint.h"

#include "connection/httpmessage.h"

#include <xxhash.h>

namespace Hyssophall {

std::uint64_t requestFingerprint(std::string_view team, std::string_view route, const HttpRequest &request)
{
    std::uint64_t hash = 0;
    // The hash of each part seeds that of the next one, so that moving bytes from one part to the next changes the result.
    for (const std::string_view part : {team, route, std::string_view(request.method), std::string_view(request.target), std::string_view(request.body)}) {
        hash = XXH64(part.data(), part.size(), hash ^ part.size());
    }
    return hash;
}

} // namespace Hyssophall
