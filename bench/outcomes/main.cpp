// Measures the outcomes of a whole fleet under faults beside a naive baseline: detection, false ejections, the worst-served team, false refusals.

#include "faultdriver.h"
#include "report.h"
#include "scenario.h"
#include "side.h"
#include "traffic.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <curl/curl.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <thread>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the load and of the faults");
ABSL_FLAG(int, vms, 44, "VMs of each side; 3 of the fleet's are control VMs");
ABSL_FLAG(bool, quick, false, "a few faults only");
ABSL_FLAG(std::string, json, "", "file for the measures as JSON; empty: standard output");
ABSL_FLAG(std::string, trace, "", "file for one line for each request: side, second, team, service, VM, status, refusal, milliseconds; empty: none");

namespace {

using namespace HyssophallBench;

constexpr int fewestVms = 4;
constexpr int mostVms = 44;
// An arbiter ejects nothing in the first 12 s of its lease.
constexpr std::chrono::seconds settleTime{13};

std::string loadAverage()
{
    std::ifstream file("/proc/loadavg");
    std::string line;
    std::getline(file, line);
    return line.substr(0, line.find(' '));
}

struct SideRun {
    SideRun(Side &side, const Scenario &scenario, const std::vector<std::string> &keys)
        : traffic(side, scenario, keys)
        , driver(side, scenario)
    {
    }

    Traffic traffic;
    FaultDriver driver;
};

void runBoth(SideRun &fleet, SideRun &baseline)
{
    const Hyssophall::SteadyTime start = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    for (SideRun *run : {&fleet, &baseline}) {
        threads.emplace_back([run, start] { run->traffic.run(start); });
        threads.emplace_back([run, start] { run->driver.run(start); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

void writeTrace(std::ostream &stream, const char *side, const Scenario &scenario, const std::vector<Sample> &samples)
{
    for (std::size_t index = 0; index < samples.size(); ++index) {
        const Arrival &arrival = scenario.arrivals[index];
        const Sample &sample = samples[index];
        stream << side << " " << arrival.at << " " << arrival.team << " " << arrival.service << " " << sample.vm << " " << sample.status << " "
               << (sample.refusal.empty() ? "-" : sample.refusal) << " " << sample.milliseconds << "\n";
    }
}

void warmUp(FleetSide &side, const Scenario &scenario)
{
    // Arbiters begin their lives with the first reports, which need requests of each service on many VMs.
    for (int round = 0; round < 3; ++round) {
        for (std::size_t vm = 0; vm < side.vmCount(); ++vm) {
            for (const ServicePlan &service : scenario.services) {
                Hyssophall::Harness::get(side.callerUrl(vm) + "/" + service.name + "/warm", {{"Authorization", "Bearer " + side.keys()[round % 2]}});
            }
        }
    }
    std::this_thread::sleep_for(settleTime);
}

int measureAll()
{
    const Scenario scenario = Scenario::create(absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_quick));
    const std::string loadBefore = loadAverage();
    FleetSide fleet(scenario, absl::GetFlag(FLAGS_vms));
    if (!fleet.start()) {
        std::fprintf(stderr, "the fleet didn't start\n");
        return EXIT_FAILURE;
    }
    NaiveSide baseline(scenario, fleet.vmCount(), fleet.keys());
    if (!baseline.start()) {
        std::fprintf(stderr, "the baseline didn't start\n");
        return EXIT_FAILURE;
    }
    warmUp(fleet, scenario);
    SideRun fleetRun(fleet, scenario, fleet.keys());
    SideRun baselineRun(baseline, scenario, fleet.keys());
    runBoth(fleetRun, baselineRun);
    nlohmann::json result = {{"seed", absl::GetFlag(FLAGS_seed)}, {"vms", fleet.vmCount()}, {"requests", scenario.arrivals.size()}};
    result["load_average_before"] = loadBefore;
    result["load_average_after"] = loadAverage();
    result["fleet"] = measure(scenario, fleetRun.traffic.samples(), fleetRun.driver.observations());
    result["baseline"] = measure(scenario, baselineRun.traffic.samples(), baselineRun.driver.observations());
    if (!absl::GetFlag(FLAGS_trace).empty()) {
        std::ofstream trace(absl::GetFlag(FLAGS_trace));
        writeTrace(trace, "fleet", scenario, fleetRun.traffic.samples());
        writeTrace(trace, "baseline", scenario, baselineRun.traffic.samples());
    }
    std::cout << table(result["fleet"], result["baseline"]) << "seed " << result["seed"] << ", " << result["vms"] << " VMs a side, " << result["requests"]
              << " requests a side, load average " << loadBefore << " before and " << result["load_average_after"].get<std::string>() << " after\n";
    if (absl::GetFlag(FLAGS_json).empty()) {
        std::cout << result.dump(1) << "\n";
    } else {
        std::ofstream(absl::GetFlag(FLAGS_json)) << result.dump(1) << "\n";
    }
    return EXIT_SUCCESS;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    absl::ParseCommandLine(argumentCount, arguments);
    const int vms = absl::GetFlag(FLAGS_vms);
    if (vms < fewestVms || vms > mostVms) {
        std::fprintf(stderr, "--vms must be from %d to %d\n", fewestVms, mostVms);
        return EXIT_FAILURE;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return measureAll();
}
