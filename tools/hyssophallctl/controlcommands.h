#pragma once

#include "session.h"

#include <string>

namespace Hyssophall::CommandLine {

/// Commands on the control group.
class ControlCommands
{
public:
    /// The session outlives the commands.
    explicit ControlCommands(const Session &session);

    /// "bootstrap", "status", "replace ID" with --from, or "remove ID".
    ExitCode control(const Words &words) const;

private:
    ExitCode replace(const std::string &id) const;

    const Session &session;
};

} // namespace Hyssophall::CommandLine
