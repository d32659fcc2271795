#include "process/proxy/admission.h"

#include "request/callerkey.h"
#include "request/fingerprint.h"
#include "request/requestdeadline.h"
#include "request/requesttarget.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

boost::leaf::error_id refuse(RefusalCode code, std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0))
{
    return boost::leaf::new_error(Refusal{code, RequestOutcome::NotRun, retryAfter});
}

bool isForwardableMethod(const std::string &method)
{
    // CONNECT addresses the proxy itself and TRACE would echo the headers; neither is forwarded by a gateway.
    return !method.empty() && method != "CONNECT" && method != "TRACE"
        && std::all_of(method.begin(), method.end(), [](char byte) { return byte >= 'A' && byte <= 'Z'; });
}

// Retry-After while the VM has no catalogue. A VM that has just started usually receives its first catalogue within this time.
constexpr std::chrono::milliseconds catalogueRetryAfter{500};
// Retry-After while a newer catalogue may be in force than the VM's. A VM that loses its relay reaches another one within this time.
constexpr std::chrono::milliseconds outdatedRetryAfter{1000};

/// Host header without its port. An IPv6 number is in brackets, so a colon before the closing bracket starts no port.
std::string_view hostName(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    return colon == std::string_view::npos || host.find(']', colon) != std::string_view::npos ? host : host.substr(0, colon);
}

/// Chooses one of the services among which the route splits its traffic, in proportion to their weights. @p random: 64 uniformly distributed bits.
std::string chooseService(const CatalogueMessages::Route &route, std::uint64_t random)
{
    double total = 0;
    for (const CatalogueMessages::ServiceShare &share : route.shares()) {
        total += share.weight();
    }
    if (total <= 0) {
        return route.shares().empty() ? route.service() : route.shares(0).service();
    }
    double left = total * (static_cast<double>(random >> 11U) / 9007199254740992.0);
    for (const CatalogueMessages::ServiceShare &share : route.shares()) {
        left -= share.weight();
        if (left < 0) {
            return share.service();
        }
    }
    return route.shares(route.shares_size() - 1).service();
}

bool isTeamAllowed(const CatalogueMessages::Route &route, const std::string &team)
{
    return route.teams().empty() || std::find(route.teams().begin(), route.teams().end(), team) != route.teams().end();
}

} // namespace

Admission::Admission(CatalogueLookupSource catalogue, const ServingLease &lease, const InstanceHealth &health, RandomSource random, Options options)
    : catalogue(std::move(catalogue))
    , lease(lease)
    , health(health)
    , random(std::move(random))
    , options(std::move(options))
{
}

const HeaderNames &Admission::headerNames() const
{
    return this->options.headers;
}

boost::leaf::result<RequestContext> Admission::admit(const CallerRequest &request, RequestRecord &record) const
{
    const HttpHeaders &headers = request.http.headers;
    if (!isForwardableMethod(request.http.method) || !isPlainTarget(request.http.target) || !std::all_of(headers.begin(), headers.end(), isPlainHeader)) {
        return refuse(RefusalCode::MalformedRequest);
    }
    const std::shared_ptr<const CatalogueLookup> currentCatalogue = this->catalogue();
    RequestContext context;
    context.request = &request;
    if (!currentCatalogue->isLoaded()) {
        return refuse(RefusalCode::VmIsolated, catalogueRetryAfter);
    }
    record.catalogueVersion = currentCatalogue->version();
    const std::string *host = findHeader(headers, "Host");
    context.route = currentCatalogue->findRoute(host == nullptr ? std::string_view() : hostName(*host), request.http.method, targetPath(request.http.target));
    if (context.route == nullptr) {
        return this->deny(RefusalCode::RouteUnknown);
    }
    context.service = chooseService(*context.route, this->random());
    record.route = context.route->name();
    record.service = context.service;
    const std::chrono::milliseconds routeTimeout(context.route->timeout_milliseconds());
    const std::optional<std::chrono::milliseconds> timeout
        = requestTimeout(headers, this->options.headers.deadline, routeTimeout.count() > 0 ? routeTimeout : this->options.defaultTimeout);
    if (!timeout) {
        return refuse(RefusalCode::MalformedRequest);
    }
    // A caller can shorten the time limit of its route but not extend it.
    context.deadline = request.arrival + (routeTimeout.count() > 0 ? std::min(*timeout, routeTimeout) : *timeout);
    record.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(context.deadline - request.arrival);
    if (!context.route->open()) {
        boost::leaf::result<void> authenticated = this->authenticate(*currentCatalogue, context);
        if (!authenticated) {
            return authenticated.error();
        }
        record.team = context.teamName();
    }
    context.fingerprint = requestFingerprint(record.team, record.route, request.http);
    if (this->health.isPoison(context.fingerprint)) {
        record.poisonDetails = this->health.describePoison(context.fingerprint);
        return refuse(RefusalCode::PoisonRequest);
    }
    if (const std::optional<std::chrono::milliseconds> remaining = this->health.poisonSuspicion(context.fingerprint)) {
        record.poisonDetails = this->health.describePoison(context.fingerprint);
        return refuse(RefusalCode::NoInstance, *remaining);
    }
    return context;
}

boost::leaf::result<void> Admission::revalidate(const RequestContext &context) const
{
    if (!context.keyHash) {
        return {};
    }
    if (!this->lease.isHeld()) {
        return refuse(RefusalCode::VmIsolated, std::chrono::seconds(1));
    }
    const std::shared_ptr<const CatalogueMessages::Key> key = this->catalogue()->findKey(*context.keyHash);
    if (key == nullptr || key->team() != context.teamName()) {
        return refuse(RefusalCode::KeyUnknown);
    }
    return {};
}

boost::leaf::result<void> Admission::authenticate(const CatalogueLookup &currentCatalogue, RequestContext &context) const
{
    context.keyHash = callerKeyHash(context.request->http.headers, this->options.headers);
    if (!context.keyHash) {
        return this->deny(RefusalCode::KeyMissing);
    }
    // Without the serving lease the catalogue may be out of date: a key that it contains may have been withdrawn, and a key that it lacks may have been
    // created since. So neither result can be relied on.
    if (!this->lease.isHeld()) {
        return refuse(RefusalCode::VmIsolated, std::chrono::seconds(1));
    }
    const std::shared_ptr<const CatalogueMessages::Key> key = currentCatalogue.findKey(*context.keyHash);
    context.team = key == nullptr ? nullptr : currentCatalogue.findTeam(key->team());
    if (context.team == nullptr) {
        return this->deny(RefusalCode::KeyUnknown);
    }
    if (!isTeamAllowed(*context.route, context.team->name())) {
        return this->deny(RefusalCode::RouteForbidden);
    }
    return {};
}

boost::leaf::error_id Admission::deny(RefusalCode code) const
{
    return this->lease.isCatalogueCurrent() ? refuse(code) : refuse(RefusalCode::VmIsolated, outdatedRetryAfter);
}

} // namespace Hyssophall
