#include "process/fleet/gossip.h"

#include "process/fleet/repetition.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::size_t liveTargets = 2;
/// Every 2 s, one member that seems dead is tried, so that both sides of a healed cut find each other.
constexpr std::uint64_t roundsBetweenDeadTargets = 8;
/// A starting VM asks again for all records after this time without an answer.
constexpr std::chrono::seconds startAskInterval{1};
/// A VM whose records matched no peer's for this time misses some or has some alone. Peers of a VM that is up to date match
/// within a few rounds, even while records change.
constexpr std::chrono::seconds differenceLimit{5};
constexpr std::chrono::seconds differenceAskInterval{10};
/// Records passed on again after a comparison; the next comparison takes the rest.
constexpr std::size_t maximumPassedOnAgain = 200;
/// Full member states are rare, and must not crowd out records.
constexpr std::size_t stateBudget = 400;
/// Heartbeats leave a part of each message to records.
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
    , lastMatch(this->hooks.clock())
    , lastAsked(this->lastMatch - differenceAskInterval)
{
}

std::size_t Gossip::below(std::size_t limit)
{
    return static_cast<std::size_t>(this->hooks.random() % limit);
}

void Gossip::addRandom(std::vector<Target> &targets, std::vector<std::string> candidates, std::size_t count)
{
    for (std::size_t chosen = 0; chosen < count && chosen < candidates.size(); ++chosen) {
        std::swap(candidates[chosen], candidates[chosen + this->below(candidates.size() - chosen)]);
        targets.push_back({candidates[chosen], this->membership.addressOf(candidates[chosen])});
    }
}

void Gossip::addSeeds(std::vector<Target> &targets, std::size_t count)
{
    std::vector<std::string> candidates = this->seeds;
    for (std::size_t chosen = 0; chosen < count && chosen < candidates.size(); ++chosen) {
        std::swap(candidates[chosen], candidates[chosen + this->below(candidates.size() - chosen)]);
        targets.push_back({std::string(), candidates[chosen]});
    }
}

std::vector<Gossip::Target> Gossip::chooseTargets()
{
    std::vector<Target> targets;
    if (!this->membership.contains(this->membership.self().id())) {
        // Not admitted yet, or started without a catalogue: the peers of the settings have a newer one.
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
        this->membership.beat(this->hooks.catalogueVersion());
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
    message.set_records_digest(RecordStore::combine(this->records.digests()));
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
    this->rumors.drainInto([this, &message, &used, budget](const std::string &key) {
        const std::optional<FleetMessages::Record> record = this->records.find(key);
        if (!record) {
            return RumorQueue::Offer::Obsolete;
        }
        const std::size_t size = record->ByteSizeLong() + 3;
        if (used + size > budget) {
            return RumorQueue::Offer::TooLarge;
        }
        used += size;
        *message.add_records() = *record;
        return RumorQueue::Offer::Added;
    });
}

bool Gossip::askForRecords(FleetMessages::ExchangeMessage &message)
{
    const SteadyTime now = this->hooks.clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    const bool differs = now - this->lastMatch >= differenceLimit && now - this->lastAsked >= differenceAskInterval;
    const bool starts = !this->hasAllRecords && now - this->lastAsked >= startAskInterval;
    if (!differs && !starts) {
        return false;
    }
    this->lastAsked = now;
    message.set_wants_all_records(true);
    if (this->hasAllRecords) {
        addDigests(message, this->records.digests());
    }
    return true;
}

void Gossip::exchangeWith(const Target &target, bool mayAsk)
{
    FleetMessages::ExchangeMessage message = this->createMessage(std::nullopt);
    const bool asked = mayAsk && this->membership.contains(this->membership.self().id()) && this->askForRecords(message);
    this->hooks.send(target.address, message, [this, target, asked](std::optional<FleetMessages::ExchangeMessage> answer) {
        if (answer) {
            this->handleAnswer(target, asked, *answer);
        }
    });
}

void Gossip::handleAnswer(const Target &target, bool asked, const FleetMessages::ExchangeMessage &answer)
{
    this->membership.merge(answer);
    this->membership.confirm(answer.sender());
    this->mergeRecords(answer);
    if (asked) {
        this->passOnMissing(answer);
        std::lock_guard<std::mutex> lock(this->mutex);
        this->hasAllRecords = true;
    }
    this->compareDigest(answer.records_digest());
    if (answer.sender().catalogue_version() > this->hooks.catalogueVersion()) {
        this->hooks.noticeVersion(target.address, answer.sender().catalogue_version());
    }
}

FleetMessages::ExchangeMessage Gossip::receive(const FleetMessages::ExchangeMessage &message)
{
    this->membership.merge(message);
    this->mergeRecords(message);
    FleetMessages::ExchangeMessage answer = this->createMessage(message.roster_version());
    this->membership.addCorrection(answer, message.sender());
    if (message.wants_all_records()) {
        answer.clear_records();
        for (FleetMessages::Record &record : this->records.recordsUnlike(digestsOf(message))) {
            *answer.add_records() = std::move(record);
        }
        this->membership.addAllStates(answer);
        addDigests(answer, this->records.digests());
    }
    this->compareDigest(message.records_digest());
    const std::string address = this->membership.addressOf(message.sender().id());
    if (!address.empty() && message.sender().catalogue_version() > this->hooks.catalogueVersion()) {
        this->hooks.noticeVersion(address, message.sender().catalogue_version());
    }
    return answer;
}

void Gossip::mergeRecords(const FleetMessages::ExchangeMessage &message)
{
    // A whole set of records is known to most other members already.
    const bool isWholeSet = message.bucket_digests_size() > 0 && !message.wants_all_records();
    for (const FleetMessages::Record &record : message.records()) {
        if (!this->records.merge(record)) {
            this->rumors.countKnownPeer(RecordStore::keyOf(record));
        } else if (!isWholeSet) {
            this->passOn(record);
        }
    }
}

void Gossip::passOn(const FleetMessages::Record &record)
{
    this->rumors.add(RecordStore::keyOf(record), isUrgent(record), repetitionFor(this->membership.rosterSize()));
}

bool Gossip::publish(const FleetMessages::Record &record)
{
    if (!this->records.merge(record)) {
        return false;
    }
    this->passOn(record);
    return true;
}

void Gossip::passOnMissing(const FleetMessages::ExchangeMessage &answer)
{
    std::set<std::string> received;
    for (const FleetMessages::Record &record : answer.records()) {
        received.insert(record.SerializeAsString());
    }
    std::size_t count = 0;
    for (const FleetMessages::Record &record : this->records.recordsUnlike(digestsOf(answer))) {
        if (count < maximumPassedOnAgain && record.has_instance() && !received.contains(record.SerializeAsString())) {
            this->passOn(record);
            ++count;
        }
    }
}

void Gossip::compareDigest(std::uint64_t peerDigest)
{
    if (peerDigest == RecordStore::combine(this->records.digests())) {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->lastMatch = this->hooks.clock();
    }
}

std::size_t Gossip::pendingRecords() const
{
    return this->rumors.size();
}

} // namespace Hyssophall
