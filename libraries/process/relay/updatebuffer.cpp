#include "process/relay/updatebuffer.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

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
    sum.set_latency_milliseconds(sum.latency_milliseconds() + added.latency_milliseconds());
    if (added.limit_thousandths() > 0 || added.limit_ended()) {
        sum.set_limit_thousandths(added.limit_thousandths());
        sum.set_limit_ended(added.limit_ended());
    }
}

} // namespace

std::uint64_t UpdateBuffer::add(const RelayMessages::Update &update)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    for (const RelayMessages::InstanceOutcomes &counts : update.outcomes()) {
        addUp(this->outcomes[counts.instance()], counts);
    }
    for (const RelayMessages::TeamUse &use : update.teams()) {
        RelayMessages::TeamUse &sum = this->teams[use.team()];
        sum.set_admitted(sum.admitted() + use.admitted());
        sum.set_scarce(sum.scarce() || use.scarce());
    }
    for (const RelayMessages::ServiceUse &use : update.services()) {
        RelayMessages::ServiceUse &sum = this->services[use.service()];
        sum.set_requests(sum.requests() + use.requests());
        sum.set_retries(sum.retries() + use.retries());
        sum.set_served(sum.served() + use.served());
        sum.set_unserved(sum.unserved() + use.unserved());
    }
    if (update.has_configuration() && update.configuration().version() > this->pending.configuration().version()) {
        *this->pending.mutable_configuration() = update.configuration();
    }
    this->pending.mutable_registrations()->MergeFrom(update.registrations());
    this->pending.mutable_summaries()->MergeFrom(update.summaries());
    this->pending.mutable_lost_requests()->MergeFrom(update.lost_requests());
    this->pending.mutable_relays()->MergeFrom(update.relays());
    this->pending.mutable_vms()->MergeFrom(update.vms());
    this->pending.set_all_vms(this->pending.all_vms() || update.all_vms());
    this->pending.mutable_unreported()->MergeFrom(update.unreported());
    if (update.has_admissions()) {
        *this->pending.mutable_admissions() = update.admissions();
    }
    this->urgent = this->urgent || isUrgent(update);
    if (!this->isEmpty()) {
        this->changed.notify_all();
    }
    return this->sequence + 1;
}

bool UpdateBuffer::isUrgent(const RelayMessages::Update &update)
{
    const bool hasFailure = std::any_of(update.outcomes().begin(), update.outcomes().end(), [](const RelayMessages::InstanceOutcomes &outcomes) {
        return outcomes.failed() + outcomes.rejected() + outcomes.unreachable() > 0 || outcomes.limit_thousandths() > 0 || outcomes.limit_ended();
    });
    const bool hasScarceTeam = std::any_of(update.teams().begin(), update.teams().end(), [](const RelayMessages::TeamUse &use) { return use.scarce(); });
    return hasFailure || hasScarceTeam || update.has_configuration() || !update.registrations().empty() || !update.lost_requests().empty()
        || !update.vms().empty() || !update.relays().empty() || !update.unreported().empty();
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

std::optional<RelayMessages::Update> UpdateBuffer::nextMessage(SteadyTime deadline, BatchDelay batchDelay)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_until(lock, deadline, [this] { return this->closed || this->wakeRequested || !this->isEmpty(); });
    if (!this->isEmpty()) {
        this->changed.wait_for(lock, batchDelay.other - batchDelay.urgent, [this] { return this->closed || this->wakeRequested || this->urgent; });
        this->changed.wait_for(lock, batchDelay.urgent, [this] { return this->closed || this->wakeRequested; });
    }
    if (this->closed) {
        return std::nullopt;
    }
    this->wakeRequested = false;
    this->urgent = false;
    RelayMessages::Update message;
    message.Swap(&this->pending);
    for (const std::pair<const std::uint32_t, RelayMessages::InstanceOutcomes> &entry : this->outcomes) {
        *message.add_outcomes() = entry.second;
    }
    for (const std::pair<const std::string, RelayMessages::TeamUse> &entry : this->teams) {
        RelayMessages::TeamUse &use = *message.add_teams();
        use = entry.second;
        use.set_team(entry.first);
    }
    for (const std::pair<const std::string, RelayMessages::ServiceUse> &entry : this->services) {
        RelayMessages::ServiceUse &use = *message.add_services();
        use = entry.second;
        use.set_service(entry.first);
    }
    this->outcomes.clear();
    this->teams.clear();
    this->services.clear();
    message.set_sequence(++this->sequence);
    return message;
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
    return this->outcomes.empty() && this->teams.empty() && this->services.empty() && !this->pending.has_configuration()
        && this->pending.registrations().empty() && this->pending.summaries().empty() && this->pending.lost_requests().empty() && this->pending.relays().empty()
        && this->pending.vms().empty() && !this->pending.has_admissions() && this->pending.unreported().empty();
}

} // namespace Hyssophall
