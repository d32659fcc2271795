#include "version/changevalidation.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace Hyssophall {

namespace {

using OptionalError = std::optional<InvalidChange>;

constexpr std::size_t maximumNameLength = 128;
// Higher than any practical limit, and small enough that sums of tokens stay exact in a double.
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

OptionalError checkName(const std::string &field, std::string_view name)
{
    if (isName(name)) {
        return std::nullopt;
    }
    return InvalidChange{field, "1 to 128 letters, digits, '.', '_' or '-'"};
}

OptionalError checkHash(const std::string &field, std::string_view hash)
{
    if (hash.size() == hashSize) {
        return std::nullopt;
    }
    return InvalidChange{field, "a SHA-256 hash of 32 bytes"};
}

OptionalError checkAmount(const std::string &field, double amount, double minimum, const char *expected)
{
    // Comparisons with NaN are false, so NaN is rejected.
    if (amount >= minimum && amount <= maximumAmount) {
        return std::nullopt;
    }
    return InvalidChange{field, expected};
}

/// Prefixes are compared with paths byte by byte. A prefix that could be written in another equivalent form (percent-encoded, with "." or
/// empty segments) is rejected, because it would miss paths in that form.
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
bool hasDuplicates(const Names &names)
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

OptionalError checkRouteLists(const CatalogueMessages::Route &route)
{
    if (!std::all_of(route.methods().begin(), route.methods().end(), isMethod) || hasDuplicates(route.methods())) {
        return InvalidChange{"route.methods", "distinct methods in upper case"};
    }
    if (!std::all_of(route.teams().begin(), route.teams().end(), isName) || hasDuplicates(route.teams())) {
        return InvalidChange{"route.teams", "distinct names of teams"};
    }
    if (route.open() && !route.teams().empty()) {
        return InvalidChange{"route.teams", "no teams for an open route, which runs without a key"};
    }
    return std::nullopt;
}

} // namespace

std::optional<InvalidChange> findInvalidField(const CatalogueMessages::Service &service)
{
    if (OptionalError error = checkName("service.name", service.name())) {
        return error;
    }
    if (OptionalError error = checkName("service.owner", service.owner())) {
        return error;
    }
    // Without a hash, no instance can announce itself for the service.
    if (!service.announce_token_hash().empty()) {
        if (OptionalError error = checkHash("service.announce_token_hash", service.announce_token_hash())) {
            return error;
        }
    }
    if (service.floor_per_mille() > 1000) {
        return InvalidChange{"service.floor_per_mille", "0 to 1000"};
    }
    return std::nullopt;
}

std::optional<InvalidChange> findInvalidField(const CatalogueMessages::Route &route)
{
    if (OptionalError error = checkName("route.name", route.name())) {
        return error;
    }
    if (OptionalError error = checkName("route.owner", route.owner())) {
        return error;
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

std::optional<InvalidChange> findInvalidField(const CatalogueMessages::Team &team)
{
    if (OptionalError error = checkName("team.name", team.name())) {
        return error;
    }
    if (OptionalError error = checkName("team.owner", team.owner())) {
        return error;
    }
    if (OptionalError error = checkAmount("team.rate", team.rate(), 0, "requests a second from 0 to 1e9")) {
        return error;
    }
    // A request takes one whole token, so a bucket that holds less than one would reject all requests.
    if (OptionalError error = checkAmount("team.burst", team.burst(), 1, "requests from 1 to 1e9")) {
        return error;
    }
    return checkAmount("team.weight", team.weight(), 1e-3, "a share from 0.001 to 1e9");
}

std::optional<InvalidChange> findInvalidField(const CatalogueMessages::Key &key)
{
    if (OptionalError error = checkName("key.id", key.id())) {
        return error;
    }
    if (OptionalError error = checkName("key.team", key.team())) {
        return error;
    }
    return checkHash("key.hash", key.hash());
}

std::optional<InvalidChange> findInvalidField(const CatalogueMessages::Member &member)
{
    if (OptionalError error = checkName("member.id", member.id())) {
        return error;
    }
    if (!isFleetAddress(member.fleet_address())) {
        return InvalidChange{"member.fleet_address", "host:port of the fleet port"};
    }
    return checkName("member.failure_domain", member.failure_domain());
}

} // namespace Hyssophall
