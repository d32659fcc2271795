// Forwards one TCP port to another and injects faults, set with PUT /faults on the control port.

#include "faultproxy.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/leaf/handle_errors.hpp>
#include <netinet/in.h>
#include <ulfius.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

ABSL_FLAG(std::uint16_t, listen_port, 0, "port to accept connections on, on 127.0.0.1");
ABSL_FLAG(std::uint16_t, target_port, 0, "port to forward to, on 127.0.0.1");
ABSL_FLAG(std::uint16_t, control_port, 0, "HTTP port that takes faults");

namespace {

void setJson(_u_response *response, unsigned int status, const nlohmann::json &body)
{
    ulfius_set_string_body_response(response, status, body.dump().c_str());
}

int serveFaults(const _u_request *request, _u_response *response, void *proxy)
{
    const std::string body(static_cast<const char *>(request->binary_body), request->binary_body_length);
    const nlohmann::json description = nlohmann::json::parse(body, nullptr, false);
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(faults, Hyssophall::parseLinkFaults(description));
            static_cast<Hyssophall::FaultProxy *>(proxy)->setFaults(faults);
            setJson(response, 200, {{"accepted", true}});
            return {};
        },
        [&](const Hyssophall::InvalidLinkFaults &error) {
            setJson(response, 422, {{"field", error.field}});
        },
        [&] { setJson(response, 500, nlohmann::json::object()); });
    return U_CALLBACK_COMPLETE;
}

int run(Hyssophall::FaultProxy &proxy, const sigset_t &signals)
{
    _u_instance instance{};
    const std::uint16_t controlPort = absl::GetFlag(FLAGS_control_port);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(controlPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (ulfius_init_instance(&instance, controlPort, &address, nullptr) != U_OK) {
        return EXIT_FAILURE;
    }
    ulfius_add_endpoint_by_val(&instance, "PUT", "/faults", nullptr, 0, &serveFaults, &proxy);
    if (ulfius_start_framework(&instance) != U_OK) {
        std::fprintf(stderr, "port %u can't be opened\n", static_cast<unsigned int>(controlPort));
        return EXIT_FAILURE;
    }
    int received = 0;
    sigwait(&signals, &received);
    ulfius_stop_framework(&instance);
    ulfius_clean_instance(&instance);
    return EXIT_SUCCESS;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    absl::SetProgramUsageMessage("TCP proxy that injects faults");
    absl::ParseCommandLine(argumentCount, arguments);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    Hyssophall::FaultProxy::Options options;
    options.listenPort = absl::GetFlag(FLAGS_listen_port);
    options.targetPort = absl::GetFlag(FLAGS_target_port);
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(proxy, Hyssophall::FaultProxy::create(options));
            return run(*proxy, signals);
        },
        [](const Hyssophall::ProxyPortUnavailable &error) {
            std::fprintf(stderr, "port %u can't be opened\n", static_cast<unsigned int>(error.port));
            return EXIT_FAILURE;
        },
        [] { return EXIT_FAILURE; });
}
