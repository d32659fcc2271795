#pragma once

#include "process/administration/administrationserver.h"
#include "process/relay/entrynode.h"
#include "process/settings/settings.h"
#include "statusendpoint.h"
#include "vmparts.h"

#include <boost/leaf/result.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Hyssophall {

/// An entry VM's part in a relayed fleet.
class RelayParts : public VmParts
{
public:
    struct Hooks {
        std::function<std::string()> metricsText;
        /// Whether callers may be sent here as far as the process is concerned.
        std::function<bool()> isAcceptingCallers;
    };

    /// Connects to a relay and opens the administration port. Errors: Administration::ServerNotStarted.
    static boost::leaf::result<std::unique_ptr<RelayParts>> create(const Settings &settings, Hooks hooks);
    ~RelayParts() override;

    CatalogueLookupSource catalogue() override;
    ServingLease &servingLease() override;
    RateLimiter &rateLimiter() override;
    ClaimCoordinator &claims() override;
    CapacityQueue &capacity() override;
    InstanceHealth &health() override;
    RetryLimiter &retries() override;
    RequestObserver *observer() override;
    void addGauges(RequestMetrics &metrics) override;
    void awaitCatalogue(SteadyTime deadline) override;
    void leave() override;

private:
    class Lease;
    class NoClaims;
    class OpenCapacity;

    RelayParts(const Settings &settings, Hooks hooks);

    std::string unreadyReason() const;

    const Hooks hooks;
    std::unique_ptr<EntryNode> node;
    std::unique_ptr<Lease> lease;
    std::unique_ptr<NoClaims> noClaims;
    std::unique_ptr<OpenCapacity> openCapacity;
    std::unique_ptr<StatusEndpoint> status;
    std::unique_ptr<Administration::AdministrationServer> administration;
};

} // namespace Hyssophall
