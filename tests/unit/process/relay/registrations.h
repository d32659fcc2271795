#pragma once

#include "process/relay/instancetable.h"

#include <string>

namespace HyssophallTest {

/// A ready instance of service "orders" with 3 slots in failure domain "a". Without @p port, the port is derived from the id.
inline Hyssophall::RelayMessages::Registration registrationOf(const std::string &id, std::uint64_t startedAt, std::uint64_t sequence, std::uint32_t port = 0)
{
    Hyssophall::RelayMessages::Registration registration;
    registration.set_id(id);
    registration.set_service("orders");
    registration.set_host("127.0.0.1");
    registration.set_port(port == 0 ? static_cast<std::uint32_t>(10000 + std::hash<std::string>()(id) % 50000) : port);
    registration.set_failure_domain("a");
    registration.set_slots(3);
    registration.set_state(Hyssophall::RelayMessages::REGISTRATION_STATE_READY);
    registration.set_started_at_milliseconds(startedAt);
    registration.set_sequence(sequence);
    return registration;
}

} // namespace HyssophallTest
