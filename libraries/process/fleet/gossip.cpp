#include "process/fleet/gossip.h"

#include "process/fleet/repetition.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::size_t liveTargets = 2;
/// Every 2 s one member that is considered dead is contacted, so that the two sides of a healed partition find each other.
constexpr std::uint64_t roundsBetweenDeadTargets = 8;
/// A starting VM repeats its request for all records after this time without a reply.
constexpr std::chrono::seconds startRequestInterval{1};
/// A VM whose digest matched no peer's digest for this time lacks some records or holds some that its peers lack. The digest of
/// an up-to-date VM matches a peer's within a few rounds, even while records change.
constexpr std::chrono::seconds differenceTimeout{5};
/// Minimum time between two requests for records because of different digests.
constexpr std::chrono::seconds differenceRequestInterval{10};
/// Maximum number of records that are queued again after one comparison of digests. The next comparison queues the rest.
constexpr std::size_t maximumRequeuedRecords = 200;
/// Bytes for full member states in one message. They change rarely, and must not displace records.
constexpr std::size_t stateBudget = 400;
/// Bytes for heartbeats while records are queued, so that part of each message is left for the records.
constexpr std::size_t heartbeatBudgetBesideRecords = 500;

std::optional<RecordStore::Digests> digestsOf(const FleetMessages::ExchangeMessage &message)
{
    if (message.bucket_digests_size() != static_cast<int>(RecordStore::bucketCount)) {
        return std::nullopt;
    }
    RecordStore::Digests digests;
    std::copy(message.bucket_digests().begin(), message.bucket_digests().end(), digests.begin());
    return digests;
}

void addDigests(FleetMessages::ExchangeMessage &message, const RecordStore::Digests &digests)
{
    message.mutable_bucket_digests()->Assign(digests.begin(), digests.end());
}

bool isUrgent(const FleetMessages::Record &record)
{
    return record.instance().state() == FleetMessages::INSTANCE_STATE_LEAVING;
}

} // namespace

Gossip::Gossip(Membership &membership, RecordStore &records, std::vector<std::string> seeds, Hooks hooks)
    : membership(membership)
    , records(records)
    , seeds(std::move(seeds))
    , hooks(std::move(hooks))
    , rumors(this->hooks.random())
    , lastDigestMatch(this->hooks.clock())
    , lastRecordRequest(this->lastDigestMatch - differenceRequestInterval)
{
}

std::size_t Gossip::randomBelow(std::size_t limit)
{
    return static_cast<std::size_t>(this->hooks.random() % limit);
}

void Gossip::addRandom(std::vector<Target> &targets, std::vector<std::string> candidates, std::size_t count)
{
    for (std::size_t chosen = 0; chosen < count && chosen < candidates.size(); ++chosen) {
        std::swap(candidates[chosen], candidates[chosen + this->randomBelow(candidates.size() - chosen)]);
        targets.push_back({candidates[chosen], this->membership.addressOf(candidates[chosen])});
    }
}

void Gossip::addSeeds(std::vector<Target> &targets, std::size_t count)
{
    std::vector<std::string> candidates = this->seeds;
    for (std::size_t chosen = 0; chosen < count && chosen < candidates.size(); ++chosen) {
        std::swap(candidates[chosen], candidates[chosen + this->randomBelow(candidates.size() - chosen)]);
        targets.push_back({std::string(), candidates[chosen]});
    }
}

std::vector<Gossip::Target> Gossip::chooseTargets()
{
    std::vector<Target> targets;
    if (!this->membership.contains(this->membership.self().id())) {
        // This VM isn't admitted yet, or started without a catalogue. The peers from the settings have a newer catalogue.
        this->addSeeds(targets, 1);
        return targets;
    }
    this->addRandom(targets, this->membership.peers(true), liveTargets);
    if (targets.size() < liveTargets) {
        this->addRandom(targets, this->membership.peers(false), liveTargets - targets.size());
        this->addSeeds(targets, 1);
    } else if (this->rounds % roundsBetweenDeadTargets == 0) {
        this->addRandom(targets, this->membership.peers(false), 1);
    }
    return targets;
}

void Gossip::tick()
{
    std::vector<Target> targets;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        ++this->rounds;
        this->membership.advanceHeartbeat(this->hooks.catalogueVersion());
        targets = this->chooseTargets();
    }
    this->records.prune();
    for (std::size_t index = 0; index < targets.size(); ++index) {
        this->exchangeWith(targets[index], index == 0);
    }
}

void Gossip::leave()
{
    this->membership.leave();
    std::vector<Target> targets;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->addRandom(targets, this->membership.peers(true), 4 * liveTargets);
    }
    for (const Target &target : targets) {
        this->exchangeWith(target, false);
    }
}

FleetMessages::ExchangeMessage Gossip::createMessage(std::optional<std::uint64_t> peerRosterVersion)
{
    FleetMessages::ExchangeMessage message;
    *message.mutable_sender() = this->membership.self();
    message.mutable_sender()->set_catalogue_version(this->hooks.catalogueVersion());
    message.set_roster_version(this->membership.rosterVersion());
    message.set_records_digest(RecordStore::combineDigests(this->records.digests()));
    const std::size_t used = this->membership.addStates(message, stateBudget);
    const std::size_t heartbeatBudget = this->rumors.size() > 0 ? heartbeatBudgetBesideRecords : maximumUpdateBytes - used;
    this->membership.addHeartbeats(message, heartbeatBudget, this->hooks.random(), peerRosterVersion);
    const std::size_t size = message.ByteSizeLong();
    this->addRecords(message, size < maximumUpdateBytes ? maximumUpdateBytes - size : 0);
    return message;
}

void Gossip::addRecords(FleetMessages::ExchangeMessage &message, std::size_t budget)
{
    std::size_t used = 0;
    this->rumors.consumeByPriority([this, &message, &used, budget](const std::string &key) {
        const std::optional<FleetMessages::Record> record = this->records.find(key);
        if (!record) {
            return RumorQueue::ConsumeResult::Obsolete;
        }
        const std::size_t size = record->ByteSizeLong() + 3;
        if (used + size > budget) {
            return RumorQueue::ConsumeResult::TooLarge;
        }
        used += size;
        *message.add_records() = *record;
        return RumorQueue::ConsumeResult::Added;
    });
}

bool Gossip::requestRecords(FleetMessages::ExchangeMessage &message)
{
    const SteadyTime now = this->hooks.clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    const bool differs = now - this->lastDigestMatch >= differenceTimeout && now - this->lastRecordRequest >= differenceRequestInterval;
    const bool isStarting = !this->hasAllRecords && now - this->lastRecordRequest >= startRequestInterval;
    if (!differs && !isStarting) {
        return false;
    }
    this->lastRecordRequest = now;
    message.set_wants_all_records(true);
    if (this->hasAllRecords) {
        addDigests(message, this->records.digests());
    }
    return true;
}

void Gossip::exchangeWith(const Target &target, bool mayRequestRecords)
{
    FleetMessages::ExchangeMessage message = this->createMessage(std::nullopt);
    const bool requestedRecords = mayRequestRecords && this->membership.contains(this->membership.self().id()) && this->requestRecords(message);
    this->hooks.send(target.address, message, [this, target, requestedRecords](std::optional<FleetMessages::ExchangeMessage> reply) {
        if (reply) {
            this->handleReply(target, requestedRecords, *reply);
        }
    });
}

void Gossip::handleReply(const Target &target, bool requestedRecords, const FleetMessages::ExchangeMessage &reply)
{
    this->membership.merge(reply);
    this->membership.confirm(reply.sender());
    this->mergeRecords(reply);
    if (requestedRecords) {
        this->queueRecordsMissingIn(reply);
        std::lock_guard<std::mutex> lock(this->mutex);
        this->hasAllRecords = true;
    }
    this->compareDigest(reply.records_digest());
    if (reply.sender().catalogue_version() > this->hooks.catalogueVersion()) {
        this->hooks.reportPeerVersion(target.address, reply.sender().catalogue_version());
    }
}

FleetMessages::ExchangeMessage Gossip::receive(const FleetMessages::ExchangeMessage &message)
{
    this->membership.merge(message);
    this->mergeRecords(message);
    FleetMessages::ExchangeMessage reply = this->createMessage(message.roster_version());
    this->membership.addCorrection(reply, message.sender());
    if (message.wants_all_records()) {
        reply.clear_records();
        for (FleetMessages::Record &record : this->records.recordsDifferingFrom(digestsOf(message))) {
            *reply.add_records() = std::move(record);
        }
        this->membership.addAllStates(reply);
        addDigests(reply, this->records.digests());
    }
    this->compareDigest(message.records_digest());
    const std::string address = this->membership.addressOf(message.sender().id());
    if (!address.empty() && message.sender().catalogue_version() > this->hooks.catalogueVersion()) {
        this->hooks.reportPeerVersion(address, message.sender().catalogue_version());
    }
    return reply;
}

void Gossip::mergeRecords(const FleetMessages::ExchangeMessage &message)
{
    // A reply with all records (or all that differ) holds records that most members have already, so they aren't queued again.
    const bool isWholeSet = message.bucket_digests_size() > 0 && !message.wants_all_records();
    for (const FleetMessages::Record &record : message.records()) {
        if (!this->records.merge(record)) {
            this->rumors.countDuplicate(RecordStore::keyOf(record));
        } else if (!isWholeSet) {
            this->queueRecord(record);
        }
    }
}

void Gossip::queueRecord(const FleetMessages::Record &record)
{
    this->rumors.add(RecordStore::keyOf(record), isUrgent(record), repetitionFor(this->membership.rosterSize()));
}

bool Gossip::publish(const FleetMessages::Record &record)
{
    if (!this->records.merge(record)) {
        return false;
    }
    this->queueRecord(record);
    return true;
}

void Gossip::queueRecordsMissingIn(const FleetMessages::ExchangeMessage &reply)
{
    std::set<std::string> received;
    for (const FleetMessages::Record &record : reply.records()) {
        received.insert(record.SerializeAsString());
    }
    std::size_t count = 0;
    for (const FleetMessages::Record &record : this->records.recordsDifferingFrom(digestsOf(reply))) {
        if (count < maximumRequeuedRecords && record.has_instance() && !received.contains(record.SerializeAsString())) {
            this->queueRecord(record);
            ++count;
        }
    }
}

void Gossip::compareDigest(std::uint64_t peerDigest)
{
    if (peerDigest == RecordStore::combineDigests(this->records.digests())) {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->lastDigestMatch = this->hooks.clock();
    }
}

std::size_t Gossip::pendingRecords() const
{
    return this->rumors.size();
}

} // namespace Hyssophall
