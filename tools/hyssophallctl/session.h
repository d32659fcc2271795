#pragma once

#include "administrationclient.h"
#include "exitcode.h"
#include "options.h"

#include <functional>
#include <string>

namespace Hyssophall::CommandLine {

/// What all commands share: the client, the options and how answers are printed.
class Session
{
public:
    using Show = std::function<void(const nlohmann::json &)>;

    Session(AdministrationClient client, Options options);

    const AdministrationClient &client() const;
    const Options &options() const;

    /// Sends a request, prints the answer with @p show (or as JSON) and gives the exit code that goes with its status.
    ExitCode request(const std::string &method, const std::string &path, const std::string &body, const Show &show) const;

    /// Prints an answer and gives the exit code that goes with its status.
    ExitCode conclude(const AdministrationClient::Reply &reply, const Show &show) const;

    /// Runs a command's body and turns a RequestFailed into a message and an exit code.
    ExitCode run(const std::function<boost::leaf::result<ExitCode>()> &command) const;

    /// Prints a message on the wrong use of the program.
    static ExitCode refuse(const std::string &message);

private:
    AdministrationClient administration;
    Options chosen;
};

} // namespace Hyssophall::CommandLine
