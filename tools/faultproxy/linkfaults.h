#pragma once

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace Hyssophall {

/// Faults of one proxied link. "Forward" is from the connecting side to the target.
struct LinkFaults {
    /// Bytes from the connecting side are held back, as in a one-way cut.
    bool cutForward = false;
    /// Bytes from the target are held back.
    bool cutBackward = false;
    /// Connections that are open when this is set go silent for good; new ones work.
    bool freezeOpen = false;
    /// New connections are closed at once.
    bool refuseNew = false;
    /// Open connections are reset, once.
    bool resetOpen = false;
    /// The connection is reset when the target's answer arrives, so the request ran and its answer is lost.
    bool resetOnAnswer = false;
    /// Bytes from the target after which a connection is closed; zero: never.
    std::uint64_t truncateBackwardAfter = 0;
    /// Added to each chunk of bytes, each way.
    std::chrono::milliseconds delay{0};
};

/// A fault description that can't be used. Source: parseLinkFaults().
struct InvalidLinkFaults {
    std::string field;
};

/// Reads faults from a JSON object with the members' names in snake_case ("delay_ms" for the delay). Errors: InvalidLinkFaults.
boost::leaf::result<LinkFaults> parseLinkFaults(const nlohmann::json &description);

} // namespace Hyssophall
