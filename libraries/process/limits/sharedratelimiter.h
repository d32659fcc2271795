#pragma once

#include "process/hooks.h"
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
 * Rate limiter that decides from a local copy of every team's token bucket. The VMs report their admissions to each other through relays, and each
 * deducts the admissions of the others from its own buckets.
 *
 * If the deployment counts limits over windows, a team may use its rate and burst in each window, and the bucket only spreads the admissions over
 * the window. A VM that doesn't receive the reports of all others uses only the share of the limit that belongs to the VMs it sees, itself
 * included. This keeps the parts of a partitioned fleet together within the limit.
 *
 * A VM goes by its relay's picture of the fleet: when it connects, it replaces what it knew of the window by the relay's record, and reports its own
 * admissions that a majority of the relays may lack. So admissions that only a relay has confirmed that is cut off from the others aren't lost when
 * the VM leaves it.
 *
 * An admission counts in full against the VM that made it until its relay has confirmed the report. The number of unconfirmed admissions of a VM is
 * limited to its own share of what remains, but at least one. However late the VMs notice a partition, they therefore exceed the limit by at most
 * one request each.
 *
 * A VM that has just lost its stream goes by what it knew of a team that was far under its limit: it admits at most one request for each loss while the
 * requests that the team may have sent to the other VMs since then fit into the limit, too. Further requests wait until it is connected again. Thread-safe.
 */
class SharedRateLimiter : public RateLimiter
{
public:
    struct Options {
        /// Length of the windows over which the deployment counts limits. Zero: there are no windows, and the bucket alone is the limit.
        std::chrono::milliseconds window{0};
        /// Tolerance of the deployment: requests that a team may get in a window beyond its limit, as a share of the limit (overage) plus a number
        /// (slack). VMs that see no other VM, and VMs whose history doesn't cover a whole window, use a part of it.
        double overage = 0;
        double slack = 0;
        /// Longest wait of a request for the confirmation of earlier admissions. Longer than the interval of a relay's messages.
        std::chrono::milliseconds confirmationWait{250};
    };

    struct Hooks {
        /// Must include time in which the machine was suspended.
        SteadyClock clock;
        /// The clock to which the deadlines of requests refer.
        SteadyClock deadlineClock;
        /// Returns the limit of a team in the whole fleet.
        std::function<TeamRate(const std::string &)> teamRate;
        /// Share of the fleet's VMs whose reports arrive here, this VM included; above 0 and at most 1.
        std::function<double()> visibleShare;
        /// Share of the fleet that this VM is by itself: one divided by the number of VMs.
        std::function<double()> ownShare;
        /// Age of this VM's knowledge of the others' admissions, or nothing before the first report.
        std::function<std::optional<std::chrono::milliseconds>()> knowledgeAge;
        /// Whether this VM has a relay that delivers what it hears, also if that is nothing of other VMs. If empty, a VM that sees no other VM has lost its
        /// stream.
        std::function<bool()> receivesUpdates = nullptr;
        /// Reports an admission to the other VMs, without delay when the team's tokens are scarce. Returns the number of the message that contains
        /// the report, or nothing when no confirmation is needed. Called with the limiter's lock held.
        std::function<std::optional<std::uint64_t>(const std::string &, bool isScarce)> reportAdmission;
        /// Spreads requests that waited for a connection, so that VMs that connect at the same time don't admit them all at once. May be empty.
        RandomSource random;
    };

    SharedRateLimiter(Options options, Hooks hooks);

    /// Blocks while too many admissions are unconfirmed, until the deadline and for Options::confirmationWait at most. Before that, it blocks while
    /// mustWaitForKnowledge() is true, until the deadline at most.
    RateDecision acquire(const std::string &team, SteadyTime deadline) override;

    /// Whether a request of the team must wait because this VM has just lost its stream, the team was far under its limit, and no more of its requests may be
    /// admitted here without news of the others. @p hasWaited says whether the request has waited for this already.
    bool mustWaitForKnowledge(const std::string &team, bool hasWaited);

    /// Whether a request of the team must wait because too many admissions of this VM are unconfirmed.
    bool mustWaitForConfirmation(const std::string &team);

    /// Does nothing, because the other VMs have already counted the request.
    void returnToken(const std::string &team) override;

    /// Deducts admissions that another VM reported.
    void addRemoteAdmissions(const std::string &team, std::uint32_t count);

    /// Marks the reports in all messages up to @p number as received by the relay.
    void confirm(std::uint64_t number);

    /// Marks the reports in all messages up to @p number as received by a majority of the relays. The last of these messages was sent at @p sentAt.
    void confirmReplicated(std::uint64_t number, SteadyTime sentAt);

    /// Returns this VM's admissions that a majority of the relays may not have, for the caller to report them when it connects to a relay anew. The
    /// next call of confirm() confirms them. The name of the VM is left empty. Calls @p dropQueuedReports with the limiter's lock held, so that no
    /// admission is reported twice; it must drop the reports that haven't been sent.
    UnreportedAdmissions collectUnreported(const std::function<void()> &dropQueuedReports);

    /// Adds admissions of other VMs that weren't reported here before.
    void addUnreported(const UnreportedAdmissions &unreported);

    /// See the methods of AdmissionHistory with these names.
    void recordVisibleShare(SteadyTime from, SteadyTime to, double share);
    void limitVisibleShare(SteadyTime from, double share);
    AdmissionRecord record() const;

    /// Replaces what is known of the window by the record of a relay to which this VM has just connected, except for what collectUnreported() returned.
    void adopt(const AdmissionRecord &record);

private:
    struct Bucket {
        double tokens = 0;
        /// When tokens were last added.
        SteadyTime lastRefill;
        bool isNew = true;
    };

    /// An admission of this VM whose report no relay has confirmed yet.
    struct Unconfirmed {
        SteadyTime at;
        /// Number of the message that contains the report.
        std::uint64_t number = 0;
    };

    struct Team {
        Bucket bucket;
        /// Oldest first.
        std::deque<Unconfirmed> unconfirmed;
        /// Admissions that the relay has confirmed, and a majority of the relays may not have. The history contains them.
        std::deque<Unconfirmed> unreplicated;
    };

    /// What a team may still use of its limits at one moment.
    struct Allowance {
        double tokens = 0;
        double burst = 0;
        /// Time until one token is available.
        std::chrono::milliseconds wait{0};
        double visibleShare = 0;
        /// Number of further admissions that may be unconfirmed.
        double remainingUnconfirmed = 0;
    };

    bool isWindowed() const;
    bool mustWaitForKnowledge(const std::string &name, const TeamRate &fleetRate, bool hasWaited);
    bool mustWaitForConfirmation(const std::string &name, const TeamRate &fleetRate);
    void waitForKnowledge(std::unique_lock<std::mutex> &lock, const std::string &name, const TeamRate &fleetRate, SteadyTime deadline);
    /// Age of this VM's knowledge if it lost its stream a short time ago.
    std::optional<std::chrono::milliseconds> ageAfterLoss(const AdmissionHistory::View &view) const;
    /// The team's use of its limit in the whole fleet, as far as it is known here.
    double lastKnownUse(const std::string &name, const Team &team, const TeamRate &fleetRate, const AdmissionHistory::View &view);
    /// Whether one request may be admitted by what was known at the loss of the stream.
    bool isAdmissibleAfterLoss(const std::string &name, const Team &team, const TeamRate &fleetRate, const AdmissionHistory::View &view);
    AdmissionHistory::View view() const;
    Team &teamOf(const std::string &name, SteadyTime now);
    /// The smaller of the bucket's and the window's allowance, or only one of them where the other doesn't apply.
    Allowance allowanceOf(const std::string &name, const TeamRate &fleetRate, const AdmissionHistory::View &view);
    Allowance allowanceInBucket(Bucket &bucket, const TeamRate &fleetRate, const AdmissionHistory::View &view) const;
    Allowance allowanceInWindow(const std::string &name, const Team &team, const TeamRate &fleetRate, const AdmissionHistory::View &view);
    /// Number of requests that this VM may still admit in the window that ends now.
    double remainingInWindow(const std::string &name, const Team &team, const TeamRate &fleetRate, const AdmissionHistory::View &view);
    RateDecision grant(const std::string &name, const TeamRate &fleetRate, const Allowance &allowance, const AdmissionHistory::View &view);
    /// The values on which a decision rests, as text for the log.
    std::string detailsOf(const std::string &name, const Allowance &allowance, const TeamRate &fleetRate) const;

    const Options options;
    const Hooks hooks;
    mutable std::mutex mutex;
    std::condition_variable confirmationReceived;
    AdmissionHistory history;
    std::map<std::string, Team> teams;
    /// When the latest message was sent whose admissions a majority of the relays has.
    SteadyTime replicatedUntil;
    /// Number of requests that wait for a connection.
    int waitingForKnowledge = 0;
    /// When requests that waited for the present connection may be decided. Empty until one of them has noticed the connection.
    std::optional<SteadyTime> releasedAt;
};

} // namespace Hyssophall
