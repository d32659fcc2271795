#include "process/relay/reportedadmissions.h"

#include "process/relay/admissionmessages.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Hyssophall {

ReportedAdmissions::ReportedAdmissions(std::chrono::milliseconds window)
    : window(window)
{
}

void ReportedAdmissions::add(const std::string &vm, const RelayMessages::Update &update, const ReportMark &mark)
{
    if (this->window.count() == 0) {
        return;
    }
    while (!this->admissions.empty() && this->admissions.front().mark.at < mark.at - this->window) {
        this->admissions.pop_front();
    }
    for (const RelayMessages::UnreportedAdmissions &message : update.unreported()) {
        const UnreportedAdmissions unreported = decodeUnreported(message);
        for (const std::pair<const std::string, std::vector<AdmissionRecord::Admissions>> &entry : unreported.admitted) {
            for (const AdmissionRecord::Admissions &admitted : entry.second) {
                this->admissions.push_back({mark, vm, entry.first, mark.at - admitted.age, admitted.count});
            }
        }
    }
    for (const RelayMessages::TeamUse &use : update.teams()) {
        this->admissions.push_back({mark, vm, use.team(), mark.at, use.admitted()});
    }
}

std::vector<UnreportedAdmissions> ReportedAdmissions::after(const ReportMark &known, const std::set<std::string> &present, SteadyTime now) const
{
    const std::chrono::milliseconds fromAge
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::min<SteadyTime::duration>(now - known.at, this->window));
    std::map<std::string, UnreportedAdmissions> entries;
    for (const std::string &vm : present) {
        entries[vm] = {vm, fromAge, {}, 1, false};
    }
    for (const Admissions &each : this->admissions) {
        if (each.mark.number <= known.number) {
            continue;
        }
        const bool hasLeft = !present.contains(each.vm);
        const std::chrono::milliseconds age = std::chrono::duration_cast<std::chrono::milliseconds>(now - each.at);
        // What a VM admitted before it reached this relay may be older than the other relay's latest message.
        UnreportedAdmissions &entry = entries.try_emplace(each.vm, UnreportedAdmissions{each.vm, fromAge, {}, 1, hasLeft}).first->second;
        entry.fromAge = std::max(entry.fromAge, age);
        entry.admitted[each.team].push_back({age, each.count});
    }
    std::vector<UnreportedAdmissions> result;
    for (std::pair<const std::string, UnreportedAdmissions> &entry : entries) {
        result.push_back(std::move(entry.second));
    }
    return result;
}

} // namespace Hyssophall
