// Sends a bounded load to entry VMs and prints what came back as JSON.

#include "loadrun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>
#include <curl/curl.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

ABSL_FLAG(std::string, urls, "", "URLs, separated by commas; each connection uses the next one");
ABSL_FLAG(std::string, method, "GET", "HTTP method");
ABSL_FLAG(std::string, key_file, "", "file that holds the team's key; empty: no key");
ABSL_FLAG(std::string, body, "", "body of each request");
ABSL_FLAG(bool, idempotency_keys, false, "give each request an Idempotency-Key of its own");
ABSL_FLAG(int, connections, 1, "connections, at most 200");
ABSL_FLAG(double, rate, 0, "requests a second over all connections; 0: as fast as answers come");
ABSL_FLAG(absl::Duration, duration, absl::Seconds(1), "length of the run, at most 10 minutes");
ABSL_FLAG(std::uint64_t, requests, 1000000, "requests at most");

int main(int argumentCount, char **arguments)
{
    constexpr int usageError = 1;
    constexpr int maximumConnections = 200;
    absl::SetProgramUsageMessage("sends a bounded load to entry VMs");
    absl::ParseCommandLine(argumentCount, arguments);
    Hyssophall::LoadRun::Options options;
    options.urls = absl::StrSplit(absl::GetFlag(FLAGS_urls), ',', absl::SkipEmpty());
    options.method = absl::GetFlag(FLAGS_method);
    options.body = absl::GetFlag(FLAGS_body);
    options.idempotencyKeys = absl::GetFlag(FLAGS_idempotency_keys);
    options.connections = absl::GetFlag(FLAGS_connections);
    options.rate = absl::GetFlag(FLAGS_rate);
    options.duration = absl::ToChronoMilliseconds(std::min(absl::GetFlag(FLAGS_duration), absl::Minutes(10)));
    options.maximumRequests = absl::GetFlag(FLAGS_requests);
    if (options.urls.empty() || options.connections < 1 || options.connections > maximumConnections) {
        std::fprintf(stderr, "--urls needs a URL and --connections a number from 1 to %d\n", maximumConnections);
        return usageError;
    }
    std::ifstream keyFile(absl::GetFlag(FLAGS_key_file));
    std::getline(keyFile, options.key);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    std::printf("%s\n", Hyssophall::LoadRun(options).run().dump(2).c_str());
    return EXIT_SUCCESS;
}
