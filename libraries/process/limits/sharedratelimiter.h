#pragma once

#include "process/limits/admissionhistory.h"
#include "process/limits/ratelimiter.h"
#include "process/limits/teamrate.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
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
 * together stay within the limit.
 *
 * What a VM admits counts against it in full until its relay has confirmed it, and a VM admits no more unconfirmed than its own part of what is
 * left. However late the VMs notice that they don't hear each other, they so exceed the limit by one request each at most. Thread-safe.
 */
class SharedRateLimiter : public RateLimiter
{
public:
    struct Options {
        /// Length of the windows over which limits count; zero: a bucket that fills at the rate is the limit.
        std::chrono::milliseconds window{0};
        /// What the deployment lets a team get beyond its limit in a window. VMs that hear nobody, and VMs that don't know a whole window, use a
        /// part of it.
        double overage = 0;
        double slack = 0;
        /// How long a request waits for the confirmation of earlier ones. Longer than the interval of a relay's messages.
        std::chrono::milliseconds confirmationWait{250};
    };

    struct Hooks {
        /// Counts the time that the machine was suspended.
        SteadyClock clock;
        /// The clock of requests' deadlines.
        SteadyClock deadlineClock;
        std::function<TeamRate(const std::string &)> rateOf;
        /// Share of the fleet's VMs whose admissions this VM hears, above 0 and at most 1.
        std::function<double()> visibleShare;
        /// What part of the fleet this VM is alone.
        std::function<double()> ownShare;
        /// Age of what this VM knows of the others' admissions; nothing while it never heard them.
        std::function<std::optional<std::chrono::milliseconds>()> knowledgeAge;
        /// Tells the other VMs of an admission; at once when the team's tokens are scarce. Returns the number of the message that tells it,
        /// or nothing when no confirmation is needed. Called with the limiter's lock held.
        std::function<std::optional<std::uint64_t>(const std::string &, bool isScarce)> admitted;
    };

    SharedRateLimiter(Options options, Hooks hooks);

    /// Waits for confirmations, until the deadline and Options::confirmationWait at most.
    RateDecision acquire(const std::string &team, SteadyTime deadline) override;

    /// Does nothing: the other VMs have counted the request already.
    void giveBack(const std::string &team) override;

    /// Takes out what another VM admitted.
    void admittedElsewhere(const std::string &team, std::uint32_t count);

    /// The relay has taken in all messages up to this number.
    void confirm(std::uint64_t number);

    /// Admissions by team that were told in messages before @p nextNumber and never confirmed. They are confirmed by the next number.
    std::map<std::string, std::uint32_t> takeUnconfirmed(std::uint64_t nextNumber);

    /// AdmissionHistory::noteHeard(), record() and fillGaps().
    void noteHeard(SteadyTime from, SteadyTime to, double share);
    AdmissionRecord record() const;
    void fillGaps(const AdmissionRecord &record);

private:
    struct Bucket {
        double tokens = 0;
        SteadyTime filled;
        bool isNew = true;
    };

    /// An admission of this VM that no relay has confirmed.
    struct Unconfirmed {
        SteadyTime at;
        /// Number of the message that tells it.
        std::uint64_t number = 0;
    };

    struct Team {
        Bucket bucket;
        /// Oldest first.
        std::deque<Unconfirmed> unconfirmed;
    };

    /// What the limits leave for a team at one moment.
    struct Room {
        double tokens = 0;
        double burst = 0;
        /// Time until a token is there.
        std::chrono::milliseconds wait{0};
        double visibleShare = 0;
        /// How many more admissions may be unconfirmed.
        double unconfirmedLeft = 0;
    };

    bool isWindowed() const;
    AdmissionHistory::View view() const;
    Team &teamOf(const std::string &name, SteadyTime now);
    Room roomOf(const std::string &name, const TeamRate &whole, const AdmissionHistory::View &view);
    Room roomInBucket(Bucket &bucket, const TeamRate &whole, const AdmissionHistory::View &view) const;
    Room roomInWindow(const std::string &name, const Team &team, const TeamRate &whole, const AdmissionHistory::View &view);
    double leftInWindow(const std::string &name, const Team &team, const TeamRate &whole, const AdmissionHistory::View &view);
    RateDecision grant(const std::string &name, const TeamRate &whole, const Room &room, const AdmissionHistory::View &view);
    std::string groundsOf(const std::string &name, const Room &room, const TeamRate &whole) const;

    const Options options;
    const Hooks hooks;
    mutable std::mutex mutex;
    std::condition_variable confirmed;
    AdmissionHistory history;
    std::map<std::string, Team> teams;
};

} // namespace Hyssophall
