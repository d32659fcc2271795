#pragma once

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <istream>
#include <string>
#include <vector>

namespace Hyssophall {

/**
 * The log lines that explain one request: its own, those of other requests on the instances that it was tried on, and what the VMs that
 * took it came to believe around that time.
 */
class RequestStory
{
public:
    /// How long before and after the request other lines are of interest.
    static constexpr std::chrono::seconds window{5};

    explicit RequestStory(std::string requestId);

    /// Takes the lines of one log. Lines that aren't JSON objects are passed over.
    void read(std::istream &log);

    /// The lines in the order of their time; empty when the request isn't in the logs.
    std::vector<nlohmann::json> lines() const;

    /// One line for people.
    static std::string sentence(const nlohmann::json &line);

private:
    const std::string requestId;
    std::vector<nlohmann::json> all;
};

} // namespace Hyssophall
