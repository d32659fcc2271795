#include "process/fleet/cataloguesource.h"

namespace Hyssophall {

FleetMessages::FetchCatalogueReply CatalogueSource::replyTo(const FleetMessages::FetchCatalogueRequest &request) const
{
    FleetMessages::FetchCatalogueReply reply;
    if (request.from_version() >= this->version()) {
        return reply;
    }
    const std::optional<std::vector<CatalogueMessages::VersionedChange>> changes = this->changesSince(request.from_version());
    if (request.from_version() == 0 || !changes) {
        *reply.mutable_snapshot() = this->snapshot();
        return reply;
    }
    reply.mutable_changes()->Assign(changes->begin(), changes->end());
    return reply;
}

} // namespace Hyssophall
