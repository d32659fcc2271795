#pragma once

#include "process/fleet/servinglease.h"
#include "process/health/instancehealth.h"
#include "process/proxy/requestcontext.h"
#include "request/headernames.h"

#include <boost/leaf/result.hpp>

namespace Hyssophall {

/// Decides whether a request may run: form, route, key, team and poison. Thread-safe.
class Admission
{
public:
    struct Options {
        std::chrono::milliseconds defaultTimeout{10000};
        HeaderNames headers;
    };

    Admission(CatalogueLookupSource catalogue, const ServingLease &lease, const InstanceHealth &health, RandomSource random, Options options);

    const HeaderNames &headerNames() const;

    /// Fills in @p record as far as the request gets. Errors: Refusal.
    boost::leaf::result<RequestContext> admit(const CallerRequest &request, RequestRecord &record) const;

    /// Whether the key is still good in the catalogue in force and this VM may still serve. Errors: Refusal.
    boost::leaf::result<void> confirm(const RequestContext &context) const;

private:
    boost::leaf::result<void> authenticate(const CatalogueLookup &catalogue, RequestContext &context) const;

    const CatalogueLookupSource catalogue;
    const ServingLease &lease;
    const InstanceHealth &health;
    const RandomSource random;
    const Options options;
};

} // namespace Hyssophall
