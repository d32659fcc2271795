#pragma once

#include "process/health/instanceselector.h"
#include "process/hooks.h"
#include "process/relay/newsbuffer.h"
#include "process/relay/teamusemonitor.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Hyssophall {

namespace CatalogueMessages = hyssophall::catalogue::v1;

/// A VM or relay that has connected to this relay.
struct RelaySubscriber {
    RelayMessages::Greeting greeting;
    NewsBuffer buffer;
    /// Highest number of the subscriber's messages that was taken in.
    std::atomic<std::uint64_t> confirmed{0};
    /// For a relay: the VMs that are connected to it.
    std::set<std::string> vms;

    bool isRelay() const
    {
        return !this->greeting.relay_address().empty();
    }
};

/// Another relay, to which this relay connects.
struct RelayPeer {
    explicit RelayPeer(std::string address)
        : address(std::move(address))
    {
    }

    RelayMessages::RelayAddress relayAddress() const
    {
        RelayMessages::RelayAddress relay;
        relay.set_address(this->address);
        relay.set_failure_domain(this->failureDomain);
        relay.set_in_touch(this->isConnected);
        return relay;
    }

    const std::string address;
    /// Empty while unknown.
    std::string failureDomain;
    NewsBuffer buffer;
    std::uint64_t confirmed = 0;
    bool isConnected = false;
};

/**
 * What a relay knows and whom it tells.
 *
 * News of a VM goes to the relay's other VMs and to all other relays, which pass it on to their VMs only. Each relay so receives each
 * piece of news once, and bytes cross failure domains once for each other relay. Thread-safe.
 */
class RelayHub
{
public:
    struct Options {
        RelayMessages::RelayAddress own;
        /// Relays that must know of a leaving instance, this one among them, before it is told that everybody does.
        std::size_t majority = 1;
        InstanceSelector::Options board;
        SteadyClock clock;
        /// Windows over which the deployment counts teams' limits; zero: what teams use isn't kept.
        std::chrono::milliseconds rateWindow{0};
    };

    struct Hooks {
        /// Whether this relay's replica of the control log is up to date within about an election timeout.
        std::function<bool()> isControlInTouch;
        /// A relay that wasn't known; called outside of locks.
        std::function<void(const std::shared_ptr<RelayPeer> &)> peerFound;
    };

    RelayHub(Options options, Hooks hooks);

    /// Takes a configuration into force and passes it on.
    void setConfiguration(const std::shared_ptr<const CatalogueMessages::Configuration> &configuration);

    /// Takes a registration that came here and passes it on. Returns false when a majority of the relays had to confirm it and didn't by the deadline.
    bool publish(const RelayMessages::Registration &registration, bool needsMajority, SteadyTime deadline);

    /// The fleet had this many VMs before this relay started.
    void rememberFleet(std::uint32_t vms);

    /// Adds another relay if it is new, and its failure domain if that was unknown.
    void addRelay(const RelayMessages::RelayAddress &address);
    std::vector<RelayMessages::RelayAddress> relays() const;

    /// The accepting end: a stream begins, brings news, sends news, ends.
    std::shared_ptr<RelaySubscriber> connect(const RelayMessages::News &first);
    void receive(RelaySubscriber &subscriber, const RelayMessages::News &news);
    void complete(const RelaySubscriber &subscriber, RelayMessages::News &news);
    void disconnect(const std::shared_ptr<RelaySubscriber> &subscriber);

    /// The connecting end, towards a peer.
    RelayMessages::News greetPeer(RelayPeer &peer);
    void receiveFromPeer(RelayPeer &peer, const RelayMessages::News &news);
    void peerDisconnected(RelayPeer &peer);

    RelayMessages::RelayStatus status();

    /// The largest part of its limit that any team was admitted in the last window, over all VMs that were heard; 1 is the whole limit.
    double largestTeamUse();
    std::size_t connectedPeers() const;

    /// The registration of an instance, if there is one.
    std::optional<RelayMessages::Registration> findInstance(const std::string &id) const;

private:
    // These are called with the mutex held.
    RelayMessages::News merge(const RelayMessages::News &news);
    void sendToVms(const RelayMessages::News &news, const RelaySubscriber *except);
    void sendToPeers(const RelayMessages::News &news);
    void sendRelayState(const RelayPeer &peer);
    void noteVm(const std::string &vm, bool present);
    RelayMessages::News everything();
    /// The VMs that are connected to this relay or to one that it hears; notes their share.
    std::set<std::string> visibleVms(SteadyTime now);
    std::uint32_t knownVms(SteadyTime now) const;

    const Options options;
    const Hooks hooks;
    const SteadyTime startedAt;
    mutable std::mutex mutex;
    std::condition_variable confirmations;
    InstanceSelector board;
    std::shared_ptr<const CatalogueMessages::Configuration> configuration;
    std::vector<std::shared_ptr<RelaySubscriber>> subscribers;
    std::map<std::string, std::shared_ptr<RelayPeer>> peers;
    /// When each VM was last known to be connected to any relay.
    std::map<std::string, SteadyTime> vmsSeen;
    /// VMs of the fleet by what was known before this relay started.
    std::uint32_t rememberedVms = 0;
    TeamUseMonitor teamUse;
};

} // namespace Hyssophall
