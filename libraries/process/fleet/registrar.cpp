#include "process/fleet/registrar.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// After the loss of a VM, the lists of live members differ between VMs for a few seconds. More hops would only send the
/// announcement around between VMs that disagree on the registrar.
constexpr std::uint32_t maximumHops = 2;

bool sameAnnouncement(const FleetMessages::Instance &known, FleetMessages::Instance announced)
{
    announced.set_sequence(known.sequence());
    return known.SerializeAsString() == announced.SerializeAsString();
}

FleetMessages::AnnounceReply replyOf(bool accepted)
{
    FleetMessages::AnnounceReply reply;
    reply.set_accepted(accepted);
    return reply;
}

} // namespace

Registrar::Registrar(std::string ownId, RecordStore &records, Hooks hooks)
    : ownId(std::move(ownId))
    , records(records)
    , hooks(std::move(hooks))
    , lastTick(this->hooks.clock())
{
    this->records.addInstanceListener([this](const FleetMessages::Instance &instance) { this->queueChange(instance); });
}

std::string Registrar::nameOf(const RecordStore::InstanceKey &key)
{
    return "instance:" + key.first + "/" + key.second;
}

bool Registrar::isValid(const FleetMessages::Instance &instance)
{
    const bool hasState = instance.state() == FleetMessages::INSTANCE_STATE_STARTING || instance.state() == FleetMessages::INSTANCE_STATE_READY
        || instance.state() == FleetMessages::INSTANCE_STATE_LEAVING;
    return hasState && !instance.id().empty() && !instance.service().empty() && !instance.host().empty() && instance.port() > 0 && instance.port() <= 65535
        && instance.incarnation() > 0;
}

void Registrar::queueChange(const FleetMessages::Instance &instance)
{
    std::lock_guard<std::mutex> lock(this->changesMutex);
    this->changes.emplace(instance.service(), instance.id());
}

void Registrar::applyChanges()
{
    std::set<RecordStore::InstanceKey> pending;
    {
        std::lock_guard<std::mutex> lock(this->changesMutex);
        pending.swap(this->changes);
    }
    for (const RecordStore::InstanceKey &key : pending) {
        const std::string name = nameOf(key);
        const std::optional<FleetMessages::Instance> instance = this->records.findInstance(key);
        if (instance && instance->state() != FleetMessages::INSTANCE_STATE_EXPIRED) {
            this->assignment.add(name);
            this->keys[name] = key;
        } else {
            this->assignment.remove(name);
            this->keys.erase(name);
            this->leases.erase(name);
        }
    }
}

std::string Registrar::forwardTarget(const FleetMessages::AnnounceRequest &request)
{
    if (request.hops() >= maximumHops) {
        return {};
    }
    const std::vector<std::string> live = this->hooks.liveMembers();
    std::lock_guard<std::mutex> lock(this->mutex);
    this->assignment.setMembers(live);
    const std::string winner = this->assignment.winnerOf(nameOf({request.instance().service(), request.instance().id()}));
    return winner == this->ownId ? std::string() : winner;
}

void Registrar::announce(const FleetMessages::AnnounceRequest &request, ReplyHandler onReply)
{
    if (!isValid(request.instance())) {
        onReply(replyOf(false));
        return;
    }
    const std::string target = this->forwardTarget(request);
    if (target.empty()) {
        onReply(replyOf(this->apply(request)));
        return;
    }
    FleetMessages::AnnounceRequest forwarded = request;
    forwarded.set_hops(request.hops() + 1);
    this->hooks.forward(target, forwarded, [this, request, onReply](std::optional<FleetMessages::AnnounceReply> reply) {
        // If the registrar doesn't respond, this VM applies the announcement itself: a transition, above all to leaving, must not wait.
        onReply(reply ? *reply : replyOf(this->apply(request)));
    });
}

bool Registrar::apply(const FleetMessages::AnnounceRequest &request)
{
    const SteadyTime now = this->hooks.clock();
    FleetMessages::Instance instance = request.instance();
    const RecordStore::InstanceKey key(instance.service(), instance.id());
    std::lock_guard<std::mutex> lock(this->mutex);
    const std::optional<FleetMessages::Instance> known = this->records.findInstance(key);
    if (known && known->incarnation() > instance.incarnation()) {
        return false;
    }
    const bool restarted = !known || known->incarnation() < instance.incarnation();
    if (!restarted && known->state() == FleetMessages::INSTANCE_STATE_LEAVING && instance.state() != FleetMessages::INSTANCE_STATE_LEAVING) {
        // This announcement was sent before the leaving one and arrived after it.
        return false;
    }
    const std::chrono::milliseconds asked(request.lease_milliseconds());
    const std::chrono::milliseconds duration = asked.count() == 0 ? defaultLease : std::clamp(asked, minimumLease, maximumLease);
    this->leases[nameOf(key)] = {now + duration, duration};
    if (restarted || !sameAnnouncement(*known, instance)) {
        instance.set_sequence(restarted ? 1 : known->sequence() + 1);
        FleetMessages::Record record;
        *record.mutable_instance() = std::move(instance);
        this->hooks.publish(record);
    }
    return true;
}

bool Registrar::isViewReliable(SteadyTime now)
{
    const bool wasSuspended = now - this->lastTick > maximumTickGap;
    this->lastTick = now;
    return !wasSuspended && this->assignment.members().size() * 2 >= this->hooks.rosterSize();
}

void Registrar::tick()
{
    const std::vector<std::string> live = this->hooks.liveMembers();
    const SteadyTime now = this->hooks.clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    this->assignment.setMembers(live);
    this->applyChanges();
    if (!this->isViewReliable(now)) {
        // Renewals may have been missed, so each instance gets a full lease at the next tick.
        this->leases.clear();
        return;
    }
    this->updateOwnLeases(now);
}

void Registrar::updateOwnLeases(SteadyTime now)
{
    std::map<std::string, Lease> kept;
    for (const std::string &name : this->assignment.namesAssignedTo(this->ownId)) {
        const std::map<std::string, Lease>::const_iterator found = this->leases.find(name);
        const Lease lease = found == this->leases.end() ? Lease{now + defaultLease, defaultLease} : found->second;
        const RecordStore::InstanceKey &key = this->keys[name];
        if (now >= lease.end && this->mayExpire(key, lease.end, now)) {
            const std::optional<FleetMessages::Instance> instance = this->records.findInstance(key);
            if (instance && instance->state() != FleetMessages::INSTANCE_STATE_EXPIRED) {
                this->expire(*instance);
            }
        } else {
            kept.emplace(name, lease);
        }
    }
    // Leases of instances that moved to another registrar are dropped. An instance that moves back gets a full lease.
    this->leases = std::move(kept);
}

bool Registrar::mayExpire(const RecordStore::InstanceKey &key, SteadyTime leaseEnd, SteadyTime now) const
{
    const std::shared_ptr<const InstanceDirectory::Instances> known = this->records.instances(key.first);
    const std::size_t recent = this->records.countExpiries(key.first, now - expiryWindow);
    const std::size_t half = std::max<std::size_t>(1, (known->size() + recent) / 2);
    if (recent + 1 > half) {
        return false;
    }
    const InstanceDirectory::Instances::const_iterator position
        = std::find_if(known->begin(), known->end(), [&key](const KnownInstance &candidate) { return candidate.instance.id() == key.second; });
    const bool inUpperHalf = static_cast<std::size_t>(position - known->begin()) + recent >= half;
    return !inUpperHalf || now - leaseEnd >= upperHalfDelay;
}

void Registrar::expire(const FleetMessages::Instance &instance)
{
    FleetMessages::Record record;
    *record.mutable_instance() = instance;
    record.mutable_instance()->set_state(FleetMessages::INSTANCE_STATE_EXPIRED);
    record.mutable_instance()->set_sequence(instance.sequence() + 1);
    this->hooks.publish(record);
}

} // namespace Hyssophall
