#pragma once

#include "process/limits/admissionwindow.h"
#include "process/limits/ratelimiter.h"
#include "process/limits/teamrate.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Hyssophall {

/**
 * The fleet-wide limits of a VM that hears what all other VMs admit: each VM keeps every team's bucket and takes out what others admitted.
 *
 * Where the deployment counts limits over windows, a team may use its rate and burst in each of them, and the bucket only spreads that over
 * the window. A VM that can't hear all of the others keeps to the part that falls to the VMs it hears, so that the parts of a divided fleet
 * together stay within the limit. Thread-safe; never blocks.
 */
class SharedRateLimiter : public RateLimiter
{
public:
    struct Options {
        /// Length of the windows over which limits count; zero: a bucket that fills at the rate is the limit.
        std::chrono::milliseconds window{0};
        /// What the deployment lets a team get beyond its limit in a window. VMs that hear nobody use a part of it.
        double overage = 0;
        double slack = 0;
    };

    struct Hooks {
        SteadyClock clock;
        std::function<TeamRate(const std::string &)> rateOf;
        /// Share of the fleet's VMs whose admissions this VM hears, above 0 and at most 1.
        std::function<double()> visibleShare;
        /// What part of the fleet this VM is alone.
        std::function<double()> ownShare;
        /// How long the relay has been running through which this VM hears the others; nothing while there is none.
        std::function<std::optional<std::chrono::milliseconds>()> relayUptime;
        /// Age of what this VM knows of the others' admissions; nothing while it never heard them.
        std::function<std::optional<std::chrono::milliseconds>()> knowledgeAge;
        /// Tells the other VMs of an admission; at once when the team's tokens are scarce.
        std::function<void(const std::string &, bool isScarce)> admitted;
    };

    SharedRateLimiter(Options options, Hooks hooks);

    RateDecision acquire(const std::string &team, SteadyTime deadline) override;

    /// Does nothing: the other VMs have counted the request already.
    void giveBack(const std::string &team) override;

    /// Takes out what another VM admitted.
    void admittedElsewhere(const std::string &team, std::uint32_t count);

private:
    struct Bucket {
        double tokens = 0;
        SteadyTime filled;
        bool isNew = true;
    };

    struct Team {
        Team(std::chrono::milliseconds window, SteadyTime began)
            : window(window, began)
        {
        }

        Bucket bucket;
        AdmissionWindow window;
    };

    /// What the limits leave for a team at one moment.
    struct Room {
        double tokens = 0;
        double burst = 0;
        /// Time until a token is there.
        std::chrono::milliseconds wait{0};
    };

    bool isWindowed() const;
    /// Whether this VM and its relay have both started within the last window, as after the loss of the whole fleet.
    bool isFleetStarting(SteadyTime now) const;
    Team &teamOf(const std::string &name);
    Room roomOf(Team &team, const TeamRate &whole, double visibleShare, SteadyTime now) const;
    Room roomInBucket(Bucket &bucket, const TeamRate &whole, double visibleShare, SteadyTime now) const;
    std::string groundsOf(const Room &room, const TeamRate &whole, double visibleShare) const;
    Room roomInWindow(AdmissionWindow &window, const TeamRate &whole, double visibleShare, SteadyTime now) const;

    const Options options;
    const Hooks hooks;
    const SteadyTime began;
    std::mutex mutex;
    std::map<std::string, Team> teams;
};

} // namespace Hyssophall
