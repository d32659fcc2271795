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

/// VMs that hear of each other's admissions after a delay, some of which are cut off, stand still or restart; one team floods them all.
/// Time passes in steps of a millisecond.
class DelayedFleet
{
public:
    DelayedFleet(std::size_t vms, TeamRate rate, std::uint64_t seed);

    /// Lets @p duration pass while the team sends @p perSecond requests to VMs chosen by chance.
    void run(std::chrono::milliseconds duration, int perSecond);

    /// Cuts the first @p count VMs off from their relays, and from each other.
    void cut(std::size_t count);
    void heal();

    /// The first @p count VMs stand still for @p duration; what callers send to them meanwhile waits.
    void freeze(std::size_t count, std::chrono::milliseconds duration);

    /// All processes are lost, relays included, and are back after @p away.
    void restartAll(std::chrono::milliseconds away);

    /// Most requests that were admitted within any five seconds, and what the deployment lets a team get there.
    std::size_t mostInWindow() const;
    double allowed() const;
    std::size_t admitted() const;

private:
    struct Message {
        SteadyTime due;
        std::uint32_t count = 0;
    };
    struct Confirmation {
        SteadyTime due;
        std::uint64_t number = 0;
    };
    struct Vm {
        std::unique_ptr<SharedRateLimiter> limiter;
        bool isCut = false;
        /// Stands still or is away until then.
        SteadyTime backAt;
        /// When its relay is connected again.
        SteadyTime connectedAt;
        std::optional<SteadyTime> knownAsOf;
        double visibleShare = 0;
        bool isConnected = true;
        SteadyTime heardUntil;
        std::deque<Message> inbox;
        /// Number of the latest message, and when the relay confirms each.
        std::uint64_t number = 0;
        std::deque<Confirmation> confirmations;
        std::size_t waiting = 0;
    };

    void create(std::size_t vm);
    bool isInTouch(const Vm &vm) const;
    bool isHeard(std::size_t listener, std::size_t other) const;
    double visibleShareOf(const Vm &vm) const;
    void step();
    void startRelays();
    void connect(std::size_t vm);
    void tellStatus();
    void receive(Vm &vm);
    void request(Vm &vm);
    std::uint64_t tell(std::size_t from);
    void passOn(std::size_t from, std::uint32_t count);

    const SharedRateLimiter::Options options;
    const TeamRate rate;
    std::mt19937_64 random;
    SteadyTime now;
    SteadyTime relaysStarted;
    std::vector<Vm> vms;
    std::deque<AdmissionHistory> histories;
    /// When each VM was last in touch, as its relay sees it.
    std::vector<SteadyTime> seen;
    std::vector<SteadyTime> grants;
};

} // namespace HyssophallTest
