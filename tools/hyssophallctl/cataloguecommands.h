#pragma once

#include "session.h"

#include <string>

namespace Hyssophall::CommandLine {

/// Commands that change the catalogue: change, key and member.
class CatalogueCommands
{
public:
    /// The session outlives the commands.
    explicit CatalogueCommands(const Session &session);

    /// "put-service ..." and the like.
    ExitCode change(const Words &words) const;
    /// "create ID TEAM" or "withdraw ID".
    ExitCode key(const Words &words) const;
    /// "admit ...", "remove ID" or "list".
    ExitCode member(const Words &words) const;

private:
    /// @p details are added to the answer to an accepted change.
    ExitCode propose(const nlohmann::json &change, const Session::Show &show, const nlohmann::json &details) const;
    ExitCode admit(const Words &fields) const;
    ExitCode createKey(const std::string &id, const std::string &team) const;
    boost::leaf::result<std::uint64_t> expectedVersion() const;

    const Session &session;
};

} // namespace Hyssophall::CommandLine
