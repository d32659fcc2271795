#include "process/fleet/recordstore.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace Hyssophall {

namespace {

/// Ended records are kept longer than any copy of them circulates between VMs, so that an old copy can't restore an earlier state.
constexpr std::chrono::minutes endedRetention{10};
/// A poison record is newer if it ends later than the stored one by more than this. A record carries its remaining time, so the
/// time in transit makes each copy end later than the original.
constexpr std::chrono::seconds poisonTolerance{5};

/// Longest ejection by an arbiter and longest time that a fingerprint is poison. Greater values from another VM are reduced to
/// these, so that a wrong value doesn't keep a record for days.
constexpr std::chrono::milliseconds maximumEjectionDuration{std::chrono::seconds(60)};
constexpr std::chrono::milliseconds maximumPoisonDuration{std::chrono::minutes(10)};
constexpr std::uint32_t maximumPort = 65535;

constexpr char instanceKeyPrefix = 'i';
constexpr char ejectionKeyPrefix = 'e';
constexpr char poisonKeyPrefix = 'p';

std::string makeKey(char prefix, const std::string &service, const std::string &instance)
{
    return prefix + service + '\0' + instance;
}

RecordStore::InstanceKey parseKey(const std::string &key)
{
    const std::size_t end = key.find('\0');
    return {key.substr(1, end - 1), end == std::string::npos ? std::string() : key.substr(end + 1)};
}

std::uint64_t hashOf(const std::string &text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::size_t bucketOf(const FleetMessages::Instance &instance)
{
    return hashOf(instance.id(), hashOf(instance.service(), 0)) % RecordStore::bucketCount;
}

bool hasExpired(const FleetMessages::Instance &instance)
{
    return instance.state() == FleetMessages::INSTANCE_STATE_EXPIRED;
}

bool isNewer(const FleetMessages::Instance &left, const FleetMessages::Instance &right)
{
    const std::tuple<std::uint64_t, std::uint64_t, int> leftOrder(left.incarnation(), left.sequence(), left.state());
    const std::tuple<std::uint64_t, std::uint64_t, int> rightOrder(right.incarnation(), right.sequence(), right.state());
    return leftOrder != rightOrder ? leftOrder > rightOrder : left.SerializeAsString() > right.SerializeAsString();
}

} // namespace

RecordStore::RecordStore(SteadyClock clock)
    : clock(std::move(clock))
{
}

void RecordStore::addInstanceListener(InstanceListener listener)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->instanceListeners.push_back(std::move(listener));
}

void RecordStore::addEjectionListener(EjectionListener listener)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->ejectionListeners.push_back(std::move(listener));
}

void RecordStore::addPoisonListener(PoisonListener listener)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->poisonListeners.push_back(std::move(listener));
}

bool RecordStore::merge(const FleetMessages::Record &record)
{
    switch (record.kind_case()) {
    case FleetMessages::Record::kInstance:
        return this->mergeInstance(record.instance());
    case FleetMessages::Record::kEjection:
        return this->mergeEjection(record.ejection());
    case FleetMessages::Record::kPoison:
        return this->mergePoison(record.poison());
    default:
        return false;
    }
}

bool RecordStore::mergeInstance(const FleetMessages::Instance &instance)
{
    if (instance.id().empty() || instance.service().empty() || instance.port() > maximumPort) {
        return false;
    }
    const SteadyTime now = this->clock();
    std::vector<InstanceListener> listeners;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        Service &service = this->services[instance.service()];
        const auto [position, added] = service.instances.try_emplace(instance.id());
        FleetMessages::Instance &known = position->second;
        if (!added && !isNewer(instance, known)) {
            return false;
        }
        const bool wasLive = !added && !hasExpired(known);
        if (wasLive) {
            this->toggleDigest(known);
            --service.live;
        }
        known = instance;
        if (!hasExpired(known)) {
            this->toggleDigest(known);
            ++service.live;
        } else {
            this->expired.emplace_back(now + endedRetention, InstanceKey(instance.service(), instance.id()));
            if (wasLive) {
                this->recordExpiry(service, now);
            }
        }
        service.view = nullptr;
        listeners = this->instanceListeners;
    }
    for (const InstanceListener &listener : listeners) {
        listener(instance);
    }
    return true;
}

void RecordStore::recordExpiry(Service &service, SteadyTime now)
{
    service.expiries.push_back(now);
    while (now - service.expiries.front() > endedRetention) {
        service.expiries.pop_front();
    }
}

bool RecordStore::mergeEjection(const FleetMessages::Ejection &ejection)
{
    if (ejection.service().empty() || ejection.instance().empty()) {
        return false;
    }
    const SteadyTime until = this->clock() + std::min(std::chrono::milliseconds(ejection.remaining_milliseconds()), maximumEjectionDuration);
    std::vector<EjectionListener> listeners;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const auto [position, added] = this->ejections.try_emplace({ejection.service(), ejection.instance()});
        TimedEjection &known = position->second;
        const std::pair<std::uint64_t, std::uint64_t> order(ejection.epoch(), ejection.sequence());
        if (!added && order <= std::pair<std::uint64_t, std::uint64_t>(known.ejection.epoch(), known.ejection.sequence())) {
            return false;
        }
        known = {ejection, until};
        this->services[ejection.service()].view = nullptr;
        listeners = this->ejectionListeners;
    }
    for (const EjectionListener &listener : listeners) {
        listener(ejection, until);
    }
    return true;
}

bool RecordStore::mergePoison(const FleetMessages::Poison &poison)
{
    const SteadyTime now = this->clock();
    const SteadyTime until = now + std::min(std::chrono::milliseconds(poison.remaining_milliseconds()), maximumPoisonDuration);
    std::vector<PoisonListener> listeners;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const auto [position, added] = this->poisons.try_emplace(poison.fingerprint(), until);
        if (!added && until <= position->second + poisonTolerance) {
            return false;
        }
        position->second = until;
        listeners = this->poisonListeners;
    }
    for (const PoisonListener &listener : listeners) {
        listener(poison.fingerprint(), until);
    }
    return true;
}

void RecordStore::toggleDigest(const FleetMessages::Instance &instance)
{
    const std::array<std::uint64_t, 3> order = {instance.incarnation(), instance.sequence(), static_cast<std::uint64_t>(instance.state())};
    const std::uint64_t subject = hashOf(instance.id(), hashOf(instance.service(), 1));
    this->bucketDigests[bucketOf(instance)] ^= XXH64(order.data(), sizeof(order), subject);
}

std::string RecordStore::keyOf(const FleetMessages::Record &record)
{
    switch (record.kind_case()) {
    case FleetMessages::Record::kInstance:
        return makeKey(instanceKeyPrefix, record.instance().service(), record.instance().id());
    case FleetMessages::Record::kEjection:
        return makeKey(ejectionKeyPrefix, record.ejection().service(), record.ejection().instance());
    case FleetMessages::Record::kPoison:
        return poisonKeyPrefix + std::to_string(record.poison().fingerprint());
    default:
        return {};
    }
}

std::optional<FleetMessages::Record> RecordStore::find(const std::string &key) const
{
    if (key.empty()) {
        return std::nullopt;
    }
    const SteadyTime now = this->clock();
    if (key.front() == instanceKeyPrefix) {
        const std::optional<FleetMessages::Instance> instance = this->findInstance(parseKey(key));
        return instance ? std::optional<FleetMessages::Record>(recordOf(*instance)) : std::nullopt;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    if (key.front() == ejectionKeyPrefix) {
        const std::map<InstanceKey, TimedEjection>::const_iterator found = this->ejections.find(parseKey(key));
        return found == this->ejections.end() ? std::nullopt : std::optional<FleetMessages::Record>(recordOf(found->second, now));
    }
    const std::map<std::uint64_t, SteadyTime>::const_iterator found = this->poisons.find(std::stoull(key.substr(1)));
    if (found == this->poisons.end() || found->second <= now) {
        return std::nullopt;
    }
    return recordOf(found->first, found->second, now);
}

std::optional<FleetMessages::Instance> RecordStore::findInstance(const InstanceKey &key) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const std::map<std::string, Service, std::less<>>::const_iterator service = this->services.find(key.first);
    if (service == this->services.end()) {
        return std::nullopt;
    }
    const std::map<std::string, FleetMessages::Instance>::const_iterator found = service->second.instances.find(key.second);
    return found == service->second.instances.end() ? std::nullopt : std::optional<FleetMessages::Instance>(found->second);
}

std::vector<FleetMessages::Record> RecordStore::recordsDifferingFrom(const std::optional<Digests> &digests) const
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<FleetMessages::Record> result;
    for (const std::pair<const std::string, Service> &service : this->services) {
        for (const std::pair<const std::string, FleetMessages::Instance> &entry : service.second.instances) {
            const FleetMessages::Instance &instance = entry.second;
            const std::size_t bucket = bucketOf(instance);
            if (!digests || (*digests)[bucket] != this->bucketDigests[bucket]) {
                result.push_back(recordOf(instance));
            }
        }
    }
    for (const std::pair<const InstanceKey, TimedEjection> &ejection : this->ejections) {
        result.push_back(recordOf(ejection.second, now));
    }
    for (const std::pair<const std::uint64_t, SteadyTime> &poison : this->poisons) {
        if (poison.second > now) {
            result.push_back(recordOf(poison.first, poison.second, now));
        }
    }
    return result;
}

RecordStore::Digests RecordStore::digests() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->bucketDigests;
}

std::uint64_t RecordStore::combineDigests(const Digests &digests)
{
    return XXH64(digests.data(), sizeof(digests), 0);
}

std::size_t RecordStore::countExpiries(const std::string &service, SteadyTime since) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const std::map<std::string, Service, std::less<>>::const_iterator found = this->services.find(service);
    if (found == this->services.end()) {
        return 0;
    }
    const std::deque<SteadyTime> &expiries = found->second.expiries;
    return static_cast<std::size_t>(std::count_if(expiries.begin(), expiries.end(), [since](SteadyTime time) { return time > since; }));
}

void RecordStore::prune()
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    while (!this->expired.empty() && this->expired.front().first <= now) {
        const InstanceKey &key = this->expired.front().second;
        Service &service = this->services[key.first];
        const std::map<std::string, FleetMessages::Instance>::iterator found = service.instances.find(key.second);
        if (found != service.instances.end() && hasExpired(found->second)) {
            service.instances.erase(found);
        }
        this->expired.pop_front();
    }
    std::erase_if(this->ejections, [now](const std::pair<const InstanceKey, TimedEjection> &entry) { return entry.second.until + endedRetention <= now; });
    std::erase_if(this->poisons, [now](const std::pair<const std::uint64_t, SteadyTime> &entry) { return entry.second <= now; });
}

bool RecordStore::isPoison(std::uint64_t fingerprint) const
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    const std::map<std::uint64_t, SteadyTime>::const_iterator found = this->poisons.find(fingerprint);
    return found != this->poisons.end() && found->second > now;
}

} // namespace Hyssophall
