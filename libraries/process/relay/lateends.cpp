#include "process/relay/lateends.h"

#include "process/health/instanceselector.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// Another relay holds starts back for 150 ms; the rest allows for a busy relay.
constexpr std::chrono::milliseconds endDelay{400};

} // namespace

void LateEnds::mark(Stream stream, Outcomes &outcomes, SteadyTime now)
{
    std::map<std::uint32_t, std::uint32_t> &inFlight = this->started[stream];
    for (RelayMessages::InstanceOutcomes &each : outcomes) {
        const std::uint32_t begun = inFlight[each.instance()] + each.started();
        const std::uint32_t ended = InstanceSelector::endedCount(each);
        const std::uint32_t late = ended - std::min(ended, begun);
        if (late > 0) {
            each.set_ended_late(late);
            this->pending.push_back({now + endDelay, stream, each.instance(), late});
        }
        if (begun > ended) {
            inFlight[each.instance()] = begun - ended;
        } else {
            inFlight.erase(each.instance());
        }
    }
}

void LateEnds::endStream(Stream stream)
{
    this->started.erase(stream);
    for (Pending &each : this->pending) {
        each.stream = each.stream == stream ? nullptr : each.stream;
    }
}

std::vector<LateEnds::Due> LateEnds::takeDue(SteadyTime now)
{
    std::vector<Due> due;
    for (; !this->pending.empty() && this->pending.front().dueAt <= now; this->pending.pop_front()) {
        Due &next = due.emplace_back();
        next.stream = this->pending.front().stream;
        RelayMessages::InstanceOutcomes &outcomes = *next.update.add_outcomes();
        outcomes.set_instance(this->pending.front().instance);
        outcomes.set_neutral(this->pending.front().count);
    }
    return due;
}

} // namespace Hyssophall
