#pragma once

#include "process/health/instanceselector.h"
#include "process/hooks.h"
#include "process/relay/departurestore.h"
#include "process/relay/lateends.h"
#include "process/relay/reportedadmissions.h"
#include "process/relay/teamusemonitor.h"
#include "process/relay/updatebuffer.h"
#include "process/relay/vmlists.h"
#include "process/relay/vmpresencetable.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace Hyssophall {

namespace CatalogueMessages = hyssophall::catalogue::v1;

/// A VM or another relay that is connected to this relay, and the stream to it.
struct RelaySubscriber {
    RelayMessages::Greeting greeting;
    UpdateBuffer buffer{UpdateBuffer::Counts::HeldBack};
    /// Highest sequence among the subscriber's messages that this relay has applied. For another relay, the instances that leave by those messages
    /// are stored, too.
    std::atomic<std::uint64_t> confirmed{0};
    /// A message of another relay that can be confirmed once the departures up to a number are stored.
    struct Unconfirmed {
        std::uint64_t sequence = 0;
        std::uint64_t departure = 0;
    };
    std::deque<Unconfirmed> unconfirmed;
    /// For a VM: its messages whose admissions a majority of the relays may not have received.
    struct Unreplicated {
        std::uint64_t sequence = 0;
        std::uint64_t mark = 0;
    };
    std::deque<Unreplicated> unreplicated;
    /// Whether RelayStatus.reports_replicated has been sent.
    bool isToldOfReplication = false;
    /// When the subscriber's latest message arrived.
    SteadyTime receivedAt;
    /// For a VM: what it reports of itself.
    RelayMessages::VmPresence presence;

    bool isRelay() const
    {
        return !this->greeting.relay_address().empty();
    }
};

/// Another relay that this relay connects to, and the stream to it.
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
        relay.set_not_current(this->isConnected && this->isNotCurrent);
        return relay;
    }

    const std::string address;
    /// Empty while it is unknown.
    std::string failureDomain;
    UpdateBuffer buffer{UpdateBuffer::Counts::HeldBack};
    std::uint64_t confirmed = 0;
    /// Up to which of the messages of this relay's VMs the other relay has received their admissions.
    ReportMark known;
    bool isConnected = false;
    /// Whether the relay's last status said that it isn't current.
    bool isNotCurrent = false;
};

/**
 * The state of a relay, and the forwarding of updates between its VMs and the other relays.
 *
 * Updates from a VM go to the relay's other VMs and to all other relays. Updates from another relay go to this relay's VMs only. So each relay
 * receives each update once, and an update crosses failure domains once for each other relay. Thread-safe.
 */
class RelayHub
{
public:
    struct Options {
        RelayMessages::RelayAddress own;
        /// Number of relays, including this one, that must know of a leaving instance before it is acknowledged.
        std::size_t majority = 1;
        InstanceSelector::Options board;
        SteadyClock clock;
        /// Where instances that leave are stored; null if they are kept in memory alone. Must outlive the hub's last use.
        DepartureStore *departures = nullptr;
        /// Window over which the deployment counts teams' limits. When it is zero, admissions aren't recorded.
        std::chrono::milliseconds rateWindow{0};
    };

    struct Hooks {
        /// Whether this relay's replica of the control log is up to date within about an election timeout.
        std::function<bool()> isControlReplicaUpToDate;
        /// Called for each relay that wasn't known before, without a lock held.
        std::function<void(const std::shared_ptr<RelayPeer> &)> peerFound;
    };

    RelayHub(Options options, Hooks hooks);

    /// Puts a configuration in force, unless it isn't newer than the present one, and sends it to this relay's VMs.
    void setConfiguration(const std::shared_ptr<const CatalogueMessages::Configuration> &configuration);

    /// Applies a registration that an instance sent to this relay, and forwards it. With @p needsMajority, waits until a majority of the relays
    /// has stored it; returns false when that didn't happen by the deadline.
    bool publish(const RelayMessages::Registration &registration, bool needsMajority, SteadyTime deadline);

    /// Applies registrations that were stored before this relay started.
    void restore(const std::vector<RelayMessages::Registration> &registrations);

    /// Called whenever DepartureStore::stored() has grown.
    void departuresStored();

    /// Sets how many VMs the fleet had before this relay started, unless a higher number is known. Counts for the first 20 s.
    void expectVms(std::uint32_t vms);

    /// Adds another relay if it is new, and sets its failure domain if @p address has a different one.
    void addRelay(const RelayMessages::RelayAddress &address);
    std::vector<RelayMessages::RelayAddress> relays() const;

    /// Called by RelayService for each stream that it accepts: when it starts, when a message arrives, before one is sent, and when it ends.
    std::shared_ptr<RelaySubscriber> connect(const RelayMessages::Update &first);
    void receive(RelaySubscriber &subscriber, const RelayMessages::Update &update);
    void addStatus(RelaySubscriber &subscriber, RelayMessages::Update &update);
    /// Whether the stream of the VM or relay with this greeting crosses failure domains, where each byte costs.
    bool isOtherFailureDomain(const RelayMessages::Greeting &greeting) const;
    /// How long messages to the subscriber are held back.
    UpdateBuffer::BatchDelay batchDelay(const RelaySubscriber &subscriber) const;
    /// The same for messages to another relay.
    UpdateBuffer::BatchDelay peerBatchDelay() const;
    void disconnect(const std::shared_ptr<RelaySubscriber> &subscriber);

    /// Called by RelayPeers for the stream to each peer: for the first message, when a message arrives, and when the stream ends.
    RelayMessages::Update peerGreeting(RelayPeer &peer);
    void receiveFromPeer(RelayPeer &peer, const RelayMessages::Update &update);
    void peerDisconnected(RelayPeer &peer);

    RelayMessages::RelayStatus status();

    /// Tells this relay's VMs at once that it has become current since the previous call, instead of with the next heartbeat. Until they know, VMs answer
    /// requests that they would deny with 503.
    void announceCurrent();

    /// The largest ratio of admissions in the last window to the limit, over all teams; 1 is the whole limit. Counts all VMs that this relay
    /// receives updates from.
    double largestTeamUse();

    /// What the streams have done since the previous call.
    struct Activity {
        std::uint64_t messagesReceived = 0;
        std::uint64_t messagesSent = 0;
        std::uint64_t vmsConnected = 0;
        /// Longest time that a received message waited for the hub.
        std::chrono::milliseconds longestWait{0};
    };
    Activity takeActivity();
    std::size_t connectedPeers() const;
    /// Number of VMs that are connected to this relay.
    std::size_t connectedVmCount() const;

    /// The latest registration with this id, if there is one.
    std::optional<RelayMessages::Registration> findInstance(const std::string &id) const;

private:
    /// A call of publish() that waits until enough relays have stored its registration.
    struct DepartureWaiter {
        /// By the address of a relay: the message to it that contains the registration.
        std::map<std::string, std::uint64_t> sequences;
        /// Number of the departure in this relay's store.
        std::uint64_t departure = 0;
        bool isConfirmed = false;
        std::condition_variable confirmed;
    };

    // These are called with the mutex held.
    bool hasMajority(const DepartureWaiter &waiter) const;
    /// Wakes the waiters whose registration has been stored by enough relays, and no others: a large release has hundreds of them.
    void wakeConfirmedWaiters();
    /// Applies an update and returns what it changed for the receivers, valid until the next call. @p sender is null if it came from no subscriber.
    const RelayMessages::Update &merge(const RelayMessages::Update &update, const RelaySubscriber *sender);
    /// Applies admissions that weren't reported before, and adds those that are new to @p changed.
    void mergeUnreported(const RelayMessages::Update &update, const RelaySubscriber *sender, RelayMessages::Update &changed);
    /// Applies and forwards the ends of tries that were held back.
    void sendLateEnds();
    /// Names of the VMs that are connected to this relay.
    std::set<std::string> connectedVms() const;
    /// Computes anew up to which of the messages of this relay's VMs a majority of the relays has received their admissions.
    void updateReplicated();
    /// Records that VMs were lost of which nothing has arrived since @p since, if fewer are visible than the @p before.
    void recordLoss(std::uint32_t before, SteadyTime since);
    /// Applies one registration, stores those that it makes leave, and adds the changed ones to @p changed.
    void applyRegistration(const RelayMessages::Registration &registration, RelayMessages::Update &changed);
    /// Whether all departures up to this number are stored.
    bool isStored(std::uint64_t departure) const;
    void confirm(RelaySubscriber &subscriber, std::uint64_t sequence);
    void sendToVms(const RelayMessages::Update &update, const RelaySubscriber *excluded);
    void sendToPeers(const RelayMessages::Update &update, const std::optional<ReportMark> &mark = std::nullopt);
    void sendRelayState(const RelayPeer &peer);
    void recordVm(const RelaySubscriber &subscriber);
    void applyPresence(RelaySubscriber &subscriber, const RelayMessages::Update &update);
    /// Counts the VMs that other relays report as visible while this relay is connected to those relays, too.
    void setReportsVisible(const RelayPeer &peer);
    RelayMessages::Update fullState();
    /// Records which share of the fleet's VMs is connected to this relay or to a relay that it is connected to.
    void recordVisibleShare(SteadyTime now);
    std::uint32_t knownVms(SteadyTime now);

    const Options options;
    const Hooks hooks;
    const SteadyTime startedAt;
    mutable std::mutex mutex;
    std::list<DepartureWaiter *> waiters;
    InstanceSelector board;
    /// Result of merge(). Kept, so that its memory serves each of the thousand messages of a second.
    RelayMessages::Update merged;
    /// Number of the last departure that was passed to the store.
    std::uint64_t lastDeparture = 0;
    std::shared_ptr<const CatalogueMessages::Configuration> configuration;
    std::vector<std::shared_ptr<RelaySubscriber>> subscribers;
    std::map<std::string, std::shared_ptr<RelayPeer>> peers;
    VmPresenceTable vms;
    VmLists vmLists;
    /// Number of VMs that are connected to this relay.
    std::atomic<std::size_t> vmSubscribers{0};
    /// Number of VMs of the fleet before this relay started, as far as it is known.
    std::uint32_t expectedVms = 0;
    TeamUseMonitor teamUse;
    ReportedAdmissions reported;
    LateEnds lateEnds;
    /// The latest message of this relay's VMs, and the latest one whose admissions a majority of the relays has received.
    ReportMark lastReport;
    std::uint64_t replicatedReport = 0;
    /// When VMs were last lost, and since when nothing had arrived of those that were lost shortly before that.
    std::optional<SteadyTime> lostAt;
    SteadyTime lostSince;
    /// Whether the relay was current at the latest call of announceCurrent().
    bool isAnnouncedCurrent = false;
    Activity activity;
};

} // namespace Hyssophall
