#include "request/callerkey.h"

#include "process/keyhash.h"

namespace Hyssophall {

namespace {

std::string_view callerKey(const HttpHeaders &headers)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string *authorization = findHeader(headers, "Authorization");
    if (authorization != nullptr && isSameHeaderName(std::string_view(*authorization).substr(0, scheme.size()), scheme)) {
        return std::string_view(*authorization).substr(scheme.size());
    }
    const std::string *plain = findHeader(headers, "X-Api-Key");
    return plain == nullptr ? std::string_view() : std::string_view(*plain);
}

} // namespace

std::optional<KeyHash> callerKeyHash(const HttpHeaders &headers)
{
    const std::string_view key = callerKey(headers);
    return key.empty() ? std::nullopt : std::optional<KeyHash>(hashKey(key));
}

} // namespace Hyssophall
