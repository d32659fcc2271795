#pragma once

#include "process/limits/sharedratelimiter.h"
#include "process/relay/relayhub.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace HyssophallTest {

using namespace Hyssophall;

/// Simulation of relays, which are real RelayHub objects, and of VMs with a real SharedRateLimiter each. The streams between them are simulated: their
/// messages are late, and relays can be cut from each other while each VM reaches all of them. VMs leave a relay that isn't current for one that is. One
/// team sends requests to all VMs. Time advances in steps of five milliseconds.
class SplitFleet
{
public:
    SplitFleet(std::size_t vms, TeamRate rate, std::uint64_t seed);
    ~SplitFleet();

    /// Simulates @p duration, in which the team sends @p perSecond requests per second on average to randomly chosen VMs.
    void run(std::chrono::milliseconds duration, int perSecond);

    /// Cuts the last @p count relays from the others, in both directions.
    void cutRelays(std::size_t count);
    void heal();

    /// Ends @p relay with all that it knows, and starts it again at once. Its VMs connect to other relays.
    void restartRelay(std::size_t relay);

    /// Ends the streams of all VMs of @p relay, which connect to other relays.
    void loseStreams(std::size_t relay);

    /// Largest number of requests that were admitted within any five seconds.
    std::size_t maximumInWindow() const;
    /// Number of requests that the deployment allows a team in a window, with the tolerance.
    double allowed() const;
    std::size_t admitted() const;
    /// Number of requests that were admitted or refused.
    std::size_t decided() const;

private:
    struct Relay;
    struct Link;
    struct Vm;

    void startRelay(std::size_t relay);
    bool isCut(std::size_t relay, std::size_t other) const;
    void step();
    void stepLink(Link &link);
    void endLink(Link &link);
    void createVm(std::size_t number);
    void stepVm(Vm &vm);
    void connectVm(Vm &vm);
    void disconnectVm(Vm &vm);
    void receive(Vm &vm, const RelayMessages::Update &update);
    /// Makes a VM leave a relay that has not been current for a while.
    void moveIfNotCurrent(Vm &vm);
    std::optional<std::size_t> randomCurrentRelay(std::size_t except);
    bool hears(const Vm &vm) const;
    double reportedShare(const Vm &vm) const;
    void request(Vm &vm);
    /// Decides the request unless the limiter would wait, which it can't while simulated time stands still.
    bool tryToDecide(Vm &vm, SteadyTime &waitsForConfirmationSince, bool hasWaited);
    void decideWaiting(Vm &vm);

    const SharedRateLimiter::Options options;
    const TeamRate rate;
    std::mt19937_64 random;
    SteadyTime now;
    std::vector<std::unique_ptr<Relay>> relays;
    std::vector<std::unique_ptr<Link>> links;
    std::vector<std::unique_ptr<Vm>> vms;
    std::size_t cutCount = 0;
    std::vector<SteadyTime> grants;
    std::size_t refusals = 0;
};

} // namespace HyssophallTest
