#include "process/fleet/fleettraffic.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>
#include <sstream>

namespace Hyssophall {

namespace {

/// "GrantLeasesRequest" belongs to the call "GrantLeases" and "ExchangeMessage" to "Exchange".
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
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &bytes = prometheus::BuildCounter()
                                                         .Name("hyssophall_fleet_bytes_total")
                                                         .Help("Encoded bytes of messages between VMs by call and direction.")
                                                         .Register(this->registry);
    prometheus::Family<prometheus::Counter> &messages
        = prometheus::BuildCounter().Name("hyssophall_fleet_messages_total").Help("Messages between VMs by call and direction.").Register(this->registry);
};

FleetTraffic::FleetTraffic()
    : families(std::make_unique<Families>())
{
}

FleetTraffic::~FleetTraffic() = default;

void FleetTraffic::count(std::string_view messageName, Direction direction, std::size_t bytes)
{
    const std::map<std::string, std::string> labels{{"call", callOf(messageName)}, {"direction", direction == Direction::Sent ? "sent" : "received"}};
    this->families->bytes.Add(labels).Increment(static_cast<double>(bytes));
    this->families->messages.Add(labels).Increment();
}

std::string FleetTraffic::text() const
{
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, this->families->registry.Collect());
    return text.str();
}

} // namespace Hyssophall
