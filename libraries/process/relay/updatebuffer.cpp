#include "process/relay/updatebuffer.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// A message may be this late if it then contains what is about to be due.
constexpr std::chrono::milliseconds maximumOverrun{20};

void addUp(RelayMessages::InstanceOutcomes &sum, const RelayMessages::InstanceOutcomes &added)
{
    sum.set_instance(added.instance());
    sum.set_started(sum.started() + added.started());
    sum.set_succeeded(sum.succeeded() + added.succeeded());
    sum.set_failed(sum.failed() + added.failed());
    sum.set_rejected(sum.rejected() + added.rejected());
    sum.set_unreachable(sum.unreachable() + added.unreachable());
    sum.set_misaddressed(sum.misaddressed() + added.misaddressed());
    sum.set_neutral(sum.neutral() + added.neutral());
    sum.set_ended_late(sum.ended_late() + added.ended_late());
    sum.set_latency_milliseconds(sum.latency_milliseconds() + added.latency_milliseconds());
    if (added.limit_thousandths() > 0 || added.limit_ended()) {
        sum.set_limit_thousandths(added.limit_thousandths());
        sum.set_limit_ended(added.limit_ended());
    }
}

bool isUrgentOutcome(const RelayMessages::InstanceOutcomes &outcomes)
{
    return outcomes.failed() + outcomes.rejected() + outcomes.unreachable() > 0 || outcomes.limit_thousandths() > 0 || outcomes.limit_ended();
}

} // namespace

UpdateBuffer::UpdateBuffer(Counts counts)
    : counts(counts)
{
}

std::uint64_t UpdateBuffer::add(const RelayMessages::Update &update)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    std::lock_guard<std::mutex> lock(this->mutex);
    this->addCounts(update, now);
    if (update.has_configuration() && update.configuration().version() > this->pending.configuration().version()) {
        *this->pending.mutable_configuration() = update.configuration();
    }
    this->pending.mutable_registrations()->MergeFrom(update.registrations());
    this->pending.mutable_summaries()->MergeFrom(update.summaries());
    this->pending.mutable_lost_requests()->MergeFrom(update.lost_requests());
    for (const std::uint64_t fingerprint : update.answered_requests()) {
        // Many VMs may report the same request at once.
        if (std::find(this->pending.answered_requests().begin(), this->pending.answered_requests().end(), fingerprint)
            == this->pending.answered_requests().end()) {
            this->pending.add_answered_requests(fingerprint);
        }
    }
    this->pending.mutable_relays()->MergeFrom(update.relays());
    this->pending.mutable_vms()->MergeFrom(update.vms());
    this->pending.set_all_vms(this->pending.all_vms() || update.all_vms());
    this->pending.mutable_unreported()->MergeFrom(update.unreported());
    if (update.has_admissions()) {
        *this->pending.mutable_admissions() = update.admissions();
        this->otherSince = this->otherSince.value_or(now);
    }
    if (!update.summaries().empty()) {
        this->otherSince = this->otherSince.value_or(now);
    }
    if (isUrgent(update)) {
        this->urgentSince = this->urgentSince.value_or(now);
    }
    // Waking the receiver's thread for each update would cost more than the messages.
    if (this->wakesAt && !this->isEmpty() && this->dueTime() < *this->wakesAt) {
        this->changed.notify_all();
    }
    return this->sequence + 1;
}

void UpdateBuffer::add(const RelayMessages::Update &update, const ReportMark &mark)
{
    this->add(update);
    std::lock_guard<std::mutex> lock(this->mutex);
    this->latestMark = mark;
}

ReportMark UpdateBuffer::reportedUpTo(std::uint64_t confirmed)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    while (!this->completed.empty() && this->completed.front().sequence <= confirmed) {
        this->confirmedMark = this->completed.front().mark;
        this->completed.pop_front();
    }
    return this->confirmedMark;
}

void UpdateBuffer::addCounts(const RelayMessages::Update &update, SteadyTime now)
{
    for (const RelayMessages::InstanceOutcomes &added : update.outcomes()) {
        addUp(this->outcomes[added.instance()].counts, added);
    }
    for (const RelayMessages::TeamUse &use : update.teams()) {
        TeamUse &sum = this->teams[use.team()];
        sum.admitted += use.admitted();
        sum.isScarce = sum.isScarce || use.scarce();
    }
    for (const RelayMessages::ServiceUse &use : update.services()) {
        RelayMessages::ServiceUse &sum = this->services[use.service()];
        sum.set_requests(sum.requests() + use.requests());
        sum.set_retries(sum.retries() + use.retries());
        sum.set_served(sum.served() + use.served());
        sum.set_unserved(sum.unserved() + use.unserved());
    }
    if (!update.outcomes().empty()) {
        this->outcomesSince = this->outcomesSince.value_or(now);
    }
    if (!update.teams().empty() || !update.services().empty()) {
        this->otherSince = this->otherSince.value_or(now);
    }
}

bool UpdateBuffer::isUrgent(const RelayMessages::Update &update)
{
    const bool hasFailure = std::any_of(update.outcomes().begin(), update.outcomes().end(), isUrgentOutcome);
    const bool hasScarceTeam = std::any_of(update.teams().begin(), update.teams().end(), [](const RelayMessages::TeamUse &use) { return use.scarce(); });
    return hasFailure || hasScarceTeam || update.has_configuration() || !update.registrations().empty() || !update.lost_requests().empty()
        || !update.answered_requests().empty() || !update.vms().empty() || !update.relays().empty() || !update.unreported().empty();
}

void UpdateBuffer::wake()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->wakeRequested = true;
    this->changed.notify_all();
}

void UpdateBuffer::close()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->closed = true;
    this->changed.notify_all();
}

SteadyTime UpdateBuffer::dueTime() const
{
    SteadyTime due = SteadyTime::max();
    if (this->urgentSince) {
        due = std::min(due, *this->urgentSince + this->batchDelay.urgent);
    }
    if (this->otherSince) {
        due = std::min(due, *this->otherSince + this->batchDelay.other);
    }
    if (this->outcomesSince) {
        due = std::min(due, *this->outcomesSince + this->batchDelay.outcomes.value_or(this->batchDelay.other));
    }
    return due;
}

std::optional<RelayMessages::Update> UpdateBuffer::nextMessage(SteadyTime deadline, BatchDelay batchDelay)
{
    RelayMessages::Update message;
    return this->nextMessage(message, deadline, batchDelay) ? std::optional<RelayMessages::Update>(std::move(message)) : std::nullopt;
}

bool UpdateBuffer::nextMessage(RelayMessages::Update &message, SteadyTime deadline, BatchDelay batchDelay)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->batchDelay = batchDelay;
    // Counts with a longer delay wait for a later message: the receiver takes a late heartbeat for a lost connection.
    const SteadyTime latest = std::max(deadline, std::chrono::steady_clock::now() + std::min(batchDelay.other, maximumOverrun));
    while (!this->closed && !this->wakeRequested) {
        const SteadyTime due = this->isEmpty() ? deadline : std::min(latest, this->dueTime());
        if (std::chrono::steady_clock::now() >= due) {
            break;
        }
        this->wakesAt = due;
        this->changed.wait_until(lock, due);
        this->wakesAt.reset();
    }
    if (this->closed) {
        return false;
    }
    this->wakeRequested = false;
    const SteadyTime now = std::chrono::steady_clock::now();
    const bool sendsAll = this->counts == Counts::SentWithNextMessage;
    const bool sendsOther = sendsAll || (this->otherSince && now >= *this->otherSince + batchDelay.other);
    const bool sendsOutcomes = sendsAll || (this->outcomesSince && now >= *this->outcomesSince + batchDelay.outcomes.value_or(batchDelay.other));
    if (this->hasPending() || message.has_configuration() || !message.registrations().empty()) {
        // A cleared message keeps its memory for the next content. That of a configuration or a full state isn't needed again.
        message = RelayMessages::Update();
    } else {
        message.Clear();
    }
    if (this->hasPending()) {
        message.Swap(&this->pending);
    }
    this->takeOutcomes(message, !sendsOutcomes);
    this->takeUses(message, !sendsOther);
    this->urgentSince.reset();
    message.set_sequence(++this->sequence);
    const std::uint64_t completedMark = this->completed.empty() ? this->confirmedMark.number : this->completed.back().mark.number;
    if (this->teams.empty() && this->latestMark.number > completedMark) {
        this->completed.push_back({this->sequence, this->latestMark});
    }
    return true;
}

void UpdateBuffer::takeOutcomes(RelayMessages::Update &message, bool onlyUrgent)
{
    this->outcomes.removeIf([&message, onlyUrgent](Outcomes &entry) {
        if (onlyUrgent && !isUrgentOutcome(entry.counts)) {
            return false;
        }
        *message.add_outcomes() = entry.counts;
        return true;
    });
    if (this->outcomes.empty()) {
        this->outcomesSince.reset();
    }
}

void UpdateBuffer::takeUses(RelayMessages::Update &message, bool onlyUrgent)
{
    this->teams.removeIf([&message, onlyUrgent](TeamUse &entry) {
        if (onlyUrgent && !entry.isScarce) {
            return false;
        }
        RelayMessages::TeamUse &use = *message.add_teams();
        use.set_team(entry.key);
        use.set_admitted(entry.admitted);
        use.set_scarce(entry.isScarce);
        return true;
    });
    if (!onlyUrgent) {
        for (std::pair<const std::string, RelayMessages::ServiceUse> &entry : this->services) {
            RelayMessages::ServiceUse &use = *message.add_services();
            use.Swap(&entry.second);
            use.set_service(entry.first);
        }
        this->services.clear();
    }
    if (this->teams.empty() && this->services.empty()) {
        this->otherSince.reset();
    }
}

std::uint64_t UpdateBuffer::nextSequence() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->sequence + 1;
}

void UpdateBuffer::clearOutcomesAndUses()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->outcomes.clear();
    this->services.clear();
}

void UpdateBuffer::clearTeams()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->teams.clear();
}

void UpdateBuffer::clear()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->pending.Clear();
    this->outcomes.clear();
    this->teams.clear();
    this->services.clear();
}

bool UpdateBuffer::isEmpty() const
{
    return this->outcomes.empty() && this->teams.empty() && this->services.empty() && !this->hasPending();
}

bool UpdateBuffer::hasPending() const
{
    return this->pending.has_configuration() || !this->pending.registrations().empty() || !this->pending.summaries().empty()
        || !this->pending.lost_requests().empty() || !this->pending.answered_requests().empty() || !this->pending.relays().empty()
        || !this->pending.vms().empty() || this->pending.all_vms() || this->pending.has_admissions() || !this->pending.unreported().empty();
}

} // namespace Hyssophall
