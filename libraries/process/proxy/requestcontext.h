#pragma once

#include "process/proxy/cataloguelookup.h"
#include "request/callermessage.h"
#include "request/requestrecord.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Hyssophall {

/// An admitted request with the route, team and limits that apply to it. Exists until the request has its response.
struct RequestContext {
    const CallerRequest *request = nullptr;
    std::shared_ptr<const CatalogueMessages::Route> route;
    /// Null on an open route, which needs no key.
    std::shared_ptr<const CatalogueMessages::Team> team;
    /// Empty on an open route.
    std::optional<KeyHash> keyHash;
    SteadyTime deadline;
    /// Identifies equal requests, see requestFingerprint().
    std::uint64_t fingerprint = 0;
    /// The route's service, or the one that was chosen for this request if the route splits its traffic among several.
    std::string service;

    bool isIdempotent() const
    {
        return this->route->route_class() == CatalogueMessages::ROUTE_CLASS_IDEMPOTENT;
    }

    /// Empty on an open route.
    std::string teamName() const
    {
        return this->team == nullptr ? std::string() : this->team->name();
    }
};

} // namespace Hyssophall
