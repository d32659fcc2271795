#include "controldaemon.h"
#include "daemon.h"
#include "process/settings/settingfields.h"
#include "process/telemetry/jsonlogsink.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <boost/leaf/handle_errors.hpp>

#include <glog/logging.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <string_view>

ABSL_FLAG(std::string, settings, "", "Serve with the settings in this INI file; by default, the file that the environment variable HYSSOPHALL_CONFIG names.");
ABSL_FLAG(std::string, check, "", "Check the settings in this INI file and exit with status 0 if they are valid, 1 otherwise.");

ABSL_FLAG(std::string, kill_after_s, "", "Overrides the setting shutdown.kill_after_s; an empty value keeps it.");

namespace {

using namespace Hyssophall;

constexpr int failureStatus = 1;
constexpr int usageStatus = 2;

int reportSetting(const InvalidSetting &fault)
{
    std::cerr << fault.file << ":" << fault.line << ": " << fault.setting << ": expected " << fault.expected << std::endl;
    return failureStatus;
}

int reportEndpoint(const EndpointFailure &failure)
{
    std::cerr << failure.endpoint.address() << " can't be opened: " << (failure.error == 0 ? "the web server didn't start" : std::strerror(failure.error))
              << std::endl;
    return failureStatus;
}

int reportFile(const TelemetryFileFailure &failure)
{
    std::cerr << failure.file << " can't be opened for appending" << std::endl;
    return failureStatus;
}

int reportFleetPort(const FleetPortUnavailable &failure)
{
    std::cerr << failure.address << " can't be opened for the fleet" << std::endl;
    return failureStatus;
}

int reportAdministrationPort(const Administration::ServerNotStarted &failure)
{
    std::cerr << failure.endpoint.address() << " can't be opened for administration" << std::endl;
    return failureStatus;
}

int reportStorage(const StorageError &fault)
{
    const bool isCorrupted = fault.kind == StorageError::Kind::Corrupted;
    std::cerr << fault.file << (isCorrupted ? " is corrupted" : " can't be read or written") << std::endl;
    return failureStatus;
}

int reportUnknown()
{
    std::cerr << "The daemon can't start for an unknown reason" << std::endl;
    return failureStatus;
}

boost::leaf::result<int> check(const std::string &file)
{
    boost::leaf::result<Settings> settings = Settings::createFromFile(file);
    if (!settings) {
        return settings.error();
    }
    std::cout << file << ": the settings can be used" << std::endl;
    return 0;
}

// --help is handled here, because Abseil's own exits with status 1, as after an error.
bool isHelpRequested(int argumentCount, char **arguments)
{
    return argumentCount == 2 && std::string_view(arguments[1]) == "--help";
}

int printHelp()
{
    std::cout << absl::ProgramUsageMessage() << "\n";
    for (const char *name : {"settings", "check", "kill_after_s"}) {
        std::cout << "  --" << name << "  " << absl::FindCommandLineFlag(name)->Help() << "\n";
    }
    std::cout << "  --version  Print the version and exit." << std::endl;
    return 0;
}

// Blocks the signals in all threads that start later, so that the main thread can wait for them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A write to a connection that the peer has closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int waitForStop(const sigset_t &signals)
{
    int received = 0;
    // SIGHUP is ignored: settings are read only at the start, and everything that may change at run time is in the catalogue.
    do {
        sigwait(&signals, &received);
        LOG(INFO) << "Signal " << received << (received == SIGHUP ? " ignored: settings are read only at the start" : " received: stopping");
    } while (received == SIGHUP);
    return received;
}

boost::leaf::result<int> serveControl(const Settings &settings, const sigset_t &signals)
{
    BOOST_LEAF_AUTO(daemon, ControlDaemon::create(settings));
    waitForStop(signals);
    return 0;
}

boost::leaf::result<int> serveCallers(const Settings &settings, JsonLogSink &log, const sigset_t &signals)
{
    BOOST_LEAF_AUTO(daemon, Daemon::create(settings, log));
    waitForStop(signals);
    if (!daemon->shutDown()) {
        // The web server's end would wait for the requests in flight, and nobody would accept connections meanwhile.
        daemon->closeSpans();
        log.close();
        std::_Exit(EXIT_SUCCESS);
    }
    return 0;
}

boost::leaf::result<void> overrideKillAfter(Settings &settings, const std::string &value)
{
    const std::string name = "shutdown.kill_after_s";
    const detail::SettingField &field = detail::settingFields().at(name);
    if (!value.empty() && !field.read(settings, value)) {
        return boost::leaf::new_error(InvalidSetting{"--kill_after_s", 0, name, field.expected});
    }
    return {};
}

boost::leaf::result<int> serve(const std::string &file)
{
    const sigset_t signals = blockStopSignals();
    BOOST_LEAF_AUTO(settings, Settings::createFromFile(file));
    BOOST_LEAF_CHECK(overrideKillAfter(settings, absl::GetFlag(FLAGS_kill_after_s)));
    BOOST_LEAF_AUTO(log, JsonLogSink::create(settings.telemetry.logFile, settings.vm.id));
    const bool isRelay = settings.relay.enabled && settings.vm.role == Role::Control;
    return isRelay ? serveControl(settings, signals) : serveCallers(settings, *log, signals);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    absl::SetProgramUsageMessage(
        "Proxy for upstreams that fail partially.\nUsage: hyssophalld --settings FILE [--kill_after_s SECONDS] | --check FILE | --version | --help");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("hyssophalld " HYSSOPHALL_VERSION "\n"); };
    absl::SetFlagsUsageConfig(usage);
    if (isHelpRequested(argumentCount, arguments)) {
        return printHelp();
    }
    const std::vector<char *> positional = absl::ParseCommandLine(argumentCount, arguments);
    const std::string checked = absl::GetFlag(FLAGS_check);
    const char *fromEnvironment = checked.empty() ? std::getenv("HYSSOPHALL_CONFIG") : nullptr;
    const std::string flagValue = absl::GetFlag(FLAGS_settings);
    const std::string served = flagValue.empty() && fromEnvironment != nullptr ? fromEnvironment : flagValue;
    if (positional.size() > 1 || checked.empty() == served.empty()) {
        std::cerr << absl::ProgramUsageMessage() << std::endl;
        return usageStatus;
    }
    return boost::leaf::try_handle_all([&checked, &served] { return checked.empty() ? serve(served) : check(checked); },
        reportSetting,
        reportEndpoint,
        reportFile,
        reportFleetPort,
        reportAdministrationPort,
        reportStorage,
        reportUnknown);
}
