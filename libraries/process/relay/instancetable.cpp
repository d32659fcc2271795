#include "process/relay/instancetable.h"

#include <xxhash.h>

namespace Hyssophall {

namespace {

/// Whether @p later is newer than @p known; both are of the same incarnation. The state GONE is final, whatever the sequence.
bool isLaterInSameIncarnation(const RelayMessages::Registration &known, const RelayMessages::Registration &later)
{
    if (known.state() == RelayMessages::REGISTRATION_STATE_GONE) {
        return false;
    }
    if (later.state() == RelayMessages::REGISTRATION_STATE_GONE) {
        return true;
    }
    return later.sequence() > known.sequence();
}

bool isLater(const RelayMessages::Registration &known, const RelayMessages::Registration &later)
{
    if (known.started_at_milliseconds() != later.started_at_milliseconds()) {
        return later.started_at_milliseconds() > known.started_at_milliseconds();
    }
    return isLaterInSameIncarnation(known, later);
}

} // namespace

std::uint32_t InstanceTable::handleOf(const RelayMessages::Registration &registration)
{
    return static_cast<std::uint32_t>(XXH64(registration.id().data(), registration.id().size(), registration.started_at_milliseconds()));
}

std::vector<RelayMessages::Registration> InstanceTable::apply(const RelayMessages::Registration &registration)
{
    const auto known = this->registrations.find(registration.id());
    if (known != this->registrations.end() && !isLater(known->second, registration)) {
        return {};
    }
    std::vector<RelayMessages::Registration> changed;
    const bool isGone = registration.state() == RelayMessages::REGISTRATION_STATE_GONE;
    const Address address{registration.host(), registration.port()};
    const auto holder = this->ids.find(address);
    if (!isGone && holder != this->ids.end() && holder->second != registration.id()) {
        RelayMessages::Registration &other = this->registrations[holder->second];
        const bool isOtherRegistered = other.state() != RelayMessages::REGISTRATION_STATE_GONE;
        if (other.started_at_milliseconds() > registration.started_at_milliseconds()) {
            // The registration arrives late: its instance had the address before the present one.
            return {};
        }
        if (isOtherRegistered) {
            other.set_state(RelayMessages::REGISTRATION_STATE_GONE);
            changed.push_back(other);
        }
    }
    if (!isGone) {
        this->ids[address] = registration.id();
    }
    this->registrations[registration.id()] = registration;
    changed.push_back(registration);
    return changed;
}

const RelayMessages::Registration *InstanceTable::find(const std::string &id) const
{
    const auto found = this->registrations.find(id);
    return found == this->registrations.end() ? nullptr : &found->second;
}

const std::map<std::string, RelayMessages::Registration> &InstanceTable::all() const
{
    return this->registrations;
}

} // namespace Hyssophall
