#pragma once

#include "process/hooks.h"
#include "process/limits/teamrate.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Hyssophall {

/**
 * Copy of an AdmissionHistory for sending to another VM.
 *
 * Times are given as ages, because the steady clocks of two VMs can't be compared.
 */
struct AdmissionRecord {
    /// A period in which the VM received updates from other VMs.
    struct VisiblePeriod {
        std::chrono::milliseconds fromAge{0};
        std::chrono::milliseconds toAge{0};
        /// Share of the fleet's VMs from which updates arrived, from 0 to 1.
        double share = 0;
    };
    /// Admissions of a team in one slot of the history.
    struct Admissions {
        std::chrono::milliseconds age{0};
        std::uint32_t count = 0;
    };

    /// Oldest first, without overlaps.
    std::vector<VisiblePeriod> visiblePeriods;
    /// By name of the team, oldest first.
    std::map<std::string, std::vector<Admissions>> admitted;
};

/// Requests that VMs admitted and that the receiver may not have heard of, up to now.
struct UnreportedAdmissions {
    /// Empty for several VMs whose reports the receiver certainly lacks.
    std::string vm;
    /// Age of the time since which the receiver may lack reports.
    std::chrono::milliseconds fromAge{0};
    /// By name of the team, oldest first.
    std::map<std::string, std::vector<AdmissionRecord::Admissions>> admitted;
    /// Number of VMs whose reports are complete from then on.
    std::uint32_t vms = 1;
    /// The VM has left the sender, which doesn't know what it admitted after that.
    bool hasLeft = false;
};

/**
 * Number of requests of each team that the fleet admitted during the last window, and which share of the fleet's VMs was visible at each time.
 *
 * A VM is visible to this one while its updates arrive here. A VM that sees a part of the fleet may use the same part of each team's limit. From
 * what it learned while it saw more of the fleet, it counts only the share that corresponds to the VMs it sees now. For VMs that it didn't see, it
 * assumes that the team used its limit there in full. SharedRateLimiter decides by this on entry VMs; relays keep one to monitor the use of the
 * limits. Not thread-safe.
 */
class AdmissionHistory
{
public:
    /// Which part of the fleet this VM sees at present.
    struct View {
        /// Share of the fleet's VMs that is visible, this VM included.
        double visibleShare = 1;
        /// Share of the fleet that this VM is by itself: one divided by the number of VMs.
        double ownShare = 1;
        SteadyTime now;
    };

    /// @p length is the length of the window. From @p startTime on, the history contains this VM's own admissions.
    AdmissionHistory(std::chrono::milliseconds length, SteadyTime startTime);

    /// Adds admissions of the time @p at.
    void add(const std::string &team, std::uint32_t count, SteadyTime at);

    /// Records that @p share of the fleet's VMs was visible from @p from to @p to. The share also applies after @p to, until the next call.
    void recordVisibleShare(SteadyTime from, SteadyTime to, double share);

    /// Known admissions of @p team in the window that ends at @p now.
    double admitted(const std::string &team, SteadyTime now);

    /// Admissions to subtract from the visible share of the team's limit in the window that ends at view.now: known ones, scaled to the visible
    /// share, and assumed ones of VMs that weren't visible. @p fleetRate is the team's limit in the whole fleet.
    double chargedAdmissions(const std::string &team, const TeamRate &fleetRate, const View &view);

    /// Time until at least @p admissions of those that chargedAdmissions() counts are older than the window.
    std::chrono::milliseconds timeUntilFreed(double admissions, const std::string &team, const TeamRate &fleetRate, const View &view);

    /// Length of the part of the window for which the history has data: the time since the startTime of the constructor,
    /// and earlier periods with a visible share above 0, which fillGaps() copies from other VMs.
    std::chrono::milliseconds coveredTime(SteadyTime now) const;

    /// Copy of the history for another VM.
    AdmissionRecord record(SteadyTime now) const;

    /// Limits the recorded share from @p from on to @p share: it was recorded before a loss of VMs was noticed.
    void limitVisibleShare(SteadyTime from, double share);

    /// Copies from @p record of another VM what it has about times before @p until at which no other VM was visible here. Other times stay as they are, so
    /// that no admission is counted twice when several VMs send their records.
    void fillGaps(const AdmissionRecord &record, SteadyTime now, SteadyTime until = SteadyTime::max());

    /// Replaces the history by @p record of a relay for all times at which the relay received reports.
    void adopt(const AdmissionRecord &record, SteadyTime now);

    /// Whether the sender of @p record received reports for the time with this age.
    static bool covers(const AdmissionRecord &record, SteadyTime::duration age);

    /// Adds admissions that weren't reported here before. From then on, the VMs count as visible in that time: @p share, the share of the fleet of one VM,
    /// is added to the visible share for each of them. What the same VM has reported for an earlier part of that time isn't counted again. Returns what
    /// was added.
    UnreportedAdmissions addUnreported(const UnreportedAdmissions &unreported, double share, SteadyTime now);

    /// Records that all reports of @p vm up to @p until have arrived.
    void setReportedUntil(const std::string &vm, SteadyTime until);

    /// End of the latest period in which this VM received updates; the startTime of the constructor if there was none.
    SteadyTime visibleUntil() const;

private:
    struct Slot {
        SteadyTime start;
        double admitted = 0;
    };
    struct Period {
        SteadyTime from;
        SteadyTime to;
        double share = 0;
    };
    using Slots = std::deque<Slot>;

    void removeExpired(Slots &slots, SteadyTime now) const;
    double chargedAdmissionsBetween(const Slots &slots, const TeamRate &fleetRate, const View &view, SteadyTime from, SteadyTime to) const;
    /// Admissions to assume for VMs that are visible now and weren't between @p from and @p to.
    double assumedAdmissionsBetween(const TeamRate &fleetRate, const View &view, SteadyTime from, SteadyTime to) const;
    /// Calls @p callback for each period between @p from and @p to with the share that was visible in it, 0 where nothing was recorded.
    void forEachPeriod(SteadyTime from, SteadyTime to, const std::function<void(const Period &)> &callback) const;
    /// Periods of the window in which no other VM was visible.
    std::vector<Period> gaps(SteadyTime now) const;
    /// Adds @p share to the visible share of the whole slots between @p from and @p to.
    void addVisibleShare(SteadyTime from, SteadyTime to, double share);
    /// Replaces what was recorded for @p period by the data of @p record.
    void importPeriod(const AdmissionRecord &record, const Period &period, SteadyTime now);

    const std::chrono::milliseconds length;
    const std::chrono::milliseconds slotLength;
    const SteadyTime startTime;
    /// Oldest first, without overlaps.
    std::deque<Period> visiblePeriods;
    /// By name of the team, oldest slot first.
    std::map<std::string, Slots> teams;
    /// Until when all reports of a VM are known to have arrived.
    std::map<std::string, SteadyTime> reportedUntil;
};

} // namespace Hyssophall
