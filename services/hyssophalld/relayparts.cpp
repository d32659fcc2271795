#include "relayparts.h"

#include "connection/connectprobe.h"
#include "systemrandom.h"

#include <glog/logging.h>

#include <chrono>
#include <utility>

namespace Hyssophall {

namespace {

/// A hundred times the round trip between failure domains.
constexpr std::chrono::milliseconds probeTimeout{200};

} // namespace

/// The serving lease of a fleet with relays. A partitioned VM continues to serve with the state that it has, unless the setting fail_closed is on.
class RelayParts::Lease : public ServingLease
{
public:
    Lease(const EntryNode &node, bool failClosed)
        : node(node)
        , failClosed(failClosed)
    {
    }

    bool isHeld() const override
    {
        return this->node.isServing() && (!this->failClosed || this->node.uplink().isCurrent());
    }

    bool isCatalogueCurrent() const override
    {
        return this->node.uplink().hasLatestConfiguration();
    }

private:
    const EntryNode &node;
    const bool failClosed;
};

/// A fleet with relays doesn't store idempotency keys, so a request that has one is refused before it runs.
class RelayParts::RefusingClaimCoordinator : public ClaimCoordinator
{
public:
    ClaimResult claim(const std::string &, const std::string &, std::uint64_t, SteadyTime) override
    {
        return {};
    }

    void finish(const std::string &, const std::string &, const std::string &, const hyssophall::fleet::v1::ClaimOutcome &, SteadyTime) override
    {
    }

    void release(const std::string &, const std::string &, const std::string &) override
    {
    }
};

/// Admits every request. In a fleet with relays, the selection of instances knows the requests in flight on all VMs and refuses requests itself when all
/// instances are full.
class RelayParts::UnlimitedCapacityQueue : public CapacityQueue
{
public:
    std::unique_ptr<Permit> acquire(const std::string &, const std::string &, double, SteadyTime) override
    {
        return std::make_unique<UnlimitedPermit>();
    }

private:
    class UnlimitedPermit : public Permit
    {
    public:
        void finish(CapacitySignal, std::chrono::microseconds) override
        {
        }
    };
};

boost::leaf::result<std::unique_ptr<RelayParts>> RelayParts::create(const Settings &settings, UpstreamSender &direct, Hooks hooks)
{
    std::unique_ptr<RelayParts> parts(new RelayParts(settings, std::move(hooks)));
    BOOST_LEAF_ASSIGN(parts->forwarding, ForwardingNode::create(settings, *parts->node, direct, [](const InstancePathProbe::Address &address) {
        return canConnect(address.host, address.port, probeTimeout);
    }));
    BOOST_LEAF_ASSIGN(parts->administration,
        Administration::AdministrationServer::create([raw = parts.get()](const Administration::HttpRequest &request) { return raw->status->handle(request); },
            settings.listen.administration,
            settings.listen.maximumConnections));
    return parts;
}

RelayParts::RelayParts(const Settings &settings, Hooks hooks)
    : hooks(std::move(hooks))
    , node(std::make_unique<EntryNode>(settings, std::chrono::steady_clock::now, systemRandom))
    , lease(std::make_unique<Lease>(*this->node, settings.bounds.failClosed))
    , claimCoordinator(std::make_unique<RefusingClaimCoordinator>())
    , capacityQueue(std::make_unique<UnlimitedCapacityQueue>())
{
    StatusEndpoint::Hooks statusHooks;
    statusHooks.metricsText = this->hooks.metricsText;
    statusHooks.unreadyReason = [this] { return this->unreadyReason(); };
    this->status = std::make_unique<StatusEndpoint>(std::move(statusHooks));
}

RelayParts::~RelayParts() = default;

std::string RelayParts::unreadyReason() const
{
    if (!this->hooks.isAcceptingCallers()) {
        return "shutting_down";
    }
    return this->lease->isHeld() ? std::string() : std::string("vm_isolated");
}

CatalogueLookupSource RelayParts::catalogue()
{
    return [this] { return this->node->catalogue(); };
}

ServingLease &RelayParts::servingLease()
{
    return *this->lease;
}

RateLimiter &RelayParts::rateLimiter()
{
    return this->node->rateLimiter();
}

ClaimCoordinator &RelayParts::claims()
{
    return *this->claimCoordinator;
}

CapacityQueue &RelayParts::capacity()
{
    return *this->capacityQueue;
}

InstanceHealth &RelayParts::health()
{
    return *this->node;
}

RequestObserver *RelayParts::observer()
{
    return this->node.get();
}

RetryLimiter &RelayParts::retries()
{
    return this->node->retries();
}

void RelayParts::addGauges(RequestMetrics &metrics)
{
    metrics.addGauge("hyssophall_relay_current", "1 while this VM's relay hears a majority of the relays and the leader of the control group.", [this] {
        return this->node->uplink().isCurrent() ? 1.0 : 0.0;
    });
    metrics.addGauge("hyssophall_instances_reachable", "0 while this VM is partitioned from all instances, 1 otherwise.", [this] {
        return this->node->isPartitionedFromInstances() ? 0.0 : 1.0;
    });
    metrics.addGauge("hyssophall_forwarding_vms", "Other VMs that can forward requests of this VM.", [this] {
        return static_cast<double>(this->node->otherVms().count(std::chrono::steady_clock::now()));
    });
    metrics.addGauge("hyssophall_forwarded_requests", "Tries that other VMs have sent for this VM since the start.", [this] {
        return static_cast<double>(this->forwarding->sender().forwardedCount());
    });
    metrics.addGauge("hyssophall_forwarded_for_others", "Tries of other VMs that this VM has sent since the start.", [this] {
        return static_cast<double>(this->forwarding->acceptedCount());
    });
    metrics.addGauge("hyssophall_visible_share", "Share of the fleet's VMs that this VM hears of.", [this] { return this->node->uplink().visibleShare(); });
    metrics.addGauge("hyssophall_knowledge_age_seconds", "Age of what this VM knows of the others; -1 before it has heard of them.", [this] {
        const std::optional<std::chrono::milliseconds> age = this->node->uplink().knowledgeAge();
        return age ? std::chrono::duration<double>(*age).count() : -1.0;
    });
    for (const RelayMoves::Reason reason : RelayMoves::reasons) {
        metrics.addGauge("hyssophall_relay_moves_" + RelayMoves::nameOf(reason),
            "Connections to relays that have ended or failed for this reason since the start.",
            [this, reason] { return static_cast<double>(this->node->uplink().moveCount(reason)); });
    }
    metrics.addGauge("hyssophall_catalogue_version", "Version of the catalogue in force.", [this] {
        return static_cast<double>(this->node->catalogue()->configuration().version());
    });
}

void RelayParts::awaitCatalogue(SteadyTime deadline)
{
    this->node->awaitConfiguration(deadline);
}

UpstreamSender &RelayParts::sender(UpstreamSender &)
{
    return this->forwarding->sender();
}

void RelayParts::beginDrain()
{
    this->forwarding->stopAccepting();
}

bool RelayParts::waitUntilIdle(std::chrono::milliseconds limit)
{
    return this->forwarding->waitUntilIdle(limit);
}

void RelayParts::leave()
{
    LOG(INFO) << "Leaving the fleet";
}

} // namespace Hyssophall
