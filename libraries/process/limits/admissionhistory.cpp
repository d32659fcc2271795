#include "process/limits/admissionhistory.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Hyssophall {

namespace {

/// Fine enough that the limit is given back evenly, and few enough to be added up for each request.
constexpr int slotsOfWindow = 50;
/// A share that changes by less goes on with the smaller one.
constexpr double notableChange = 0.1;

std::chrono::milliseconds wholeMilliseconds(SteadyTime::duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

AdmissionHistory::AdmissionHistory(std::chrono::milliseconds length, SteadyTime began)
    : length(length)
    , slotLength(length / slotsOfWindow)
    , began(began)
{
}

void AdmissionHistory::add(const std::string &team, std::uint32_t count, SteadyTime now)
{
    Slots &slots = this->teams[team];
    if (slots.empty() || now - slots.back().began >= this->slotLength) {
        slots.push_back({now, 0});
    }
    slots.back().admitted += count;
    this->forgetOld(slots, now);
}

void AdmissionHistory::noteHeard(SteadyTime from, SteadyTime to, double share)
{
    while (!this->heard.empty() && this->heard.front().to <= to - this->length && this->heard.size() > 1) {
        this->heard.pop_front();
    }
    if (!this->heard.empty() && from <= this->heard.back().to) {
        Period &last = this->heard.back();
        if (std::abs(share - last.share) <= notableChange * last.share) {
            last.to = std::max(last.to, to);
            last.share = std::min(last.share, share);
            return;
        }
        from = last.to;
    }
    if (to >= from) {
        this->heard.push_back({from, to, share});
    }
}

double AdmissionHistory::admitted(const std::string &team, SteadyTime now)
{
    const auto found = this->teams.find(team);
    if (found == this->teams.end()) {
        return 0;
    }
    this->forgetOld(found->second, now);
    double sum = 0;
    for (const Slot &slot : found->second) {
        sum += slot.admitted;
    }
    return sum;
}

double AdmissionHistory::charged(const std::string &team, const TeamRate &whole, const View &view)
{
    Slots &slots = this->teams[team];
    this->forgetOld(slots, view.now);
    return this->chargedBetween(slots, whole, view, view.now - this->length - this->slotLength, view.now);
}

std::chrono::milliseconds AdmissionHistory::timeUntilFreed(double admissions, const std::string &team, const TeamRate &whole, const View &view)
{
    const Slots &slots = this->teams[team];
    double freed = 0;
    SteadyTime end = view.now - this->length;
    while (freed < admissions && end < view.now) {
        freed += this->chargedBetween(slots, whole, view, end, end + this->slotLength);
        end += this->slotLength;
    }
    return wholeMilliseconds(end - (view.now - this->length));
}

std::chrono::milliseconds AdmissionHistory::knownTime(SteadyTime now) const
{
    SteadyTime::duration known{0};
    this->visitPeriods(now - this->length, now, [this, &known](const Period &period) {
        known += period.share > 0 ? period.to - period.from : std::max(SteadyTime::duration(0), period.to - std::max(period.from, this->began));
    });
    return wholeMilliseconds(known);
}

AdmissionRecord AdmissionHistory::record(SteadyTime now) const
{
    AdmissionRecord record;
    for (const Period &period : this->heard) {
        if (period.to > now - this->length) {
            record.heard.push_back({wholeMilliseconds(now - period.from), wholeMilliseconds(now - period.to), period.share});
        }
    }
    for (const std::pair<const std::string, Slots> &entry : this->teams) {
        for (const Slot &slot : entry.second) {
            if (slot.admitted > 0 && slot.began > now - this->length) {
                record.admitted[entry.first].push_back({wholeMilliseconds(now - slot.began), static_cast<std::uint32_t>(std::lround(slot.admitted))});
            }
        }
    }
    return record;
}

void AdmissionHistory::fillGaps(const AdmissionRecord &record, SteadyTime now)
{
    for (const Period &gap : this->gaps(now)) {
        for (const AdmissionRecord::Heard &other : record.heard) {
            const Period filled{std::max(gap.from, now - other.fromAge), std::min(gap.to, now - other.toAge), other.share};
            if (filled.from < filled.to && filled.share > 0) {
                this->takeOver(record, filled, now);
            }
        }
    }
}

void AdmissionHistory::takeOver(const AdmissionRecord &record, const Period &period, SteadyTime now)
{
    // What was noted as heard by nobody gives way to what another one heard.
    std::deque<Period> remaining;
    for (const Period &each : this->heard) {
        if (each.share > 0 || each.to <= period.from || each.from >= period.to) {
            remaining.push_back(each);
            continue;
        }
        if (each.from < period.from) {
            remaining.push_back({each.from, period.from, 0});
        }
        if (each.to > period.to) {
            remaining.push_back({period.to, each.to, 0});
        }
    }
    const auto next = std::find_if(remaining.begin(), remaining.end(), [&period](const Period &each) { return each.from >= period.to; });
    remaining.insert(next, period);
    this->heard = std::move(remaining);
    for (const std::pair<const std::string, std::vector<AdmissionRecord::Admitted>> &entry : record.admitted) {
        Slots &slots = this->teams[entry.first];
        for (const AdmissionRecord::Admitted &admitted : entry.second) {
            const SteadyTime at = now - admitted.age;
            if (at >= period.from && at < period.to) {
                const auto later = std::find_if(slots.begin(), slots.end(), [at](const Slot &slot) { return slot.began > at; });
                slots.insert(later, {at, static_cast<double>(admitted.count)});
            }
        }
    }
}

void AdmissionHistory::forgetOld(Slots &slots, SteadyTime now) const
{
    while (!slots.empty() && slots.front().began + this->slotLength <= now - this->length) {
        slots.pop_front();
    }
}

double AdmissionHistory::chargedBetween(const Slots &slots, const TeamRate &whole, const View &view, SteadyTime from, SteadyTime to) const
{
    double sum = 0;
    this->visitPeriods(from, to, [&slots, &view, &sum](const Period &period) {
        const double part = period.share > view.visibleShare ? view.visibleShare / period.share : 1;
        for (const Slot &slot : slots) {
            if (slot.began >= period.from && slot.began < period.to) {
                sum += slot.admitted * part;
            }
        }
    });
    // What was heard at this very moment.
    if (to == view.now && !slots.empty() && slots.back().began >= to) {
        sum += slots.back().admitted;
    }
    return sum + this->unheardBetween(whole, view, std::max(from, view.now - this->length), to);
}

double AdmissionHistory::unheardBetween(const TeamRate &whole, const View &view, SteadyTime from, SteadyTime to) const
{
    const std::chrono::duration<double> window = this->length;
    const double limitPerSecond = whole.rate + whole.burst / window.count();
    double unheard = 0;
    this->visitPeriods(from, to, [this, &view, &unheard](const Period &period) {
        // Since it began, the holder knows at least what it admitted itself.
        const std::chrono::duration<double> before = std::max(SteadyTime::duration(0), std::min(period.to, this->began) - period.from);
        const std::chrono::duration<double> since = std::max(SteadyTime::duration(0), period.to - std::max(period.from, this->began));
        unheard += std::max(0.0, view.visibleShare - period.share) * before.count();
        unheard += std::max(0.0, view.visibleShare - std::max(period.share, view.ownShare)) * since.count();
    });
    return unheard * limitPerSecond;
}

void AdmissionHistory::visitPeriods(SteadyTime from, SteadyTime to, const std::function<void(const Period &)> &visit) const
{
    SteadyTime reached = from;
    for (const Period &period : this->heard) {
        if (period.to <= reached || period.from >= to) {
            continue;
        }
        if (period.from > reached) {
            visit({reached, period.from, 0});
        }
        const SteadyTime end = std::min(period.to, to);
        visit({std::max(reached, period.from), end, period.share});
        reached = end;
    }
    if (reached < to) {
        // The latest share holds until another one is noted.
        const bool isHeardSince = !this->heard.empty() && this->heard.back().to <= reached;
        visit({reached, to, isHeardSince ? this->heard.back().share : 0});
    }
}

std::vector<AdmissionHistory::Period> AdmissionHistory::gaps(SteadyTime now) const
{
    std::vector<Period> found;
    this->visitPeriods(now - this->length, now, [&found](const Period &period) {
        if (period.share <= 0) {
            found.push_back(period);
        }
    });
    return found;
}

} // namespace Hyssophall
