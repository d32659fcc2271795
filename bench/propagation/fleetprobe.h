#pragma once

#include "harness/testfleet.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hyssophall {

/// Makes changes and reads versions, keys and costs of a running fleet over HTTP.
class FleetProbe
{
public:
    using Clock = std::chrono::steady_clock;

    /// Cost of one VM so far.
    struct Cost {
        double processorSeconds = 0;
        double residentMegabytes = 0;
        /// Encoded bytes sent and received by call, without headers.
        std::map<std::string, double> bytes;
        std::map<std::string, double> messages;
    };

    explicit FleetProbe(Harness::TestFleet &fleet);

    /// Sends a change to the first control VM that accepts it; nothing when none does within 5 s.
    std::optional<std::uint64_t> change(const nlohmann::json &change);

    /// A change of a team's rate.
    std::optional<std::uint64_t> changeTeam(double rate);

    std::uint64_t versionOf(std::size_t vm) const;

    /// Time from now until each VM serves @p version, in milliseconds, in the order of the VMs; polled in turn without pause.
    std::vector<double> waitForVersion(std::uint64_t version, std::chrono::milliseconds limit) const;

    /// Time from now until each VM answers 401 to @p key, in milliseconds.
    std::vector<double> waitForRefusal(const std::string &key, std::chrono::milliseconds limit);

    bool acceptsKey(std::size_t vm, const std::string &key);

    Cost costOf(std::size_t vm) const;

    /// Bytes that the loopback interface carried for all programs of the machine. Source: /proc/net/dev.
    static double loopbackBytes();

private:
    std::map<std::string, std::string> operatorHeaders() const;
    std::vector<double> waitForAll(const std::function<bool(std::size_t)> &holds, std::chrono::milliseconds limit) const;

    Harness::TestFleet &fleet;
    std::uint64_t latestVersion = 0;
    std::uint64_t changeCount = 0;
};

} // namespace Hyssophall
