#include "readcommands.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <iostream>
#include <thread>

namespace Hyssophall::CommandLine {

namespace leaf = boost::leaf;

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds pollInterval{200};

void showProgress(const json &body)
{
    std::cout << "version " << body["version"] << (body["in_force"].get<bool>() ? " is in force" : " is not yet in force") << ": confirmed by "
              << body["confirmed"] << " of " << body["members"] << ", expired on " << body["expired"] << "\n";
}

void showInstances(const json &body)
{
    for (const json &instance : body["instances"]) {
        std::cout << instance["id"].get<std::string>() << " " << instance["host"].get<std::string>() << ":" << instance["port"] << " "
                  << instance["state"].get<std::string>() << (instance["ejected"].get<bool>() ? " ejected" : "") << "\n";
    }
}

} // namespace

ReadCommands::ReadCommands(const Session &session)
    : session(session)
{
}

ExitCode ReadCommands::version() const
{
    return this->session.request("GET", "/v1/version", "", [](const json &body) { std::cout << body["version"] << "\n"; });
}

ExitCode ReadCommands::wait(const std::string &version) const
{
    using Clock = std::chrono::steady_clock;
    const Clock::time_point deadline = Clock::now() + this->session.options().timeout;
    return this->session.run([&]() -> leaf::result<ExitCode> {
        while (true) {
            leaf::result<AdministrationClient::Reply> reply = this->session.client().send("GET", "/v1/progress/" + escapedSegment(version), "");
            const bool isPending = !reply || (reply->status == 200 && !reply->body.value("in_force", false));
            if (!isPending) {
                return this->session.conclude(*reply, showProgress);
            }
            if (Clock::now() >= deadline) {
                BOOST_LEAF_AUTO(last, std::move(reply));
                this->session.conclude(last, showProgress);
                return ExitCode::NotYetInForce;
            }
            std::this_thread::sleep_for(pollInterval);
        }
    });
}

ExitCode ReadCommands::catalogue() const
{
    return this->session.request("GET", "/v1/catalogue", "", [](const json &body) { std::cout << body.dump(2) << "\n"; });
}

ExitCode ReadCommands::instances(const std::string &service) const
{
    return this->session.request("GET", "/v1/instances/" + escapedSegment(service), "", showInstances);
}

ExitCode ReadCommands::ready() const
{
    return this->session.run([&]() -> leaf::result<ExitCode> {
        BOOST_LEAF_AUTO(reply, this->session.client().sendToFirst("GET", "/ready", ""));
        const bool isReady = reply.status == 200;
        if (this->session.options().json) {
            std::cout << reply.body.dump() << "\n";
        } else {
            std::cout << (isReady ? "ready" : "not ready: " + reply.body.value("reason", "")) << "\n";
        }
        return isReady ? ExitCode::Done : ExitCode::Unavailable;
    });
}

} // namespace Hyssophall::CommandLine
