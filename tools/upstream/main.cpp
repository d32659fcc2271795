// Emulates one upstream instance: slots, shedding, cold start, faults, announcements.

#include "announcer.h"
#include "emulator.h"
#include "emulatorserver.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <boost/leaf/handle_errors.hpp>
#include <curl/curl.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>

ABSL_FLAG(std::string, host, "127.0.0.1", "IP number to listen on and to announce");
ABSL_FLAG(std::uint16_t, port, 0, "port to listen on and, without --announced_port, to announce");
ABSL_FLAG(std::uint16_t, announced_port, 0, "port to announce in place of the own one, as behind a proxy; 0: the own one");
ABSL_FLAG(std::string, service, "", "service of the catalogue that this instance belongs to");
ABSL_FLAG(std::string, id, "", "id of the instance");
ABSL_FLAG(std::string, failure_domain, "", "failure domain of the instance");
ABSL_FLAG(std::uint32_t, slots, 3, "requests that run at the same time");
ABSL_FLAG(std::uint32_t, queue, 32, "requests that wait for a slot before further ones are shed");
ABSL_FLAG(absl::Duration, service_time, absl::Milliseconds(5), "time that a request takes");
ABSL_FLAG(absl::Duration, cold_start, absl::ZeroDuration(), "time after the start in which requests take three times as long");
ABSL_FLAG(std::string, announce_to, "", "administration addresses of VMs, separated by commas; empty: no announcements");
ABSL_FLAG(std::string, announce_token_file, "", "file that holds the service's announcement token");
ABSL_FLAG(absl::Duration, announce_interval, absl::Seconds(2), "time between two announcements");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the faults' random numbers");

namespace {

std::string readToken(const std::string &file)
{
    std::ifstream stream(file);
    std::string token;
    std::getline(stream, token);
    return token;
}

Hyssophall::Emulator::Options createEmulatorOptions()
{
    const std::shared_ptr<std::mt19937_64> generator = std::make_shared<std::mt19937_64>(absl::GetFlag(FLAGS_seed));
    Hyssophall::Emulator::Options options;
    options.slots = absl::GetFlag(FLAGS_slots);
    options.queueLimit = absl::GetFlag(FLAGS_queue);
    options.serviceTime = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_service_time));
    options.coldStart = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_cold_start));
    options.random = [generator] { return (*generator)(); };
    return options;
}

Hyssophall::Announcer::Options createAnnouncerOptions()
{
    Hyssophall::Announcer::Options options;
    options.service = absl::GetFlag(FLAGS_service);
    options.instanceId = absl::GetFlag(FLAGS_id);
    options.failureDomain = absl::GetFlag(FLAGS_failure_domain);
    options.host = absl::GetFlag(FLAGS_host);
    const std::uint16_t announcedPort = absl::GetFlag(FLAGS_announced_port);
    options.port = announcedPort == 0 ? absl::GetFlag(FLAGS_port) : announcedPort;
    options.slots = absl::GetFlag(FLAGS_slots);
    options.incarnation = static_cast<std::uint64_t>(absl::ToUnixMillis(absl::Now()));
    options.token = readToken(absl::GetFlag(FLAGS_announce_token_file));
    options.targets = absl::StrSplit(absl::GetFlag(FLAGS_announce_to), ',', absl::SkipEmpty());
    options.interval = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_announce_interval));
    return options;
}

void waitForTermination()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    absl::SetProgramUsageMessage("emulates one upstream instance");
    absl::ParseCommandLine(argumentCount, arguments);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);

    Hyssophall::Emulator emulator(createEmulatorOptions());
    Hyssophall::Announcer announcer(createAnnouncerOptions());
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            const std::uint16_t port = absl::GetFlag(FLAGS_port);
            BOOST_LEAF_AUTO(server, Hyssophall::EmulatorServer::create(absl::GetFlag(FLAGS_host), port, emulator, announcer));
            waitForTermination();
            return EXIT_SUCCESS;
        },
        [](const Hyssophall::EmulatorPortUnavailable &error) {
            std::fprintf(stderr, "port %u can't be opened\n", static_cast<unsigned int>(error.port));
            return EXIT_FAILURE;
        },
        [] { return EXIT_FAILURE; });
}
