#include "fleetprobe.h"

#include <fstream>
#include <sstream>
#include <thread>

namespace Hyssophall {

namespace {

constexpr std::chrono::seconds changeLimit{5};
constexpr std::chrono::milliseconds pauseBetweenTries{20};

/// Adds the samples of one counter to sums by call, over both directions.
void addSamples(const std::string &text, const std::string &name, std::map<std::string, double> &sums)
{
    std::istringstream lines(text);
    const std::string label = name + "{call=\"";
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(label, 0) == 0) {
            const std::string call = line.substr(label.size(), line.find('"', label.size()) - label.size());
            sums[call] += std::stod(line.substr(line.rfind(' ') + 1));
        }
    }
}

} // namespace

FleetProbe::FleetProbe(Harness::TestFleet &fleet)
    : fleet(fleet)
{
}

std::map<std::string, std::string> FleetProbe::operatorHeaders() const
{
    std::ifstream file(this->fleet.operatorKeyFile());
    std::string key;
    std::getline(file, key);
    return {{"Authorization", "Bearer " + key}};
}

std::optional<std::uint64_t> FleetProbe::change(const nlohmann::json &change)
{
    const Clock::time_point deadline = Clock::now() + changeLimit;
    Harness::HttpRequest request;
    request.method = "POST";
    request.headers = this->operatorHeaders();
    std::string id = "bench-" + std::to_string(++this->changeCount);
    while (Clock::now() < deadline) {
        request.body = nlohmann::json{{"change_id", id}, {"expected_version", this->latestVersion}, {"change", change}}.dump();
        for (const Harness::TestFleet::Vm &vm : this->fleet.vms()) {
            if (!vm.isControl) {
                continue;
            }
            request.url = "http://" + vm.administrationAddress + "/v1/changes";
            const Harness::HttpResponse answer = Harness::send(request);
            const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
            if (answer.status == 200 && body.is_object()) {
                this->latestVersion = body.value("version", std::uint64_t(0));
                return this->latestVersion;
            }
            if (body.is_object() && body.contains("error") && body["error"].contains("version")) {
                this->latestVersion = body["error"]["version"].get<std::uint64_t>();
                // A conflict is an answer that a resend gets again, so another expected version needs another id.
                id = "bench-" + std::to_string(++this->changeCount);
                break;
            }
        }
        std::this_thread::sleep_for(pauseBetweenTries);
    }
    return std::nullopt;
}

std::optional<std::uint64_t> FleetProbe::changeTeam(double rate)
{
    return this->change({{"put_team", {{"name", "bench"}, {"owner", "bench"}, {"rate", rate}, {"burst", 10.0}, {"weight", 1.0}}}});
}

std::uint64_t FleetProbe::versionOf(std::size_t vm) const
{
    const Harness::HttpResponse answer = Harness::get("http://" + this->fleet.vms()[vm].administrationAddress + "/v1/version", this->operatorHeaders());
    const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
    return body.is_object() ? body.value("version", std::uint64_t(0)) : 0;
}

std::vector<double> FleetProbe::waitForAll(const std::function<bool(std::size_t)> &holds, std::chrono::milliseconds limit) const
{
    const Clock::time_point begin = Clock::now();
    std::vector<double> times(this->fleet.vms().size(), -1);
    std::size_t left = times.size();
    while (left > 0 && Clock::now() < begin + limit) {
        for (std::size_t vm = 0; vm < times.size(); ++vm) {
            if (times[vm] < 0 && holds(vm)) {
                times[vm] = std::chrono::duration<double, std::milli>(Clock::now() - begin).count();
                --left;
            }
        }
    }
    return times;
}

std::vector<double> FleetProbe::waitForVersion(std::uint64_t version, std::chrono::milliseconds limit) const
{
    return this->waitForAll([this, version](std::size_t vm) { return this->versionOf(vm) >= version; }, limit);
}

std::vector<double> FleetProbe::waitForRefusal(const std::string &key, std::chrono::milliseconds limit)
{
    return this->waitForAll([this, &key](std::size_t vm) { return this->fleet.call(vm, "GET", "/bench", key).status == 401; }, limit);
}

bool FleetProbe::acceptsKey(std::size_t vm, const std::string &key)
{
    const long status = this->fleet.call(vm, "GET", "/bench", key).status;
    return status != 0 && status != 401;
}

FleetProbe::Cost FleetProbe::costOf(std::size_t vm) const
{
    const Harness::TestFleet::Vm &probed = this->fleet.vms()[vm];
    Cost cost;
    cost.processorSeconds = std::chrono::duration<double>(probed.process->processorTime()).count();
    cost.residentMegabytes = static_cast<double>(probed.process->residentBytes()) / 1e6;
    const std::string text = Harness::get("http://" + probed.administrationAddress + "/metrics").body;
    addSamples(text, "hyssophall_fleet_bytes_total", cost.bytes);
    addSamples(text, "hyssophall_fleet_messages_total", cost.messages);
    return cost;
}

double FleetProbe::loopbackBytes()
{
    std::ifstream file("/proc/net/dev");
    for (std::string line; std::getline(file, line);) {
        const std::size_t begin = line.find("lo:");
        if (begin != std::string::npos) {
            return std::stod(line.substr(begin + 3));
        }
    }
    return 0;
}

} // namespace Hyssophall
