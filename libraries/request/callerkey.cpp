#include "request/callerkey.h"

#include "process/keyhash.h"

namespace Hyssophall {

namespace {

std::string_view callerKey(const HttpHeaders &headers, const HeaderNames &names)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string *authorization = names.readsBearer() ? findHeader(headers, "Authorization") : nullptr;
    if (authorization != nullptr && isSameHeaderName(std::string_view(*authorization).substr(0, scheme.size()), scheme)) {
        return std::string_view(*authorization).substr(scheme.size());
    }
    const std::string *plain = findHeader(headers, names.key);
    return plain == nullptr ? std::string_view() : std::string_view(*plain);
}

} // namespace

std::optional<KeyHash> callerKeyHash(const HttpHeaders &headers, const HeaderNames &names)
{
    const std::string_view key = callerKey(headers, names);
    return key.empty() ? std::nullopt : std::optional<KeyHash>(hashKey(key));
}

} // namespace Hyssophall
