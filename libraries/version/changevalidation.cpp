#include "version/changevalidation.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace Hyssophall {

namespace {

using Fault = std::optional<InvalidChange>;

constexpr std::size_t maximumNameLength = 128;
// Above any real limit; keeps sums of tokens exact in a double.
constexpr double maximumAmount = 1e9;
constexpr std::uint32_t maximumTimeoutMilliseconds = 3600 * 1000;
constexpr std::size_t hashSize = std::tuple_size_v<KeyHash>;

bool isOneOf(char character, std::string_view allowed)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9')
        || allowed.find(character) != std::string_view::npos;
}

bool isName(std::string_view name)
{
    return !name.empty() && name.size() <= maximumNameLength && std::all_of(name.begin(), name.end(), [](char character) { return isOneOf(character, "._-"); });
}

Fault checkName(const std::string &field, std::string_view name)
{
    if (isName(name)) {
        return std::nullopt;
    }
    return InvalidChange{field, "1 to 128 letters, digits, '.', '_' or '-'"};
}

Fault checkHash(const std::string &field, std::string_view hash)
{
    if (hash.size() == hashSize) {
        return std::nullopt;
    }
    return InvalidChange{field, "a SHA-256 hash of 32 bytes"};
}

Fault checkAmount(const std::string &field, double amount, double minimum, const char *expected)
{
    // A NaN fails each comparison.
    if (amount >= minimum && amount <= maximumAmount) {
        return std::nullopt;
    }
    return InvalidChange{field, expected};
}

/// Prefixes are compared byte by byte with paths, so forms that a path can spell differently are refused.
bool isPathPrefix(std::string_view prefix)
{
    if (prefix.empty() || prefix.front() != '/' || prefix.size() > RouteIndex::maximumPrefixLength) {
        return false;
    }
    if (prefix == "/") {
        return true;
    }
    std::size_t start = 1;
    while (start <= prefix.size()) {
        const std::size_t end = std::min(prefix.find('/', start), prefix.size());
        const std::string_view segment = prefix.substr(start, end - start);
        const bool isPlain = std::all_of(segment.begin(), segment.end(), [](char character) { return isOneOf(character, "._-~!$&'()*+,;=:@"); });
        if (segment.empty() || segment == "." || segment == ".." || !isPlain) {
            return false;
        }
        start = end + 1;
    }
    return true;
}

bool isMethod(std::string_view method)
{
    return !method.empty() && method.size() <= 32
        && std::all_of(method.begin(), method.end(), [](char character) { return (character >= 'A' && character <= 'Z') || character == '-'; });
}

template<typename Names>
bool hasRepeated(const Names &names)
{
    const std::set<std::string> distinct(names.begin(), names.end());
    return distinct.size() != static_cast<std::size_t>(names.size());
}

bool isFleetAddress(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos || colon == 0 || colon > 64) {
        return false;
    }
    const std::string_view host = address.substr(0, colon);
    const std::string_view port = address.substr(colon + 1);
    unsigned number = 0;
    const std::from_chars_result parsed = std::from_chars(port.data(), port.data() + port.size(), number);
    const bool isPort = parsed.ec == std::errc() && parsed.ptr == port.data() + port.size() && number > 0 && number <= 65535;
    return isPort && std::all_of(host.begin(), host.end(), [](char character) { return isOneOf(character, ".:[]-"); });
}

Fault checkRouteLists(const CatalogueMessages::Route &route)
{
    if (!std::all_of(route.methods().begin(), route.methods().end(), isMethod) || hasRepeated(route.methods())) {
        return InvalidChange{"route.methods", "distinct methods in upper case"};
    }
    if (!std::all_of(route.teams().begin(), route.teams().end(), isName) || hasRepeated(route.teams())) {
        return InvalidChange{"route.teams", "distinct names of teams"};
    }
    if (route.open() && !route.teams().empty()) {
        return InvalidChange{"route.teams", "no teams for an open route, which runs without a key"};
    }
    return std::nullopt;
}

} // namespace

std::optional<InvalidChange> findFault(const CatalogueMessages::Service &service)
{
    if (Fault fault = checkName("service.name", service.name())) {
        return fault;
    }
    if (Fault fault = checkName("service.owner", service.owner())) {
        return fault;
    }
    // Without a hash, no instance can announce itself for the service.
    if (!service.announce_token_hash().empty()) {
        if (Fault fault = checkHash("service.announce_token_hash", service.announce_token_hash())) {
            return fault;
        }
    }
    if (service.floor_per_mille() > 1000) {
        return InvalidChange{"service.floor_per_mille", "0 to 1000"};
    }
    return std::nullopt;
}

std::optional<InvalidChange> findFault(const CatalogueMessages::Route &route)
{
    if (Fault fault = checkName("route.name", route.name())) {
        return fault;
    }
    if (Fault fault = checkName("route.owner", route.owner())) {
        return fault;
    }
    if (!isPathPrefix(route.path_prefix())) {
        return InvalidChange{
            "route.path_prefix", "'/', or segments that each start with '/', of at most 512 characters without '%', '?', '#', '.' or '..' segments"};
    }
    if (route.route_class() != CatalogueMessages::ROUTE_CLASS_IDEMPOTENT && route.route_class() != CatalogueMessages::ROUTE_CLASS_NON_IDEMPOTENT) {
        return InvalidChange{"route.route_class", "idempotent or non_idempotent"};
    }
    if (!route.host().empty() || !route.shares().empty()) {
        return InvalidChange{"route.host", "neither a host nor shares, which only whole configurations have"};
    }
    if (route.timeout_milliseconds() > maximumTimeoutMilliseconds) {
        return InvalidChange{"route.timeout_milliseconds", "0 (the default) to 3600000"};
    }
    return checkRouteLists(route);
}

std::optional<InvalidChange> findFault(const CatalogueMessages::Team &team)
{
    if (Fault fault = checkName("team.name", team.name())) {
        return fault;
    }
    if (Fault fault = checkName("team.owner", team.owner())) {
        return fault;
    }
    if (Fault fault = checkAmount("team.rate", team.rate(), 0, "requests a second from 0 to 1e9")) {
        return fault;
    }
    // With less than one whole token, no request would ever run.
    if (Fault fault = checkAmount("team.burst", team.burst(), 1, "requests from 1 to 1e9")) {
        return fault;
    }
    return checkAmount("team.weight", team.weight(), 1e-3, "a share from 0.001 to 1e9");
}

std::optional<InvalidChange> findFault(const CatalogueMessages::Key &key)
{
    if (Fault fault = checkName("key.id", key.id())) {
        return fault;
    }
    if (Fault fault = checkName("key.team", key.team())) {
        return fault;
    }
    return checkHash("key.hash", key.hash());
}

std::optional<InvalidChange> findFault(const CatalogueMessages::Member &member)
{
    if (Fault fault = checkName("member.id", member.id())) {
        return fault;
    }
    if (!isFleetAddress(member.fleet_address())) {
        return InvalidChange{"member.fleet_address", "host:port of the fleet port"};
    }
    return checkName("member.failure_domain", member.failure_domain());
}

} // namespace Hyssophall
