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

/// What an AdmissionHistory holds, with ages in place of times, so that another VM can take it over.
struct AdmissionRecord {
    struct Heard {
        std::chrono::milliseconds fromAge{0};
        std::chrono::milliseconds toAge{0};
        /// Share of the fleet's VMs that was heard.
        double share = 0;
    };
    struct Admitted {
        std::chrono::milliseconds age{0};
        std::uint32_t count = 0;
    };

    /// Oldest first, and without overlaps.
    std::vector<Heard> heard;
    /// By team, oldest first.
    std::map<std::string, std::vector<Admitted>> admitted;
};

/**
 * What each team was admitted over the last window, and what share of the fleet's VMs was heard when.
 *
 * A VM that hears a part of the fleet is owed that part of the limit, and charged with the same part of what it heard while it heard more. What
 * it couldn't hear counts as if the team had used all of its limit there. Not thread-safe.
 */
class AdmissionHistory
{
public:
    /// What a VM hears at present, by which it is charged.
    struct View {
        /// Share of the fleet's VMs that is heard, and what part of the fleet this VM is.
        double visibleShare = 1;
        double ownShare = 1;
        SteadyTime now;
    };

    /// @p length is that of the window. From @p began on, the holder counts what it admits itself.
    AdmissionHistory(std::chrono::milliseconds length, SteadyTime began);

    /// Counts admissions that were heard of at @p now.
    void add(const std::string &team, std::uint32_t count, SteadyTime now);

    /// Notes that @p share of the fleet's VMs was heard all the time from @p from to @p to, and at least until something else is noted.
    void noteHeard(SteadyTime from, SteadyTime to, double share);

    /// Admissions of @p team in the window that ends at @p now.
    double admitted(const std::string &team, SteadyTime now);

    /// What has to be counted against a team's part of the limit.
    double charged(const std::string &team, const TeamRate &whole, const View &view);

    /// Time until @p admissions of what is charged have left the window.
    std::chrono::milliseconds timeUntilFreed(double admissions, const std::string &team, const TeamRate &whole, const View &view);

    /// How much of the window that ends at @p now is known: the time since @p began, and times at which others were heard.
    std::chrono::milliseconds knownTime(SteadyTime now) const;

    AdmissionRecord record(SteadyTime now) const;

    /// Takes over what @p record holds of times at which nobody was heard here.
    void fillGaps(const AdmissionRecord &record, SteadyTime now);

private:
    struct Slot {
        SteadyTime began;
        double admitted = 0;
    };
    struct Period {
        SteadyTime from;
        SteadyTime to;
        double share = 0;
    };
    using Slots = std::deque<Slot>;

    void forgetOld(Slots &slots, SteadyTime now) const;
    double chargedBetween(const Slots &slots, const TeamRate &whole, const View &view, SteadyTime from, SteadyTime to) const;
    double unheardBetween(const TeamRate &whole, const View &view, SteadyTime from, SteadyTime to) const;
    /// Calls @p visit with each stretch between @p from and @p to and the share that was heard in it, 0 for nobody.
    void visitPeriods(SteadyTime from, SteadyTime to, const std::function<void(const Period &)> &visit) const;
    std::vector<Period> gaps(SteadyTime now) const;
    void takeOver(const AdmissionRecord &record, const Period &period, SteadyTime now);

    const std::chrono::milliseconds length;
    const std::chrono::milliseconds slotLength;
    const SteadyTime began;
    /// Oldest first, without overlaps.
    std::deque<Period> heard;
    /// Oldest first.
    std::map<std::string, Slots> teams;
};

} // namespace Hyssophall
