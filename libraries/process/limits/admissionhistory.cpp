#include "process/limits/admissionhistory.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace Hyssophall {

namespace {

/// Number of slots in a window: enough that expired admissions free the limit evenly, and few enough to be summed for each request.
constexpr int slotsOfWindow = 50;
/// Relative change of the visible share that starts a new period. A smaller change extends the period, and the smaller of the two shares applies to it.
constexpr double notableShareChange = 0.1;

std::chrono::milliseconds wholeMilliseconds(SteadyTime::duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

AdmissionHistory::AdmissionHistory(std::chrono::milliseconds length, SteadyTime startTime)
    : length(length)
    , slotLength(length / slotsOfWindow)
    , startTime(startTime)
{
}

void AdmissionHistory::add(const std::string &team, std::uint32_t count, SteadyTime at)
{
    Slots &slots = this->teams[team];
    const auto later = std::find_if(slots.rbegin(), slots.rend(), [at](const Slot &slot) { return slot.start <= at; }).base();
    if (later != slots.begin() && at - std::prev(later)->start < this->slotLength) {
        std::prev(later)->admitted += count;
    } else {
        slots.insert(later, {at, static_cast<double>(count)});
    }
    this->removeExpired(slots, slots.back().start);
}

void AdmissionHistory::recordVisibleShare(SteadyTime from, SteadyTime to, double share)
{
    while (!this->visiblePeriods.empty() && this->visiblePeriods.front().to <= to - this->length && this->visiblePeriods.size() > 1) {
        this->visiblePeriods.pop_front();
    }
    if (!this->visiblePeriods.empty() && from <= this->visiblePeriods.back().to) {
        Period &last = this->visiblePeriods.back();
        if (std::abs(share - last.share) <= notableShareChange * last.share) {
            last.to = std::max(last.to, to);
            last.share = std::min(last.share, share);
            return;
        }
        from = last.to;
    }
    if (to >= from) {
        this->visiblePeriods.push_back({from, to, share});
    }
}

double AdmissionHistory::admitted(const std::string &team, SteadyTime now)
{
    const auto found = this->teams.find(team);
    if (found == this->teams.end()) {
        return 0;
    }
    this->removeExpired(found->second, now);
    double sum = 0;
    for (const Slot &slot : found->second) {
        sum += slot.admitted;
    }
    return sum;
}

double AdmissionHistory::chargedAdmissions(const std::string &team, const TeamRate &fleetRate, const View &view)
{
    Slots &slots = this->teams[team];
    this->removeExpired(slots, view.now);
    return this->chargedAdmissionsBetween(slots, fleetRate, view, view.now - this->length - this->slotLength, view.now);
}

std::chrono::milliseconds AdmissionHistory::timeUntilFreed(double admissions, const std::string &team, const TeamRate &fleetRate, const View &view)
{
    const Slots &slots = this->teams[team];
    double freed = 0;
    SteadyTime end = view.now - this->length;
    while (freed < admissions && end < view.now) {
        freed += this->chargedAdmissionsBetween(slots, fleetRate, view, end, end + this->slotLength);
        end += this->slotLength;
    }
    return wholeMilliseconds(end - (view.now - this->length));
}

std::chrono::milliseconds AdmissionHistory::coveredTime(SteadyTime now) const
{
    SteadyTime::duration covered{0};
    this->forEachPeriod(now - this->length, now, [this, &covered](const Period &period) {
        covered += period.share > 0 ? period.to - period.from : std::max(SteadyTime::duration(0), period.to - std::max(period.from, this->startTime));
    });
    return wholeMilliseconds(covered);
}

AdmissionRecord AdmissionHistory::record(SteadyTime now) const
{
    AdmissionRecord record;
    for (const Period &period : this->visiblePeriods) {
        if (period.to > now - this->length) {
            record.visiblePeriods.push_back({wholeMilliseconds(now - period.from), wholeMilliseconds(now - period.to), period.share});
        }
    }
    for (const std::pair<const std::string, Slots> &entry : this->teams) {
        for (const Slot &slot : entry.second) {
            if (slot.admitted > 0 && slot.start > now - this->length) {
                record.admitted[entry.first].push_back({wholeMilliseconds(now - slot.start), static_cast<std::uint32_t>(std::lround(slot.admitted))});
            }
        }
    }
    return record;
}

void AdmissionHistory::limitVisibleShare(SteadyTime from, double share)
{
    std::deque<Period> limited;
    for (const Period &period : this->visiblePeriods) {
        if (period.to < from || period.share <= share) {
            limited.push_back(period);
            continue;
        }
        if (period.from < from) {
            limited.push_back({period.from, from, period.share});
        }
        limited.push_back({std::max(period.from, from), period.to, share});
    }
    this->visiblePeriods = std::move(limited);
}

void AdmissionHistory::adopt(const AdmissionRecord &record, SteadyTime now)
{
    for (const AdmissionRecord::VisiblePeriod &other : record.visiblePeriods) {
        const Period adopted{std::max(now - this->length, now - other.fromAge), now - other.toAge, other.share};
        if (adopted.from >= adopted.to || adopted.share <= 0) {
            continue;
        }
        for (std::pair<const std::string, Slots> &entry : this->teams) {
            std::erase_if(entry.second, [&adopted](const Slot &slot) { return slot.start >= adopted.from && slot.start < adopted.to; });
        }
        this->importPeriod(record, adopted, now);
    }
}

bool AdmissionHistory::covers(const AdmissionRecord &record, SteadyTime::duration age)
{
    return std::any_of(record.visiblePeriods.begin(), record.visiblePeriods.end(), [age](const AdmissionRecord::VisiblePeriod &period) {
        return period.share > 0 && age <= period.fromAge && age > period.toAge;
    });
}

void AdmissionHistory::fillGaps(const AdmissionRecord &record, SteadyTime now, SteadyTime until)
{
    for (const Period &gap : this->gaps(now)) {
        for (const AdmissionRecord::VisiblePeriod &other : record.visiblePeriods) {
            const Period filled{std::max(gap.from, now - other.fromAge), std::min({gap.to, now - other.toAge, until}), other.share};
            if (filled.from < filled.to && filled.share > 0) {
                this->importPeriod(record, filled, now);
            }
        }
    }
}

UnreportedAdmissions AdmissionHistory::addUnreported(const UnreportedAdmissions &unreported, double share, SteadyTime now)
{
    SteadyTime from = now - std::min(unreported.fromAge, this->length + this->slotLength);
    std::erase_if(this->reportedUntil,
        [this, now](const std::pair<const std::string, SteadyTime> &entry) { return entry.second <= now - this->length - this->slotLength; });
    if (!unreported.vm.empty()) {
        const auto known = this->reportedUntil.find(unreported.vm);
        from = known == this->reportedUntil.end() ? from : std::max(from, known->second);
    }
    UnreportedAdmissions added{unreported.vm, wholeMilliseconds(now - from), {}, unreported.vms, unreported.hasLeft};
    SteadyTime latest = from;
    for (const std::pair<const std::string, std::vector<AdmissionRecord::Admissions>> &entry : unreported.admitted) {
        for (const AdmissionRecord::Admissions &admitted : entry.second) {
            const SteadyTime at = now - admitted.age;
            if (at >= from) {
                this->add(entry.first, admitted.count, at);
                added.admitted[entry.first].push_back(admitted);
                latest = std::max(latest, at);
            }
        }
    }
    if (!unreported.vm.empty()) {
        this->setReportedUntil(unreported.vm, unreported.hasLeft ? latest : now);
    }
    if (!unreported.hasLeft) {
        this->addVisibleShare(from, std::min(now, this->visibleUntil()), unreported.vms * share);
    }
    return added;
}

void AdmissionHistory::setReportedUntil(const std::string &vm, SteadyTime until)
{
    SteadyTime &known = this->reportedUntil[vm];
    known = std::max(known, until);
}

SteadyTime AdmissionHistory::visibleUntil() const
{
    return this->visiblePeriods.empty() ? this->startTime : this->visiblePeriods.back().to;
}

void AdmissionHistory::addVisibleShare(SteadyTime from, SteadyTime to, double share)
{
    // Whole slots, so that the records of many VMs don't split the window into many short periods.
    const SteadyTime firstSlot = from + (this->slotLength - from.time_since_epoch() % this->slotLength) % this->slotLength;
    const SteadyTime end = to - to.time_since_epoch() % this->slotLength;
    if (firstSlot >= end) {
        return;
    }
    std::deque<Period> extended;
    const auto append = [&extended](SteadyTime begin, SteadyTime limit, double visible) {
        if (begin >= limit) {
            return;
        }
        if (!extended.empty() && extended.back().to == begin && extended.back().share == visible) {
            extended.back().to = limit;
        } else {
            extended.push_back({begin, limit, visible});
        }
    };
    const SteadyTime first = std::min(firstSlot, this->visiblePeriods.empty() ? firstSlot : this->visiblePeriods.front().from);
    this->forEachPeriod(first, std::max(end, this->visibleUntil()), [&append, firstSlot, end, share](const Period &period) {
        append(period.from, std::min(period.to, firstSlot), period.share);
        append(std::max(period.from, firstSlot), std::min(period.to, end), std::min(1.0, period.share + share));
        append(std::max(period.from, end), period.to, period.share);
    });
    if (!this->visiblePeriods.empty() && this->visiblePeriods.back().from == this->visiblePeriods.back().to) {
        // An empty period marks a new connection. Its share applies from then on.
        extended.push_back(this->visiblePeriods.back());
    }
    this->visiblePeriods = std::move(extended);
}

void AdmissionHistory::importPeriod(const AdmissionRecord &record, const Period &period, SteadyTime now)
{
    // Cut the new period out of the recorded ones: the other VM's data replaces them.
    std::deque<Period> remaining;
    for (const Period &each : this->visiblePeriods) {
        if (each.to <= period.from || each.from >= period.to) {
            remaining.push_back(each);
            continue;
        }
        if (each.from < period.from) {
            remaining.push_back({each.from, period.from, each.share});
        }
        if (each.to > period.to) {
            remaining.push_back({period.to, each.to, each.share});
        }
    }
    const auto next = std::find_if(remaining.begin(), remaining.end(), [&period](const Period &each) { return each.from >= period.to; });
    remaining.insert(next, period);
    this->visiblePeriods = std::move(remaining);
    for (const std::pair<const std::string, std::vector<AdmissionRecord::Admissions>> &entry : record.admitted) {
        Slots &slots = this->teams[entry.first];
        for (const AdmissionRecord::Admissions &admitted : entry.second) {
            const SteadyTime at = now - admitted.age;
            if (at >= period.from && at < period.to) {
                const auto later = std::find_if(slots.begin(), slots.end(), [at](const Slot &slot) { return slot.start > at; });
                slots.insert(later, {at, static_cast<double>(admitted.count)});
            }
        }
    }
}

void AdmissionHistory::removeExpired(Slots &slots, SteadyTime now) const
{
    while (!slots.empty() && slots.front().start + this->slotLength <= now - this->length) {
        slots.pop_front();
    }
}

double AdmissionHistory::chargedAdmissionsBetween(const Slots &slots, const TeamRate &fleetRate, const View &view, SteadyTime from, SteadyTime to) const
{
    double sum = 0;
    this->forEachPeriod(from, to, [&slots, &view, &sum](const Period &period) {
        const double part = period.share > view.visibleShare ? view.visibleShare / period.share : 1;
        for (const Slot &slot : slots) {
            if (slot.start >= period.from && slot.start < period.to) {
                sum += slot.admitted * part;
            }
        }
    });
    // The periods above exclude their end, so admissions that became known at this moment are added here.
    if (to == view.now && !slots.empty() && slots.back().start >= to) {
        sum += slots.back().admitted;
    }
    return sum + this->assumedAdmissionsBetween(fleetRate, view, std::max(from, view.now - this->length), to);
}

double AdmissionHistory::assumedAdmissionsBetween(const TeamRate &fleetRate, const View &view, SteadyTime from, SteadyTime to) const
{
    const std::chrono::duration<double> window = this->length;
    const double limitPerSecond = fleetRate.rate + fleetRate.burst / window.count();
    double unseenShareSeconds = 0;
    this->forEachPeriod(from, to, [this, &view, &unseenShareSeconds](const Period &period) {
        // After its start, this VM knows at least its own admissions, so its own share needs no assumption there.
        const std::chrono::duration<double> before = std::max(SteadyTime::duration(0), std::min(period.to, this->startTime) - period.from);
        const std::chrono::duration<double> since = std::max(SteadyTime::duration(0), period.to - std::max(period.from, this->startTime));
        unseenShareSeconds += std::max(0.0, view.visibleShare - period.share) * before.count();
        unseenShareSeconds += std::max(0.0, view.visibleShare - std::max(period.share, view.ownShare)) * since.count();
    });
    return unseenShareSeconds * limitPerSecond;
}

void AdmissionHistory::forEachPeriod(SteadyTime from, SteadyTime to, const std::function<void(const Period &)> &callback) const
{
    SteadyTime reached = from;
    for (const Period &period : this->visiblePeriods) {
        if (period.to <= reached || period.from >= to) {
            continue;
        }
        if (period.from > reached) {
            callback({reached, period.from, 0});
        }
        const SteadyTime end = std::min(period.to, to);
        callback({std::max(reached, period.from), end, period.share});
        reached = end;
    }
    if (reached < to) {
        // The latest recorded share applies until the next one is recorded.
        const bool isLatestInEffect = !this->visiblePeriods.empty() && this->visiblePeriods.back().to <= reached;
        callback({reached, to, isLatestInEffect ? this->visiblePeriods.back().share : 0});
    }
}

std::vector<AdmissionHistory::Period> AdmissionHistory::gaps(SteadyTime now) const
{
    std::vector<Period> found;
    this->forEachPeriod(now - this->length, now, [&found](const Period &period) {
        if (period.share <= 0) {
            found.push_back(period);
        }
    });
    return found;
}

} // namespace Hyssophall
