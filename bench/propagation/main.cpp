// Starts a fleet of real processes and prints, as JSON, how fast changes and withdrawals get in force and what each role costs.

#include "fleetprobe.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>

ABSL_FLAG(int, vms, 8, "VMs of the fleet, three of them control VMs.");
ABSL_FLAG(int, changes, 100, "Changes whose propagation is measured.");
ABSL_FLAG(int, withdrawals, 10, "Withdrawn keys.");
ABSL_FLAG(int, missed, 500, "Changes that a stopped VM misses before its restart.");
ABSL_FLAG(int, claims, 200, "Requests with an idempotency key, and as many without.");
ABSL_FLAG(int, seconds, 15, "Length of each measurement of costs.");
ABSL_FLAG(std::string, programs, HYSSOPHALL_BINARIES, "Folder of the programs under test.");

using namespace Hyssophall;
using nlohmann::json;

namespace {

constexpr std::chrono::seconds limit{20};

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return -1;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1) + 0.5)];
}

json summary(const std::vector<double> &values)
{
    return {{"count", values.size()}, {"p50", percentile(values, 0.5)}, {"p99", percentile(values, 0.99)}, {"max", percentile(values, 1)}};
}

/// The last VM's time, or the limit when a VM took longer.
double slowest(const std::vector<double> &times)
{
    const bool isComplete = std::find(times.begin(), times.end(), -1) == times.end();
    return isComplete ? *std::max_element(times.begin(), times.end()) : std::chrono::duration<double, std::milli>(limit).count();
}

json measurePropagation(FleetProbe &probe)
{
    std::vector<double> lastVm;
    std::vector<double> anyVm;
    int refused = 0;
    for (int number = 0; number < absl::GetFlag(FLAGS_changes); ++number) {
        const std::optional<std::uint64_t> version = probe.changeTeam(100 + number);
        if (!version) {
            ++refused;
            continue;
        }
        const std::vector<double> times = probe.waitForVersion(*version, limit);
        lastVm.push_back(slowest(times));
        anyVm.insert(anyVm.end(), times.begin(), times.end());
    }
    return {{"all_vms_ms", summary(lastVm)}, {"each_vm_ms", summary(anyVm)}, {"not_accepted", refused}};
}

json measureWithdrawals(Harness::TestFleet &fleet, FleetProbe &probe)
{
    std::vector<double> lastVm;
    for (int number = 0; number < absl::GetFlag(FLAGS_withdrawals); ++number) {
        const std::string id = "bench-key-" + std::to_string(number);
        const std::string key = fleet.createKey("bench", id);
        const auto isAccepted = [&fleet, &probe, &key] {
            bool accepted = true;
            for (std::size_t vm = 0; vm < fleet.vms().size(); ++vm) {
                accepted = accepted && probe.acceptsKey(vm, key);
            }
            return accepted;
        };
        if (!key.empty() && Harness::waitUntil(limit, isAccepted) && probe.change({{"withdraw_key", id}})) {
            lastVm.push_back(slowest(probe.waitForRefusal(key, limit)));
        }
    }
    return summary(lastVm);
}

/// Time from the restart of an entry VM until it serves the version in force, its start included.
json measureCatchUp(Harness::TestFleet &fleet, FleetProbe &probe)
{
    const std::size_t vm = fleet.vms().size() - 1;
    fleet.vms()[vm].process->kill();
    std::uint64_t version = 0;
    int missed = 0;
    for (int number = 0; number < absl::GetFlag(FLAGS_missed); ++number) {
        const std::optional<std::uint64_t> accepted = probe.changeTeam(1000 + number);
        missed += accepted ? 1 : 0;
        version = accepted.value_or(version);
    }
    const FleetProbe::Clock::time_point begin = FleetProbe::Clock::now();
    fleet.startVm(vm);
    const bool caughtUp = Harness::waitUntil(limit, [&probe, vm, version] { return probe.versionOf(vm) >= version; });
    const double time = std::chrono::duration<double, std::milli>(FleetProbe::Clock::now() - begin).count();
    const bool isReady
        = Harness::waitUntil(limit, [&fleet, vm] { return Harness::get("http://" + fleet.vms()[vm].administrationAddress + "/ready").status == 200; });
    const double readyTime = std::chrono::duration<double, std::milli>(FleetProbe::Clock::now() - begin).count();
    return {{"missed_changes", missed}, {"caught_up_ms", caughtUp ? json(time) : json()}, {"ready_ms", isReady ? json(readyTime) : json()}};
}

/// Mean costs a second of the VMs that @p includes.
json rates(const std::vector<FleetProbe::Cost> &before, const std::vector<FleetProbe::Cost> &after, double seconds, const std::vector<std::size_t> &vms)
{
    double processor = 0;
    double resident = 0;
    double total = 0;
    std::map<std::string, double> bytes;
    std::map<std::string, double> messages;
    const double divisor = seconds * static_cast<double>(vms.size());
    for (const std::size_t vm : vms) {
        processor += after[vm].processorSeconds - before[vm].processorSeconds;
        resident = std::max(resident, after[vm].residentMegabytes);
        for (const std::pair<const std::string, double> &entry : after[vm].bytes) {
            const std::string &call = entry.first;
            const double &value = entry.second;
            const auto found = before[vm].bytes.find(call);
            const double difference = value - (found == before[vm].bytes.end() ? 0 : found->second);
            bytes[call] += difference / divisor;
            total += difference / divisor;
        }
        for (const std::pair<const std::string, double> &entry : after[vm].messages) {
            const std::string &call = entry.first;
            const double &value = entry.second;
            const auto found = before[vm].messages.find(call);
            messages[call] += (value - (found == before[vm].messages.end() ? 0 : found->second)) / divisor;
        }
    }
    return {{"vms", vms.size()},
        {"core_percent", 100 * processor / divisor},
        {"largest_resident_mb", resident},
        {"message_bytes_per_second", total},
        {"bytes_by_call", bytes},
        {"messages_by_call", messages}};
}

json measureCosts(Harness::TestFleet &fleet, const std::function<void()> &everySecond)
{
    FleetProbe probe(fleet);
    std::map<std::string, std::vector<std::size_t>> roles;
    std::vector<FleetProbe::Cost> before;
    const json status = json::parse(fleet.command({"--json", "control", "status"}).output, nullptr, false);
    const std::string leader = status.is_object() ? status.value("leader", "") : "";
    for (std::size_t vm = 0; vm < fleet.vms().size(); ++vm) {
        const Harness::TestFleet::Vm &candidate = fleet.vms()[vm];
        const bool isLeader = leader == candidate.id || leader == candidate.fleetAddress;
        roles[!candidate.isControl ? "entry" : isLeader ? "control leader" : "control follower"].push_back(vm);
        before.push_back(probe.costOf(vm));
    }
    const double loopback = FleetProbe::loopbackBytes();
    const FleetProbe::Clock::time_point begin = FleetProbe::Clock::now();
    FleetProbe::Clock::time_point next = begin;
    for (int second = 0; second < absl::GetFlag(FLAGS_seconds); ++second) {
        everySecond();
        next += std::chrono::seconds(1);
        std::this_thread::sleep_until(next);
    }
    const double seconds = std::chrono::duration<double>(FleetProbe::Clock::now() - begin).count();
    const double loopbackRate = (FleetProbe::loopbackBytes() - loopback) / seconds / static_cast<double>(fleet.vms().size());
    std::vector<FleetProbe::Cost> after;
    for (std::size_t vm = 0; vm < fleet.vms().size(); ++vm) {
        after.push_back(probe.costOf(vm));
    }
    // Each byte on the loopback interface is sent by one VM and received by another, so it counts twice as message bytes do.
    json result{{"loopback_bytes_per_vm_and_second_sent_and_received", 2 * loopbackRate}};
    for (const std::pair<const std::string, std::vector<std::size_t>> &entry : roles) {
        const std::string &role = entry.first;
        const std::vector<std::size_t> &vms = entry.second;
        result[role] = rates(before, after, seconds, vms);
    }
    return result;
}

/// Messages and bytes of all VMs for each of @p requests, by call; calls that go on without requests are counted too.
json trafficOf(const std::vector<FleetProbe::Cost> &before, const std::vector<FleetProbe::Cost> &after, int requests)
{
    std::map<std::string, double> bytes;
    std::map<std::string, double> messages;
    for (std::size_t vm = 0; vm < before.size(); ++vm) {
        for (const std::pair<const std::string, double> &entry : after[vm].bytes) {
            const std::string &call = entry.first;
            const double &value = entry.second;
            const auto found = before[vm].bytes.find(call);
            bytes[call] += value - (found == before[vm].bytes.end() ? 0 : found->second);
        }
        for (const std::pair<const std::string, double> &entry : after[vm].messages) {
            const std::string &call = entry.first;
            const double &value = entry.second;
            const auto found = before[vm].messages.find(call);
            messages[call] += value - (found == before[vm].messages.end() ? 0 : found->second);
        }
    }
    json result;
    for (const std::pair<const std::string, double> &entry : messages) {
        const std::string &call = entry.first;
        const double &count = entry.second;
        if (count > 0) {
            result[call] = {{"messages_per_request", count / requests}, {"bytes_per_message", bytes[call] / count}};
        }
    }
    return result;
}

std::vector<FleetProbe::Cost> costsOf(Harness::TestFleet &fleet, const FleetProbe &probe)
{
    std::vector<FleetProbe::Cost> costs;
    for (std::size_t vm = 0; vm < fleet.vms().size(); ++vm) {
        costs.push_back(probe.costOf(vm));
    }
    return costs;
}

/// Time and messages of non-idempotent requests, one after the other, over all VMs in turn.
json measureRequests(Harness::TestFleet &fleet, const FleetProbe &probe, const std::string &key, bool withClaim)
{
    const int requests = absl::GetFlag(FLAGS_claims);
    const std::vector<FleetProbe::Cost> before = costsOf(fleet, probe);
    std::vector<double> times;
    int refused = 0;
    for (int number = 0; number < requests; ++number) {
        std::map<std::string, std::string> headers;
        if (withClaim) {
            headers["Idempotency-Key"] = "bench-" + std::to_string(number);
        }
        const std::size_t vm = static_cast<std::size_t>(number) % fleet.vms().size();
        const FleetProbe::Clock::time_point begin = FleetProbe::Clock::now();
        refused += fleet.call(vm, "POST", "/orders", key, "order", headers).status == 200 ? 0 : 1;
        times.push_back(std::chrono::duration<double, std::milli>(FleetProbe::Clock::now() - begin).count());
    }
    return {{"ms", summary(times)}, {"not_200", refused}, {"traffic", trafficOf(before, costsOf(fleet, probe), requests)}};
}

json measureClaims(Harness::TestFleet &fleet, FleetProbe &probe)
{
    if (!fleet.putService("orders") || !fleet.putRoute("orders", "/orders", "orders", false)) {
        return nullptr;
    }
    fleet.startUpstream("orders", "orders-1");
    const std::string key = fleet.createKey("bench", "bench-claims");
    probe.changeTeam(10000);
    fleet.waitInForce();
    if (!fleet.waitInstances("orders", 1)) {
        return nullptr;
    }
    const json without = measureRequests(fleet, probe, key, false);
    return {{"without_claim", without}, {"with_claim", measureRequests(fleet, probe, key, true)}};
}

double loadAverage()
{
    double load = 0;
    std::ifstream("/proc/loadavg") >> load;
    return load;
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    Harness::TestFleet::Options options;
    options.programs = absl::GetFlag(FLAGS_programs);
    options.entryVms = std::clamp(absl::GetFlag(FLAGS_vms), 4, 44) - options.controlVms;
    Harness::TestFleet fleet(options);
    json result{{"vms", fleet.vms().size()}, {"load_average_before", loadAverage()}};
    if (!fleet.start()) {
        std::cerr << "the fleet did not start\n";
        return EXIT_FAILURE;
    }
    if (!fleet.putService("bench") || !fleet.putRoute("bench", "/bench", "bench", true) || !fleet.putTeam("bench", 100, 10)) {
        std::cerr << "the catalogue's first entries were not accepted\n";
        return EXIT_FAILURE;
    }
    fleet.waitInForce();
    FleetProbe probe(fleet);
    std::this_thread::sleep_for(std::chrono::seconds(5));
    result["at_rest"] = measureCosts(fleet, [] {});
    double rate = 10;
    result["a_change_a_second"] = measureCosts(fleet, [&probe, &rate] { probe.changeTeam(++rate); });
    result["accepted_to_in_force"] = measurePropagation(probe);
    result["withdrawn_to_refused_ms"] = measureWithdrawals(fleet, probe);
    result["claims"] = measureClaims(fleet, probe);
    result["restart"] = measureCatchUp(fleet, probe);
    result["load_average_after"] = loadAverage();
    std::cout << result.dump(2) << "\n";
    return EXIT_SUCCESS;
}
