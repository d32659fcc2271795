#include "process/limits/admissionhistory.h"

namespace Hyssophall {

namespace {

/// Fine enough that the limit is given back evenly, and few enough to be added up for each request.
constexpr int slotsOfWindow = 50;

} // namespace

AdmissionHistory::AdmissionHistory(std::chrono::milliseconds length)
    : length(length)
    , slotLength(length / slotsOfWindow)
{
}

void AdmissionHistory::add(const std::string &team, std::uint32_t count, SteadyTime now)
{
    Slots &slots = this->teams[team];
    if (slots.empty() || now - slots.back().began >= this->slotLength) {
        slots.push_back({now, 0});
    }
    slots.back().admitted += count;
    this->dropOld(slots, now);
}

double AdmissionHistory::admitted(const std::string &team, SteadyTime now)
{
    const auto found = this->teams.find(team);
    if (found == this->teams.end()) {
        return 0;
    }
    this->dropOld(found->second, now);
    double sum = 0;
    for (const Slot &slot : found->second) {
        sum += slot.admitted;
    }
    return sum;
}

void AdmissionHistory::visit(SteadyTime now, const std::function<void(const std::string &, double)> &visitor)
{
    for (auto team = this->teams.begin(); team != this->teams.end();) {
        const double sum = this->admitted(team->first, now);
        if (sum <= 0) {
            team = this->teams.erase(team);
            continue;
        }
        visitor(team->first, sum);
        ++team;
    }
}

void AdmissionHistory::dropOld(Slots &slots, SteadyTime now) const
{
    while (!slots.empty() && slots.front().began + this->slotLength <= now - this->length) {
        slots.pop_front();
    }
}

} // namespace Hyssophall
