#pragma once

#include "process/fleet/claimcoordinator.h"
#include "process/fleet/servinglease.h"
#include "process/forwarding/vmdirectory.h"
#include "process/health/instancehealth.h"
#include "process/health/instancepathmonitor.h"
#include "process/health/instanceselector.h"
#include "process/health/pendingconnectfailures.h"
#include "process/health/poisonrequestdetector.h"
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
 * The part of an entry VM in a fleet with relays: it holds the configuration, the instances, and the limits that all VMs share.
 *
 * While no relay is reachable, it continues with the last state that it received; see SharedRateLimiter for its limits meanwhile.
 * Thread-safe.
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

    /// Waits for the first configuration on a VM that has just started, until @p deadline and for 800 ms at most. Returns at once when the VM
    /// has a configuration or started more than 3 s ago.
    void awaitConfiguration(SteadyTime deadline);
    const RelayUplink &uplink() const;

    /// Whether this VM is partitioned from all instances.
    bool isPartitionedFromInstances() const;

    /// Sets what is called, on any thread, when this VM becomes partitioned from all instances or reaches them again; may be empty.
    void setPathChanged(std::function<void(bool isPartitioned)> callback);

    /// Reports to the other VMs where this VM accepts forwarded requests, or that it accepts none, as at the start.
    void setForwardingAddress(const std::string &host, std::uint16_t port);
    void clearForwardingAddress();
    VmDirectory &otherVms();

    /// Whether the instance is registered, isn't leaving, and takes requests of this VM as far as it has said.
    bool takesRequests(const std::string &instanceId) const;

    /// A registered instance chosen at random, or nothing if there is none.
    std::optional<hyssophall::fleet::v1::Instance> randomInstance() const;

    /// Called when a connection to an instance on this host was established for another purpose than a request of this VM.
    void recordConnected(const std::string &host, SteadyTime at);

    /// Called for each response of an instance to a request of another VM that this VM has sent.
    void noticedForOtherVm(const std::string &instanceId, const HttpResponse &response);

    /// Called when this VM couldn't connect to the instance for a request of another VM.
    void connectFailedForOtherVm(const std::string &instanceId, std::chrono::microseconds latency);

    std::optional<hyssophall::fleet::v1::Instance> choose(const InstanceQuery &query) override;
    std::optional<std::chrono::milliseconds> perTryTimeout(const std::string &route) const override;
    void finish(const hyssophall::fleet::v1::Instance &instance, TryOutcome outcome, std::chrono::microseconds latency, std::uint64_t fingerprint) override;
    void connectionOpened(const hyssophall::fleet::v1::Instance &instance, SteadyTime at) override;
    void noticed(const hyssophall::fleet::v1::Instance &instance, const InstanceNotice &notice) override;
    std::optional<std::chrono::milliseconds> shortestBackoff(const std::string &service) const override;
    bool isPoison(std::uint64_t fingerprint) const override;
    std::optional<std::chrono::milliseconds> poisonSuspicion(std::uint64_t fingerprint) const override;
    std::string describePoison(std::uint64_t fingerprint) const override;
    /// Reports the outcome of the request to the other VMs.
    void requestFinished(const RequestRecord &record) override;
    std::string describeInstance(const std::string &instanceId) const override;

private:
    RelayMessages::Update greeting(const std::function<void()> &dropQueuedAdmissions);
    void receive(const RelayMessages::Update &update);
    void applyConfiguration(const CatalogueMessages::Configuration &configuration);
    void recordConnectFailed(const hyssophall::fleet::v1::Instance &instance);
    void leavingSaid(const hyssophall::fleet::v1::Instance &instance);
    void backoffRequested(const hyssophall::fleet::v1::Instance &instance, std::chrono::milliseconds duration);
    void limitNamed(const hyssophall::fleet::v1::Instance &instance, std::optional<double> requestsPerSecond);
    void pathStateChanged(bool isPartitioned, std::size_t failedHosts);
    RelayMessages::VmPresence presence() const;
    void reportPresence();
    /// Reports the connection failures whose cause is known by now.
    void reportConnectFailures();
    void applyInstanceUpdates(const RelayMessages::Update &update);
    /// Adds what the outcome of a try says about the request itself to the detector of poison requests and to the message.
    void judgeRequest(std::uint64_t fingerprint, std::uint32_t instance, TryOutcome outcome, std::chrono::microseconds latency, RelayMessages::Update &update);
    void applyLostRequests(const RelayMessages::Update &update);

    const Settings settings;
    const SteadyClock clock;
    const SteadyTime startedAt;
    mutable std::mutex mutex;
    InstanceSelector board;
    RouteStatistics routeStatistics;
    std::shared_ptr<const ConfiguredCatalogue> activeCatalogue;
    std::condition_variable configured;
    PoisonRequestDetector lostRequests;
    VmDirectory directory;
    std::string forwardingHost;
    std::uint16_t forwardingPort = 0;
    std::function<void(bool)> pathChanged;
    const RandomSource random;
    InstancePathMonitor paths;
    PendingConnectFailures connectFailures;
    std::unique_ptr<SharedRateLimiter> limiter;
    std::unique_ptr<SharedRetryBudget> retryBudget;
    /// Declared last, since its thread uses all members above.
    std::unique_ptr<RelayUplink> relayUplink;
};

} // namespace Hyssophall
