#pragma once

#include "process/proxy/cataloguelookup.h"
#include "request/callermessage.h"
#include "request/requestrecord.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Hyssophall {

/// What is known of a request once it was admitted. Lives as long as the request.
struct RequestContext {
    const CallerRequest *request = nullptr;
    std::shared_ptr<const CatalogueMessages::Route> route;
    /// Null on an open route.
    std::shared_ptr<const CatalogueMessages::Team> team;
    std::optional<KeyHash> keyHash;
    SteadyTime deadline;
    std::uint64_t fingerprint = 0;
    /// The route's service, or the one that its shares gave for this request.
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
