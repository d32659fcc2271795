#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace Hyssophall {

/// Counts the messages between VMs and their bytes, by call and direction. The bytes are encoded sizes without the headers of
/// gRPC, HTTP/2 and TCP. Thread-safe.
class FleetTraffic
{
public:
    enum class Direction {
        Sent,
        Received,
    };

    FleetTraffic();
    ~FleetTraffic();

    FleetTraffic(const FleetTraffic &) = delete;
    FleetTraffic &operator=(const FleetTraffic &) = delete;

    /// Counts one message. @p messageName is the request's type, which identifies the call. @p bytes is the encoded size.
    void count(std::string_view messageName, Direction direction, std::size_t bytes);

    /// The metrics hyssophall_fleet_bytes_total and hyssophall_fleet_messages_total in the Prometheus text format.
    std::string text() const;

private:
    class Families;

    const std::unique_ptr<Families> families;
};

} // namespace Hyssophall
