#pragma once

#include "process/fleet/claimcoordinator.h"
#include "process/fleet/servinglease.h"
#include "process/health/instancehealth.h"
#include "process/health/lostrequests.h"
#include "process/health/outcomeboard.h"
#include "process/health/routestatistics.h"
#include "process/limits/capacityqueue.h"
#include "process/limits/sharedratelimiter.h"
#include "process/limits/sharedretrybudget.h"
#include "process/relay/relayuplink.h"
#include "process/settings/settings.h"
#include "request/requestrecord.h"
#include "version/configuredcatalogue.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

namespace Hyssophall {

/**
 * An entry VM's part in a relayed fleet: its configuration, the instances, and the limits that all VMs share.
 *
 * While no relay is in reach, it goes on with what it has; see SharedRateLimiter for its limits meanwhile. Thread-safe.
 */
class EntryNode : public InstanceHealth, public RequestObserver
{
public:
    EntryNode(const Settings &settings, SteadyClock clock, RandomSource random);
    ~EntryNode() override;

    std::shared_ptr<const ConfiguredCatalogue> catalogue() const;
    RateLimiter &rateLimiter();
    RetryLimiter &retries();

    /// Whether this VM can serve: it has a configuration.
    bool isServing() const;

    /// Waits for the first configuration, on a VM that has just started, until @p deadline or as long as one usually takes.
    void awaitConfiguration(SteadyTime deadline);
    const RelayUplink &uplink() const;

    std::optional<hyssophall::fleet::v1::Instance> choose(const InstanceQuery &query) override;
    std::optional<std::chrono::milliseconds> patience(const std::string &route) const override;
    void finish(const hyssophall::fleet::v1::Instance &instance, TryOutcome outcome, std::chrono::microseconds latency, std::uint64_t fingerprint) override;
    bool isPoison(std::uint64_t fingerprint) const override;
    /// Tells the other VMs how the request ended.
    void requestFinished(const RequestRecord &record) override;
    std::string explain(const std::string &instanceId) const override;

private:
    RelayMessages::News greeting(std::uint64_t nextNumber) const;
    void receive(const RelayMessages::News &news);
    void takeConfiguration(const CatalogueMessages::Configuration &configuration);
    void takeRegistrations(const RelayMessages::News &news);

    const Settings settings;
    const SteadyClock clock;
    const SteadyTime startedAt;
    mutable std::mutex mutex;
    OutcomeBoard board;
    RouteStatistics routeStatistics;
    std::shared_ptr<const ConfiguredCatalogue> inForce;
    std::condition_variable configured;
    LostRequests lostRequests;
    std::unique_ptr<SharedRateLimiter> limiter;
    std::unique_ptr<SharedRetryBudget> retryBudget;
    /// Last: its thread uses all of the above.
    std::unique_ptr<RelayUplink> relayUplink;
};

} // namespace Hyssophall
