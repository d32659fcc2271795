#include "session.h"

#include <boost/leaf/handle_errors.hpp>

#include <iostream>
#include <utility>

namespace Hyssophall::CommandLine {

namespace leaf = boost::leaf;

using nlohmann::json;

namespace {

ExitCode exitCodeOf(int status)
{
    switch (status) {
    case 200:
        return ExitCode::Done;
    case 409:
        return ExitCode::Conflict;
    case 503:
        return ExitCode::Unavailable;
    case 504:
    case 500:
        return ExitCode::OutcomeUnknown;
    default:
        return ExitCode::Invalid;
    }
}

void printError(const json &body)
{
    const json error = body.value("error", json::object());
    std::cerr << error.value("code", "error") << ": " << error.value("message", body.dump());
    if (error.contains("version")) {
        std::cerr << " (version in force: " << error["version"] << ")";
    }
    std::cerr << "\n";
}

} // namespace

Session::Session(AdministrationClient client, Options options)
    : administration(std::move(client))
    , chosen(std::move(options))
{
}

const AdministrationClient &Session::client() const
{
    return this->administration;
}

const Options &Session::options() const
{
    return this->chosen;
}

ExitCode Session::request(const std::string &method, const std::string &path, const std::string &body, const Show &show) const
{
    return this->run([&]() -> leaf::result<ExitCode> {
        BOOST_LEAF_AUTO(reply, this->administration.send(method, path, body));
        return this->conclude(reply, show);
    });
}

ExitCode Session::conclude(const AdministrationClient::Reply &reply, const Show &show) const
{
    const ExitCode code = exitCodeOf(reply.status);
    if (this->chosen.json) {
        std::cout << reply.body.dump() << "\n";
    } else if (code == ExitCode::Done) {
        show(reply.body);
    } else {
        printError(reply.body);
    }
    return code;
}

ExitCode Session::run(const std::function<leaf::result<ExitCode>()> &command) const
{
    return leaf::try_handle_all(
        command,
        [](const RequestFailed &failure) {
            std::cerr << (failure.mayHaveRun ? "outcome unknown: " : "unavailable: ") << failure.message << "\n";
            return failure.mayHaveRun ? ExitCode::OutcomeUnknown : ExitCode::Unavailable;
        },
        []() {
            std::cerr << "the request failed in an unexpected way\n";
            return ExitCode::OutcomeUnknown;
        });
}

ExitCode Session::refuse(const std::string &message)
{
    std::cerr << message << "\nTry --help.\n";
    return ExitCode::Usage;
}

} // namespace Hyssophall::CommandLine
