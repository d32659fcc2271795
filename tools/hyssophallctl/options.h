#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hyssophall::CommandLine {

/// The flags, apart from those that the client takes.
struct Options {
    bool json = false;
    /// Version that a change expects in force; read from the fleet when unset.
    std::optional<std::uint64_t> expectedVersion;
    /// Random when empty.
    std::string changeId;
    /// Administration address of a VM that is admitted or becomes a replica.
    std::string from;
    std::chrono::milliseconds timeout{30000};
};

/// The words after the program's name, without flags.
using Words = std::vector<std::string>;

} // namespace Hyssophall::CommandLine
