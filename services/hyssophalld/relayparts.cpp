#include "relayparts.h"

#include "systemrandom.h"

#include <glog/logging.h>

#include <chrono>
#include <utility>

namespace Hyssophall {

/// A VM that is cut off goes on serving with what it has, unless the deployment asks for the opposite.
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

private:
    const EntryNode &node;
    const bool failClosed;
};

/// A relayed fleet keeps no idempotency keys, so a request that asks for one is refused before it runs.
class RelayParts::NoClaims : public ClaimCoordinator
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

/// The choice of instances knows what is in flight on all VMs and refuses by itself when all are full.
class RelayParts::OpenCapacity : public CapacityQueue
{
public:
    std::unique_ptr<Permit> acquire(const std::string &, const std::string &, double, SteadyTime) override
    {
        return std::make_unique<OpenPermit>();
    }

private:
    class OpenPermit : public Permit
    {
    public:
        void finish(CapacitySignal, std::chrono::microseconds) override
        {
        }
    };
};

boost::leaf::result<std::unique_ptr<RelayParts>> RelayParts::create(const Settings &settings, Hooks hooks)
{
    std::unique_ptr<RelayParts> parts(new RelayParts(settings, std::move(hooks)));
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
    , noClaims(std::make_unique<NoClaims>())
    , openCapacity(std::make_unique<OpenCapacity>())
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
    return *this->noClaims;
}

CapacityQueue &RelayParts::capacity()
{
    return *this->openCapacity;
}

InstanceHealth &RelayParts::health()
{
    return *this->node;
}

RequestObserver *RelayParts::observer()
{
    return this->node.get();
}

RetryAllowance &RelayParts::retries()
{
    return this->node->retries();
}

void RelayParts::addGauges(RequestMetrics &metrics)
{
    metrics.addGauge("hyssophall_relay_current", "1 while this VM's relay hears a majority of the relays and the leader of the control group.", [this] {
        return this->node->uplink().isCurrent() ? 1.0 : 0.0;
    });
    metrics.addGauge("hyssophall_visible_share", "Share of the fleet's VMs that this VM hears of.", [this] { return this->node->uplink().visibleShare(); });
    metrics.addGauge("hyssophall_knowledge_age_seconds", "Age of what this VM knows of the others; -1 before it has heard of them.", [this] {
        const std::optional<std::chrono::milliseconds> age = this->node->uplink().knowledgeAge();
        return age ? std::chrono::duration<double>(*age).count() : -1.0;
    });
    metrics.addGauge("hyssophall_catalogue_version", "Version of the catalogue in force.", [this] {
        return static_cast<double>(this->node->catalogue()->configuration().version());
    });
}

void RelayParts::awaitCatalogue(SteadyTime deadline)
{
    this->node->awaitConfiguration(deadline);
}

void RelayParts::leave()
{
    LOG(INFO) << "This VM leaves the fleet";
}

} // namespace Hyssophall
