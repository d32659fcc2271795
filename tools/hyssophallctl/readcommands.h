#pragma once

#include "session.h"

#include <string>

namespace Hyssophall::CommandLine {

/// Commands that change nothing.
class ReadCommands
{
public:
    /// The session outlives the commands.
    explicit ReadCommands(const Session &session);

    ExitCode version() const;
    /// Waits until the version is in force everywhere or the timeout has passed.
    ExitCode wait(const std::string &version) const;
    ExitCode catalogue() const;
    ExitCode instances(const std::string &service) const;
    /// Asks the first address alone.
    ExitCode ready() const;

private:
    const Session &session;
};

} // namespace Hyssophall::CommandLine
