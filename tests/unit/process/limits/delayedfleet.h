#pragma once

#include "process/limits/sharedratelimiter.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace HyssophallTest {

using namespace Hyssophall;

/// Simulation of VMs that report their admissions to each other through relays, with a delay. VMs can be partitioned, suspended and restarted. One team
/// floods them all. Time advances in steps of one millisecond.
class DelayedFleet
{
public:
    DelayedFleet(std::size_t vms, TeamRate rate, std::uint64_t seed);

    /// Simulates @p duration, in which the team sends @p perSecond requests per second on average to randomly chosen VMs.
    void run(std::chrono::milliseconds duration, int perSecond);

    /// Disconnects the first @p count VMs from their relays, and so from all other VMs.
    void partition(std::size_t count);
    void heal();

    /// Ends the streams of @p count randomly chosen VMs, except of those that are lost already. Each VM connects again after a random time between @p shortest
    /// and @p longest.
    void loseStreams(std::size_t count, std::chrono::milliseconds shortest, std::chrono::milliseconds longest);

    /// Suspends the first @p count VMs for @p duration. Requests to them wait until they resume.
    void suspend(std::size_t count, std::chrono::milliseconds duration);

    /// Stops all processes, relays included, and starts them again after @p downtime.
    void restartAll(std::chrono::milliseconds downtime);

    /// Largest number of requests that were admitted within any five seconds.
    std::size_t maximumInWindow() const;
    /// Number of requests that the deployment allows a team in a window, with the tolerance.
    double allowed() const;
    std::size_t admitted() const;
    /// Number of requests that were admitted or refused.
    std::size_t decided() const;

private:
    struct Message {
        SteadyTime due;
        std::uint32_t count = 0;
        /// Set instead of the count when a VM reports what it admitted while it was disconnected.
        std::shared_ptr<const UnreportedAdmissions> unreported;
    };
    struct Confirmation {
        SteadyTime due;
        std::uint64_t number = 0;
        SteadyTime sentAt;
    };
    struct WaitingRequest {
        /// Since when it has waited for confirmations. Empty while it waits for the connection.
        std::optional<SteadyTime> waitsForConfirmationSince;
    };
    struct Vm {
        std::unique_ptr<SharedRateLimiter> limiter;
        bool isPartitioned = false;
        /// End of the suspension or of the restart.
        SteadyTime resumesAt;
        /// When the VM can connect to its relay again.
        SteadyTime connectedAt;
        std::optional<SteadyTime> statusTime;
        /// Up to when the VM knows the others' admissions.
        std::optional<SteadyTime> knownUntil;
        /// Whether its stream ended, which the VM notices at once, unlike a partition.
        bool hasLostStream = false;
        double visibleShare = 0;
        bool isConnected = true;
        SteadyTime visibleUntil;
        std::deque<Message> inbox;
        /// Number of the latest message.
        std::uint64_t number = 0;
        /// When the relay's confirmations arrive.
        std::deque<Confirmation> confirmations;
        /// When the relay reports that a majority of the relays has the messages.
        std::deque<Confirmation> replications;
        /// Requests that arrived during the suspension.
        std::size_t waiting = 0;
        /// Requests that wait for the connection or for confirmations, in the order of their arrival.
        std::deque<WaitingRequest> waitingRequests;
    };

    void create(std::size_t vm);
    bool isReachable(const Vm &vm) const;
    /// Whether the relay of @p listener receives the reports of @p other.
    bool receivesFrom(std::size_t listener, std::size_t other) const;
    double visibleShareOf(const Vm &vm) const;
    void step();
    void startRelays();
    void connect(std::size_t vm);
    void sendStatus();
    /// Share of the VMs from which the relay receives reports.
    double shareAt(std::size_t relay) const;
    /// Records the present share in the relay's history, as TeamUseMonitor does.
    void recordShareAt(std::size_t relay);
    void receive(Vm &vm);
    void request(Vm &vm);
    /// Decides the request unless the limiter would wait, which it can't while simulated time stands still.
    bool tryToDecide(Vm &vm, WaitingRequest &request, bool hasWaited);
    void decideWaiting(Vm &vm);
    std::uint64_t report(std::size_t from);
    /// Makes the relay confirm a message that it will have received.
    void scheduleConfirmation(Vm &vm, std::uint64_t number);
    void distribute(std::size_t from, std::uint32_t count);
    void distributeUnreported(std::size_t from, const std::shared_ptr<const UnreportedAdmissions> &unreported);

    const SharedRateLimiter::Options options;
    const TeamRate rate;
    std::mt19937_64 random;
    SteadyTime now;
    SteadyTime relaysStarted;
    std::vector<Vm> vms;
    /// The history of each relay.
    std::deque<AdmissionHistory> relayHistories;
    /// Up to when the history of each relay contains the share of VMs that it received reports from.
    std::vector<SteadyTime> relayVisibleUntil;
    /// When each VM last had contact with its relay.
    std::vector<SteadyTime> lastContact;
    std::vector<SteadyTime> grants;
    std::size_t refusals = 0;
};

} // namespace HyssophallTest
