#include "connection/headerfilter.h"

#include <array>
#include <set>
#include <string_view>

namespace Hyssophall {

namespace {

constexpr std::string_view fleetPrefix = "Hyssophall-";

constexpr std::array<std::string_view, 11> hopByHopNames{"Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Expect",
    "Content-Length"};

// Request headers that aren't forwarded because the fleet sets them for each try itself or because upstreams must not see them.
std::vector<std::string_view> removedRequestNames(const HeaderNames &names)
{
    std::vector<std::string_view> all{"X-Request-Id", "traceparent", names.key, names.deadline, names.team, names.targetInstance};
    if (names.readsBearer()) {
        // With bearer keys the caller's Host header isn't forwarded either: libcurl sets Host to the address of the instance.
        all.insert(all.end(), {"Authorization", "Host"});
    }
    return all;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// The names listed in the Connection header. These headers are hop-by-hop as well.
std::vector<std::string_view> namesInConnection(const HttpHeaders &headers)
{
    std::vector<std::string_view> names;
    for (const HttpHeader &header : headers) {
        if (!isSameHeaderName(header.name, "Connection")) {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const std::size_t comma = rest.find(',');
            names.push_back(trimmed(rest.substr(0, comma)));
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    return names;
}

template<typename Names>
bool contains(const Names &names, std::string_view name)
{
    for (std::string_view candidate : names) {
        if (isSameHeaderName(candidate, name)) {
            return true;
        }
    }
    return false;
}

template<typename Names>
HttpHeaders filtered(const HttpHeaders &headers, const Names &removedNames)
{
    const std::vector<std::string_view> connectionNames = namesInConnection(headers);
    HttpHeaders kept;
    for (const HttpHeader &header : headers) {
        const std::string_view name = header.name;
        const bool isFleetHeader = name.size() >= fleetPrefix.size() && isSameHeaderName(name.substr(0, fleetPrefix.size()), fleetPrefix);
        if (!isFleetHeader && !contains(hopByHopNames, name) && !contains(removedNames, name) && !contains(connectionNames, name)) {
            kept.push_back(header);
        }
    }
    return kept;
}

} // namespace

HttpHeaders forwardedRequestHeaders(const HttpHeaders &headers, const HeaderNames &names)
{
    return filtered(headers, removedRequestNames(names));
}

HttpHeaders forwardedResponseHeaders(const HttpHeaders &headers)
{
    return filtered(headers, std::array<std::string_view, 1>{"X-Request-Id"});
}

} // namespace Hyssophall
