#include "process/relay/newsbuffer.h"

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
    sum.set_neutral(sum.neutral() + added.neutral());
    sum.set_latency_milliseconds(sum.latency_milliseconds() + added.latency_milliseconds());
}

} // namespace

std::uint64_t NewsBuffer::add(const RelayMessages::News &news)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    for (const RelayMessages::InstanceOutcomes &counts : news.outcomes()) {
        addUp(this->outcomes[counts.instance()], counts);
    }
    for (const RelayMessages::TeamUse &use : news.teams()) {
        RelayMessages::TeamUse &sum = this->teams[use.team()];
        sum.set_admitted(sum.admitted() + use.admitted());
        sum.set_scarce(sum.scarce() || use.scarce());
    }
    for (const RelayMessages::ServiceUse &use : news.services()) {
        RelayMessages::ServiceUse &sum = this->services[use.service()];
        sum.set_requests(sum.requests() + use.requests());
        sum.set_retries(sum.retries() + use.retries());
        sum.set_served(sum.served() + use.served());
        sum.set_unserved(sum.unserved() + use.unserved());
    }
    if (news.has_configuration() && news.configuration().version() > this->pending.configuration().version()) {
        *this->pending.mutable_configuration() = news.configuration();
    }
    this->pending.mutable_registrations()->MergeFrom(news.registrations());
    this->pending.mutable_summaries()->MergeFrom(news.summaries());
    this->pending.mutable_lost_requests()->MergeFrom(news.lost_requests());
    this->pending.mutable_relays()->MergeFrom(news.relays());
    this->pending.mutable_vms()->MergeFrom(news.vms());
    if (news.has_admissions()) {
        *this->pending.mutable_admissions() = news.admissions();
    }
    this->urgent = this->urgent || isUrgent(news);
    if (!this->isEmpty()) {
        this->changed.notify_all();
    }
    return this->sequence + 1;
}

bool NewsBuffer::isUrgent(const RelayMessages::News &news)
{
    const bool hasFailure = std::any_of(news.outcomes().begin(), news.outcomes().end(), [](const RelayMessages::InstanceOutcomes &outcomes) {
        return outcomes.failed() + outcomes.rejected() + outcomes.unreachable() > 0;
    });
    const bool hasScarceTeam = std::any_of(news.teams().begin(), news.teams().end(), [](const RelayMessages::TeamUse &use) { return use.scarce(); });
    return hasFailure || hasScarceTeam || news.has_configuration() || !news.registrations().empty() || !news.lost_requests().empty() || !news.vms().empty()
        || !news.relays().empty();
}

void NewsBuffer::wake()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->awake = true;
    this->changed.notify_all();
}

void NewsBuffer::close()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->closed = true;
    this->changed.notify_all();
}

std::optional<RelayMessages::News> NewsBuffer::take(SteadyTime deadline, Gathering gathering)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_until(lock, deadline, [this] { return this->closed || this->awake || !this->isEmpty(); });
    if (!this->isEmpty()) {
        this->changed.wait_for(lock, gathering.other - gathering.urgent, [this] { return this->closed || this->awake || this->urgent; });
        this->changed.wait_for(lock, gathering.urgent, [this] { return this->closed || this->awake; });
    }
    if (this->closed) {
        return std::nullopt;
    }
    this->awake = false;
    this->urgent = false;
    RelayMessages::News taken;
    taken.Swap(&this->pending);
    for (const std::pair<const std::uint32_t, RelayMessages::InstanceOutcomes> &entry : this->outcomes) {
        *taken.add_outcomes() = entry.second;
    }
    for (const std::pair<const std::string, RelayMessages::TeamUse> &entry : this->teams) {
        RelayMessages::TeamUse &use = *taken.add_teams();
        use = entry.second;
        use.set_team(entry.first);
    }
    for (const std::pair<const std::string, RelayMessages::ServiceUse> &entry : this->services) {
        RelayMessages::ServiceUse &use = *taken.add_services();
        use = entry.second;
        use.set_service(entry.first);
    }
    this->outcomes.clear();
    this->teams.clear();
    this->services.clear();
    taken.set_sequence(++this->sequence);
    return taken;
}

std::uint64_t NewsBuffer::nextSequence() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->sequence + 1;
}

void NewsBuffer::clear()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->pending.Clear();
    this->outcomes.clear();
    this->teams.clear();
    this->services.clear();
}

bool NewsBuffer::isEmpty() const
{
    return this->outcomes.empty() && this->teams.empty() && this->services.empty() && !this->pending.has_configuration()
        && this->pending.registrations().empty() && this->pending.summaries().empty() && this->pending.lost_requests().empty() && this->pending.relays().empty()
        && this->pending.vms().empty() && !this->pending.has_admissions();
}

} // namespace Hyssophall
