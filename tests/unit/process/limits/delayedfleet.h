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
    };
    struct Vm {
        std::unique_ptr<SharedRateLimiter> limiter;
        bool isPartitioned = false;
        /// End of the suspension or of the restart.
        SteadyTime resumesAt;
        /// When the VM can connect to its relay again.
        SteadyTime connectedAt;
        std::optional<SteadyTime> statusTime;
        double visibleShare = 0;
        bool isConnected = true;
        SteadyTime visibleUntil;
        std::deque<Message> inbox;
        /// Number of the latest message.
        std::uint64_t number = 0;
        /// When the relay's confirmations arrive.
        std::deque<Confirmation> confirmations;
        /// Requests that arrived during the suspension.
        std::size_t waiting = 0;
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
    void receive(Vm &vm);
    void request(Vm &vm);
    std::uint64_t report(std::size_t from);
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
    /// When each VM last had contact with its relay.
    std::vector<SteadyTime> lastContact;
    std::vector<SteadyTime> grants;
    std::size_t refusals = 0;
};

} // namespace HyssophallTest
