#pragma once

#include "process/limits/admissionhistory.h"
#include "process/relay/updatebuffer.h"

#include <chrono>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace Hyssophall {

/// The admissions that a relay's own VMs have reported to it in the last window, in the order of their arrival, so that another relay that was cut off
/// can be told those that it lacks. Not thread-safe.
class ReportedAdmissions
{
public:
    /// Keeps admissions for @p window; none if it is zero.
    explicit ReportedAdmissions(std::chrono::milliseconds window);

    /// Adds the admissions in @p update of @p vm, which arrived at @p mark.
    void add(const std::string &vm, const RelayMessages::Update &update, const ReportMark &mark);

    /// What arrived after @p known, one entry for each VM. VMs that aren't in @p present have left this relay; those that are in it have an entry also
    /// if they reported no admission.
    std::vector<UnreportedAdmissions> after(const ReportMark &known, const std::set<std::string> &present, SteadyTime now) const;

private:
    struct Admissions {
        ReportMark mark;
        std::string vm;
        std::string team;
        /// When they were admitted, as far as it is known.
        SteadyTime at;
        std::uint32_t count = 0;
    };

    const std::chrono::milliseconds window;
    /// Oldest mark first.
    std::deque<Admissions> admissions;
};

} // namespace Hyssophall
