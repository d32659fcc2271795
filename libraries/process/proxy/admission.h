#pragma once

#include "process/fleet/servinglease.h"
#include "process/health/instancehealth.h"
#include "process/proxy/requestcontext.h"
#include "request/headernames.h"

#include <boost/leaf/result.hpp>

namespace Hyssophall {

/// Decides whether a caller's request is admitted: checks its syntax, looks up its route, authenticates its key, checks that the team may use the route
/// and refuses poison requests (requests known to crash instances). Thread-safe.
class Admission
{
public:
    struct Options {
        /// Time limit of a request whose route and caller set none.
        std::chrono::milliseconds defaultTimeout{10000};
        HeaderNames headers;
    };

    Admission(CatalogueLookupSource catalogue, const ServingLease &lease, const InstanceHealth &health, RandomSource random, Options options);

    const HeaderNames &headerNames() const;

    /// Checks a request before any resource is acquired for it. Sets the fields of @p record that are known by the time the checks end, also for a
    /// refused request. Errors: Refusal.
    boost::leaf::result<RequestContext> admit(const CallerRequest &request, RequestRecord &record) const;

    /// Checks again, right before a request is sent, that its key is still valid in the current catalogue and that this VM still holds its serving
    /// lease. Requests on open routes always pass. Errors: Refusal.
    boost::leaf::result<void> revalidate(const RequestContext &context) const;

private:
    boost::leaf::result<void> authenticate(const CatalogueLookup &catalogue, RequestContext &context) const;
    /// The refusal with @p code, which tells the caller not to send its request again. While this VM's catalogue may be out of date, a refusal that lets
    /// the caller try again.
    boost::leaf::error_id deny(RefusalCode code) const;

    const CatalogueLookupSource catalogue;
    const ServingLease &lease;
    const InstanceHealth &health;
    const RandomSource random;
    const Options options;
};

} // namespace Hyssophall
