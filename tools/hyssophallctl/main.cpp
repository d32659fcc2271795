#include "cataloguecommands.h"
#include "controlcommands.h"
#include "explaincommand.h"
#include "readcommands.h"
#include "session.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/numbers.h>
#include <absl/time/time.h>
#include <curl/curl.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

ABSL_FLAG(std::string, address, "127.0.0.1:8081", "Administration addresses, host:port, separated by commas; the next one is tried on failure.");
ABSL_FLAG(std::string, operator_key_file, "", "File that holds the operator's key.");
ABSL_FLAG(bool, json, false, "Print answers as JSON.");
ABSL_FLAG(std::string, expect, "", "Version that the change expects in force; read from the fleet when not given.");
ABSL_FLAG(std::string, change_id, "", "Id of the change, to resend a change whose outcome is unknown; random when not given.");
ABSL_FLAG(std::string, from, "", "Administration address of the VM for 'member admit' and 'control replace'.");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(30), "Longest wait of 'wait'.");

namespace {

using namespace Hyssophall::CommandLine;

constexpr std::chrono::milliseconds requestTimeout{15000};

constexpr const char *usage = R"(Operators' command line of Hyssophall.

  hyssophallctl [flags] COMMAND

  change put-service|put-route|put-team NAME=VALUE... | JSON
  change remove-service|remove-route|remove-team NAME
  key create ID TEAM           prints the key once
  key withdraw ID
  member admit --from=ADDRESS | NAME=VALUE... | JSON
  member admit --from=ADDRESS,ADDRESS,...    forms a new fleet at once
  member remove ID
  member list
  control bootstrap|status
  control replace ID --from=ADDRESS
  control remove ID
  version                      version in force on the VM
  wait VERSION                 until it is in force everywhere, --timeout
  catalogue
  instances SERVICE
  ready                        asks the first address alone
  explain REQUEST-ID [FILE...] the request's story from logs, or from standard input

Flags:
  --address=HOST:PORT,...      administration addresses (127.0.0.1:8081)
  --operator-key-file=FILE     file that holds the operator's key
  --json                       print answers as JSON
  --expect=VERSION             version that the change expects in force
  --change-id=ID               resends a change whose outcome is unknown
  --from=HOST:PORT             administration address of the VM
  --timeout=DURATION           longest wait of 'wait' (30s)
  --help, --version

Exit codes: 0 done, 1 usage, 2 conflict, 3 invalid, 4 unavailable, 5 outcome unknown, 6 not yet in force at the timeout.
)";

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    for (std::size_t start = 0; start <= text.size();) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

/// Abseil's flags have underscores; dashes are accepted as well.
void acceptDashes(int count, char **arguments)
{
    for (int index = 1; index < count; ++index) {
        const std::string_view argument = arguments[index];
        if (argument == "--") {
            return;
        }
        if (argument.substr(0, 2) == "--") {
            std::replace(arguments[index] + 2, arguments[index] + std::min(argument.find('='), argument.size()), '-', '_');
        }
    }
}

std::optional<std::string> readOperatorKey()
{
    const std::string file = absl::GetFlag(FLAGS_operator_key_file);
    std::string key;
    if (!file.empty()) {
        std::ifstream stream(file);
        if (!std::getline(stream, key) || key.empty()) {
            return std::nullopt;
        }
    }
    return key;
}

std::optional<Options> readOptions()
{
    Options options;
    options.json = absl::GetFlag(FLAGS_json);
    options.changeId = absl::GetFlag(FLAGS_change_id);
    options.from = absl::GetFlag(FLAGS_from);
    options.timeout = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout));
    const std::string expected = absl::GetFlag(FLAGS_expect);
    if (!expected.empty()) {
        std::uint64_t version = 0;
        if (!absl::SimpleAtoi(expected, &version)) {
            return std::nullopt;
        }
        options.expectedVersion = version;
    }
    return options;
}

ExitCode runCommand(const Session &session, const Words &words)
{
    const std::string command = words.empty() ? "" : words.front();
    const Words arguments(words.begin() + (words.empty() ? 0 : 1), words.end());
    if (command == "change") {
        return CatalogueCommands(session).change(arguments);
    }
    if (command == "key") {
        return CatalogueCommands(session).key(arguments);
    }
    if (command == "member") {
        return CatalogueCommands(session).member(arguments);
    }
    if (command == "control") {
        return ControlCommands(session).control(arguments);
    }
    const ReadCommands reads(session);
    if (command == "wait" && arguments.size() == 1) {
        return reads.wait(arguments.front());
    }
    if (command == "instances" && arguments.size() == 1) {
        return reads.instances(arguments.front());
    }
    if (arguments.empty() && command == "version") {
        return reads.version();
    }
    if (arguments.empty() && command == "catalogue") {
        return reads.catalogue();
    }
    if (arguments.empty() && command == "ready") {
        return reads.ready();
    }
    return Session::refuse("a command is needed");
}

ExitCode runProgram(const Words &words)
{
    if (!words.empty() && words.front() == "explain") {
        return explain(Words(words.begin() + 1, words.end()), absl::GetFlag(FLAGS_json));
    }
    const std::optional<std::string> key = readOperatorKey();
    if (!key) {
        return Session::refuse("--operator-key-file must name a readable file with the operator's key in its first line");
    }
    const std::optional<Options> options = readOptions();
    if (!options) {
        return Session::refuse("--expect must hold a version number");
    }
    const AdministrationClient client(split(absl::GetFlag(FLAGS_address)), *key, requestTimeout);
    return runCommand(Session(client, *options), words);
}

} // namespace

int main(int count, char **arguments)
{
    acceptDashes(count, arguments);
    // Abseil's own --help exits with 1 and lists the flags of all libraries.
    if (std::any_of(arguments + 1, arguments + count, [](const char *argument) { return std::string_view(argument) == "--help"; })) {
        std::cout << usage;
        return 0;
    }
    absl::SetProgramUsageMessage("see --help");
    absl::FlagsUsageConfig configuration;
    configuration.version_string = []() { return std::string("hyssophallctl " HYSSOPHALL_VERSION "\n"); };
    absl::SetFlagsUsageConfig(configuration);
    const std::vector<char *> words = absl::ParseCommandLine(count, arguments);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const ExitCode code = runProgram(Words(words.begin() + 1, words.end()));
    curl_global_cleanup();
    return static_cast<int>(code);
}
