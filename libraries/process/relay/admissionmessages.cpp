#include "process/relay/admissionmessages.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Hyssophall {

namespace Messages = hyssophall::relay::v1;

namespace {

using TeamAdmissions = std::map<std::string, std::vector<AdmissionRecord::Admissions>>;
using TeamMessages = google::protobuf::RepeatedPtrField<Messages::TeamAdmissions>;

void encodeTeams(const TeamAdmissions &admitted, TeamMessages &messages)
{
    for (const std::pair<const std::string, std::vector<AdmissionRecord::Admissions>> &entry : admitted) {
        Messages::TeamAdmissions &team = *messages.Add();
        team.set_team(entry.first);
        for (const AdmissionRecord::Admissions &each : entry.second) {
            team.add_ages_milliseconds(static_cast<std::uint32_t>(each.age.count()));
            team.add_counts(each.count);
        }
    }
}

TeamAdmissions decodeTeams(const TeamMessages &messages)
{
    TeamAdmissions teams;
    for (const Messages::TeamAdmissions &team : messages) {
        std::vector<AdmissionRecord::Admissions> &admitted = teams[team.team()];
        const int count = std::min(team.ages_milliseconds_size(), team.counts_size());
        for (int number = 0; number < count; ++number) {
            admitted.push_back({std::chrono::milliseconds(team.ages_milliseconds(number)), team.counts(number)});
        }
    }
    return teams;
}

} // namespace

Messages::AdmissionRecord encodeAdmissions(const AdmissionRecord &record)
{
    Messages::AdmissionRecord message;
    for (const AdmissionRecord::VisiblePeriod &heard : record.visiblePeriods) {
        Messages::VisiblePeriod &period = *message.add_heard();
        period.set_from_age_milliseconds(static_cast<std::uint32_t>(heard.fromAge.count()));
        period.set_to_age_milliseconds(static_cast<std::uint32_t>(heard.toAge.count()));
        period.set_share(heard.share);
    }
    encodeTeams(record.admitted, *message.mutable_teams());
    return message;
}

AdmissionRecord decodeAdmissions(const Messages::AdmissionRecord &message)
{
    AdmissionRecord record;
    for (const Messages::VisiblePeriod &period : message.heard()) {
        record.visiblePeriods.push_back(
            {std::chrono::milliseconds(period.from_age_milliseconds()), std::chrono::milliseconds(period.to_age_milliseconds()), period.share()});
    }
    record.admitted = decodeTeams(message.teams());
    return record;
}

Messages::UnreportedAdmissions encodeUnreported(const UnreportedAdmissions &unreported)
{
    Messages::UnreportedAdmissions message;
    message.set_vm(unreported.vm);
    message.set_from_age_milliseconds(static_cast<std::uint32_t>(unreported.fromAge.count()));
    encodeTeams(unreported.admitted, *message.mutable_teams());
    message.set_vms(unreported.vms);
    message.set_has_left(unreported.hasLeft);
    return message;
}

UnreportedAdmissions decodeUnreported(const Messages::UnreportedAdmissions &message)
{
    return {message.vm(),
        std::chrono::milliseconds(message.from_age_milliseconds()),
        decodeTeams(message.teams()),
        std::max<std::uint32_t>(1, message.vms()),
        message.has_left()};
}

} // namespace Hyssophall
