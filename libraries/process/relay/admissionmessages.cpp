#include "process/relay/admissionmessages.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace Hyssophall {

namespace Messages = hyssophall::relay::v1;

Messages::AdmissionRecord encodeAdmissions(const AdmissionRecord &record)
{
    Messages::AdmissionRecord message;
    for (const AdmissionRecord::VisiblePeriod &heard : record.visiblePeriods) {
        Messages::HeardPeriod &period = *message.add_heard();
        period.set_from_age_milliseconds(static_cast<std::uint32_t>(heard.fromAge.count()));
        period.set_to_age_milliseconds(static_cast<std::uint32_t>(heard.toAge.count()));
        period.set_share(heard.share);
    }
    for (const std::pair<const std::string, std::vector<AdmissionRecord::Admissions>> &entry : record.admitted) {
        Messages::TeamAdmissions &team = *message.add_teams();
        team.set_team(entry.first);
        for (const AdmissionRecord::Admissions &admitted : entry.second) {
            team.add_ages_milliseconds(static_cast<std::uint32_t>(admitted.age.count()));
            team.add_counts(admitted.count);
        }
    }
    return message;
}

AdmissionRecord decodeAdmissions(const Messages::AdmissionRecord &message)
{
    AdmissionRecord record;
    for (const Messages::HeardPeriod &period : message.heard()) {
        record.visiblePeriods.push_back(
            {std::chrono::milliseconds(period.from_age_milliseconds()), std::chrono::milliseconds(period.to_age_milliseconds()), period.share()});
    }
    for (const Messages::TeamAdmissions &team : message.teams()) {
        std::vector<AdmissionRecord::Admissions> &admitted = record.admitted[team.team()];
        const int count = std::min(team.ages_milliseconds_size(), team.counts_size());
        for (int number = 0; number < count; ++number) {
            admitted.push_back({std::chrono::milliseconds(team.ages_milliseconds(number)), team.counts(number)});
        }
    }
    return record;
}

} // namespace Hyssophall
