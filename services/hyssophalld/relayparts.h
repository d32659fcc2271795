#pragma once

#include "process/administration/administrationserver.h"
#include "process/forwarding/forwardingnode.h"
#include "process/relay/entrynode.h"
#include "process/settings/settings.h"
#include "statusendpoint.h"
#include "vmparts.h"

#include <boost/leaf/result.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Hyssophall {

/// An entry VM's components in a fleet with relays.
class RelayParts : public VmParts
{
public:
    struct Hooks {
        std::function<std::string()> metricsText;
        /// False once the process is shutting down.
        std::function<bool()> isAcceptingCallers;
    };

    /// Starts to connect to a relay and opens the administration port and the fleet port. @p direct sends requests to instances and must outlive the
    /// parts. Errors: Administration::ServerNotStarted, EndpointFailure.
    static boost::leaf::result<std::unique_ptr<RelayParts>> create(const Settings &settings, UpstreamSender &direct, Hooks hooks);
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
    UpstreamSender &sender(UpstreamSender &direct) override;
    void beginDrain() override;
    bool waitUntilIdle(std::chrono::milliseconds limit) override;
    void leave() override;

private:
    class Lease;
    class RefusingClaimCoordinator;
    class UnlimitedCapacityQueue;

    RelayParts(const Settings &settings, Hooks hooks);

    std::string unreadyReason() const;

    const Hooks hooks;
    std::unique_ptr<EntryNode> node;
    std::unique_ptr<ForwardingNode> forwarding;
    std::unique_ptr<Lease> lease;
    std::unique_ptr<RefusingClaimCoordinator> claimCoordinator;
    std::unique_ptr<UnlimitedCapacityQueue> capacityQueue;
    std::unique_ptr<StatusEndpoint> status;
    std::unique_ptr<Administration::AdministrationServer> administration;
};

} // namespace Hyssophall
