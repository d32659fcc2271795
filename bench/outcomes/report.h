#pragma once

#include "faultdriver.h"
#include "scenario.h"
#include "traffic.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace HyssophallBench {

/// The measures of one side over a whole run, as JSON.
nlohmann::json measure(const Scenario &scenario, const std::vector<Sample> &samples, const std::vector<WindowObservation> &observations);

/// The table of both sides.
std::string table(const nlohmann::json &fleet, const nlohmann::json &baseline);

} // namespace HyssophallBench
