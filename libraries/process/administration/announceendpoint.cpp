#include "process/administration/announceendpoint.h"

#include "process/administration/responses.h"
#include "process/keyhash.h"
#include "version/cataloguejson.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace Hyssophall::Administration {

namespace leaf = boost::leaf;

using nlohmann::json;

namespace {

using hyssophall::fleet::v1::AnnounceRequest;
using hyssophall::fleet::v1::Instance;

constexpr std::uint32_t defaultLeaseMilliseconds = 10000;
constexpr std::uint32_t minimumLeaseMilliseconds = 1000;
constexpr std::uint32_t maximumLeaseMilliseconds = 60000;
constexpr std::size_t maximumTextLength = 128;

leaf::result<void> checkTexts(const Instance &instance)
{
    const std::array<std::pair<const char *, const std::string *>, 4> texts{{
        {"id", &instance.id()},
        {"service", &instance.service()},
        {"host", &instance.host()},
        {"failure_domain", &instance.failure_domain()},
    }};
    for (const std::pair<const char *, const std::string *> &text : texts) {
        if (text.second->empty() || text.second->size() > maximumTextLength) {
            return leaf::new_error(InvalidChange{std::string("instance.") + text.first, "1 to 128 characters"});
        }
    }
    return {};
}

leaf::result<void> checkNumbers(const Instance &instance)
{
    if (instance.port() == 0 || instance.port() > 65535) {
        return leaf::new_error(InvalidChange{"instance.port", "1 to 65535"});
    }
    if (instance.incarnation() == 0) {
        return leaf::new_error(InvalidChange{"instance.incarnation", "a number above 0 that grows at each start"});
    }
    if (instance.sequence() != 0) {
        return leaf::new_error(InvalidChange{"instance.sequence", "no value; the registrar sets it"});
    }
    const hyssophall::fleet::v1::InstanceState state = instance.state();
    if (state == hyssophall::fleet::v1::INSTANCE_STATE_UNSPECIFIED || state == hyssophall::fleet::v1::INSTANCE_STATE_EXPIRED) {
        return leaf::new_error(InvalidChange{"instance.state", "starting, ready or leaving"});
    }
    return {};
}

/// Returns "lease_milliseconds" and removes it, as it isn't a field of Instance.
leaf::result<std::uint32_t> extractLease(json &object)
{
    if (!object.is_object() || !object.contains("lease_milliseconds")) {
        return defaultLeaseMilliseconds;
    }
    const json value = object["lease_milliseconds"];
    object.erase("lease_milliseconds");
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() < minimumLeaseMilliseconds || value.get<std::uint64_t>() > maximumLeaseMilliseconds) {
        return leaf::new_error(InvalidChange{"lease_milliseconds", "1000 to 60000"});
    }
    return value.get<std::uint32_t>();
}

leaf::result<AnnounceRequest> readAnnouncement(const std::string &body)
{
    AnnounceRequest announcement;
    BOOST_LEAF_AUTO(object, parseJson(body));
    BOOST_LEAF_AUTO(lease, extractLease(object));
    announcement.set_lease_milliseconds(lease);
    BOOST_LEAF_CHECK(entryFromJson(object, "instance", *announcement.mutable_instance()));
    BOOST_LEAF_CHECK(checkTexts(announcement.instance()));
    BOOST_LEAF_CHECK(checkNumbers(announcement.instance()));
    return announcement;
}

} // namespace

AnnounceEndpoint::AnnounceEndpoint(const Hooks &hooks)
    : hooks(hooks)
{
}

leaf::result<HttpResponse> AnnounceEndpoint::announce(const HttpRequest &request) const
{
    BOOST_LEAF_AUTO(announcement, readAnnouncement(request.body));
    const std::shared_ptr<const CatalogueMessages::Service> service = this->hooks.store->current()->findService(announcement.instance().service());
    // An unknown service and a wrong token get the same response, so that services' names can't be found by trying.
    if (service == nullptr || !hasHash(request.bearer, service->announce_token_hash())) {
        return errorResponse(401, "token_unknown", "the token doesn't belong to the service");
    }
    if (!this->hooks.announce(announcement)) {
        return errorResponse(503, "registrar_unavailable", "no registrar took the announcement; repeat it");
    }
    return jsonResponse(200, {{"accepted", true}});
}

} // namespace Hyssophall::Administration
