#include "process/fleet/fleettraffic.h"

#include "process/telemetry/metricregistry.h"

#include <array>

namespace Hyssophall {

namespace {

constexpr const char *bytesName = "hyssophall_fleet_bytes_total";
constexpr const char *messagesName = "hyssophall_fleet_messages_total";

/// Name of the call that a request type belongs to: "GrantLeases" for "GrantLeasesRequest", "Exchange" for "ExchangeMessage".
std::string callOf(std::string_view messageName)
{
    for (const std::string_view suffix : {std::string_view("Request"), std::string_view("Message")}) {
        if (messageName.ends_with(suffix)) {
            messageName.remove_suffix(suffix.size());
            break;
        }
    }
    return std::string(messageName);
}

} // namespace

class FleetTraffic::Families
{
public:
    Families()
    {
        this->registry.addCounter(bytesName, "Encoded bytes of messages between VMs by call and direction.");
        this->registry.addCounter(messagesName, "Messages between VMs by call and direction.");
    }

    MetricRegistry registry;
};

FleetTraffic::FleetTraffic()
    : families(std::make_unique<Families>())
{
}

FleetTraffic::~FleetTraffic() = default;

void FleetTraffic::count(std::string_view messageName, Direction direction, std::size_t bytes)
{
    const MetricRegistry::Labels labels{{"call", callOf(messageName)}, {"direction", direction == Direction::Sent ? "sent" : "received"}};
    this->families->registry.increment(bytesName, labels, static_cast<double>(bytes));
    this->families->registry.increment(messagesName, labels);
}

std::string FleetTraffic::text() const
{
    return this->families->registry.text();
}

} // namespace Hyssophall
