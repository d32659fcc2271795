#include "testfleet.h"

#include "ports.h"
#include "process/keyhash.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace Hyssophall::Harness {

namespace {

constexpr std::chrono::milliseconds pollInterval{20};
constexpr std::chrono::seconds startTimeout{30};
constexpr std::chrono::seconds commandTimeout{60};
const std::string loopback = "127.0.0.1:";
const std::string announceToken = "announcement-token-of-the-test-fleet";

std::string newAddress()
{
    return loopback + std::to_string(findFreePort());
}

std::unique_ptr<ChildProcess> startOrNull(const std::string &program, const std::vector<std::string> &arguments, const std::string &outputFile)
{
    return boost::leaf::try_handle_all([&] { return ChildProcess::create(program, arguments, outputFile); }, [] { return std::unique_ptr<ChildProcess>(); });
}

std::string createFolder()
{
    std::string pattern = "/tmp/hyssophall-XXXXXX";
    return mkdtemp(pattern.data()) == nullptr ? std::string() : pattern;
}

std::string contentOf(const std::string &file)
{
    std::ifstream stream(file);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

} // namespace

bool waitUntil(std::chrono::milliseconds timeout, const std::function<bool()> &condition)
{
    const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

TestFleet::TestFleet(Options options)
    : options(std::move(options))
    , workFolder(createFolder())
    , operatorKey("operator-key-of-the-test-fleet")
{
    std::ofstream(this->operatorKeyFile()) << this->operatorKey << "\n";
    std::ofstream(this->workFolder + "/token") << announceToken << "\n";
    for (int index = 0; index < this->options.controlVms + this->options.entryVms; ++index) {
        Vm vm;
        vm.isControl = index < this->options.controlVms;
        vm.id = (vm.isControl ? "control-" : "entry-") + std::to_string(index);
        vm.settingsFile = this->workFolder + "/" + vm.id + ".ini";
        vm.dataFolder = this->workFolder + "/" + vm.id;
        vm.callerAddress = newAddress();
        vm.administrationAddress = newAddress();
        vm.fleetAddress = newAddress();
        this->allVms.push_back(std::move(vm));
    }
    int index = 0;
    for (Vm &vm : this->allVms) {
        this->writeSettings(vm, index++);
    }
}

TestFleet::~TestFleet()
{
    this->allUpstreams.clear();
    this->allVms.clear();
    if (std::getenv("HYSSOPHALL_KEEP_FILES") == nullptr && !this->workFolder.empty()) {
        std::error_code ignored;
        std::filesystem::remove_all(this->workFolder, ignored);
    }
}

bool TestFleet::start()
{
    for (std::size_t index = 0; index < this->allVms.size(); ++index) {
        if (!this->startVm(index)) {
            return false;
        }
    }
    const auto answers = [](const Vm &vm) { return get("http://" + vm.administrationAddress + "/healthz").status == 200; };
    const bool allAnswer = waitUntil(startTimeout, [this, &answers] { return std::all_of(this->allVms.begin(), this->allVms.end(), answers); });
    if (!allAnswer || this->command({"control", "bootstrap"}).exitCode != 0) {
        return false;
    }
    const auto isAny = [](const Vm &) { return true; };
    const std::string everyone = this->addressesOf(isAny, [](const Vm &vm) { return vm.administrationAddress; });
    const auto admits = [this, &everyone] { return this->command({"member", "admit", "--from=" + everyone}).exitCode == 0; };
    const auto isReady = [](const Vm &vm) { return get("http://" + vm.administrationAddress + "/ready").status == 200; };
    return waitUntil(startTimeout, admits)
        && waitUntil(startTimeout, [this, &isReady] { return std::all_of(this->allVms.begin(), this->allVms.end(), isReady); });
}

bool TestFleet::startVm(std::size_t index)
{
    Vm &vm = this->allVms[index];
    vm.process = startOrNull(this->programFile("hyssophalld"), {"--settings=" + vm.settingsFile}, this->workFolder + "/" + vm.id + ".out");
    return vm.process != nullptr;
}

TestFleet::Upstream &TestFleet::startUpstream(const std::string &service, const std::string &id, const std::vector<std::string> &extraArguments)
{
    std::unique_ptr<Upstream> upstream = std::make_unique<Upstream>();
    upstream->id = id;
    upstream->port = findFreePort();
    const auto isAny = [](const Vm &) { return true; };
    upstream->arguments = {"--port=" + std::to_string(upstream->port),
        "--service=" + service,
        "--id=" + id,
        "--failure_domain=domain-0",
        "--announce_token_file=" + this->workFolder + "/token",
        "--announce_to=" + this->addressesOf(isAny, [](const Vm &vm) { return vm.administrationAddress; })};
    upstream->arguments.insert(upstream->arguments.end(), extraArguments.begin(), extraArguments.end());
    upstream->process = startOrNull(this->programFile("hyssophall-upstream"), upstream->arguments, this->workFolder + "/" + id + ".out");
    this->allUpstreams.push_back(std::move(upstream));
    return *this->allUpstreams.back();
}

TestFleet::Upstream &TestFleet::startUpstreamBehindProxy(const std::string &service, const std::string &id, const std::vector<std::string> &extraArguments)
{
    const std::uint16_t proxyPort = findFreePort();
    std::vector<std::string> arguments = {"--announced_port=" + std::to_string(proxyPort)};
    arguments.insert(arguments.end(), extraArguments.begin(), extraArguments.end());
    Upstream &upstream = this->startUpstream(service, id, arguments);
    upstream.proxyControlPort = findFreePort();
    upstream.proxy = startOrNull(this->programFile("hyssophall-faultproxy"),
        {"--listen_port=" + std::to_string(proxyPort),
            "--target_port=" + std::to_string(upstream.port),
            "--control_port=" + std::to_string(upstream.proxyControlPort)},
        this->workFolder + "/" + id + "-proxy.out");
    return upstream;
}

bool TestFleet::setLinkFaults(const Upstream &upstream, const nlohmann::json &faults)
{
    HttpRequest request;
    request.method = "PUT";
    request.url = "http://" + loopback + std::to_string(upstream.proxyControlPort) + "/faults";
    request.body = faults.dump();
    return send(request).status == 200;
}

bool TestFleet::putService(const std::string &name, unsigned int floorPerMille, unsigned int floorCount)
{
    return this->command({"change",
                             "put-service",
                             "name=" + name,
                             "owner=tests",
                             "announce_token=" + announceToken,
                             "floor_per_mille=" + std::to_string(floorPerMille),
                             "floor_count=" + std::to_string(floorCount)})
               .exitCode
        == 0;
}

bool TestFleet::putRoute(const std::string &name, const std::string &prefix, const std::string &service, bool idempotent)
{
    const std::string routeClass = idempotent ? "idempotent" : "non_idempotent";
    return this->command({"change", "put-route", "name=" + name, "owner=tests", "path_prefix=" + prefix, "service=" + service, "route_class=" + routeClass})
               .exitCode
        == 0;
}

bool TestFleet::putTeam(const std::string &name, double rate, double burst, double weight)
{
    return this->command({"change",
                             "put-team",
                             "name=" + name,
                             "owner=tests",
                             "rate=" + std::to_string(rate),
                             "burst=" + std::to_string(burst),
                             "weight=" + std::to_string(weight)})
               .exitCode
        == 0;
}

std::string TestFleet::createKey(const std::string &team, const std::string &keyId)
{
    const CommandResult result = this->command({"--json", "key", "create", keyId, team});
    if (result.exitCode != 0) {
        return {};
    }
    const std::size_t begin = result.output.find('{');
    const nlohmann::json answer = nlohmann::json::parse(begin == std::string::npos ? result.output : result.output.substr(begin), nullptr, false);
    return answer.is_object() ? answer.value("key", "") : std::string();
}

TestFleet::CommandResult TestFleet::command(const std::vector<std::string> &arguments)
{
    const auto isControl = [](const Vm &vm) { return vm.isControl; };
    return this->runCommand(this->addressesOf(isControl, [](const Vm &vm) { return vm.administrationAddress; }), arguments);
}

TestFleet::CommandResult TestFleet::commandTo(std::size_t vm, const std::vector<std::string> &arguments)
{
    return this->runCommand(this->allVms[vm].administrationAddress, arguments);
}

TestFleet::CommandResult TestFleet::runCommand(const std::string &addresses, const std::vector<std::string> &arguments)
{
    std::vector<std::string> all = {"--address=" + addresses, "--operator_key_file=" + this->operatorKeyFile()};
    all.insert(all.end(), arguments.begin(), arguments.end());
    const std::string output = this->workFolder + "/command-" + std::to_string(this->commandCount++) + ".out";
    const std::unique_ptr<ChildProcess> process = startOrNull(this->programFile("hyssophallctl"), all, output);
    CommandResult result;
    result.exitCode = process == nullptr ? -1 : process->waitForExit(commandTimeout).value_or(-1);
    result.output = contentOf(output);
    return result;
}

bool TestFleet::waitInForce(std::chrono::milliseconds timeout)
{
    const CommandResult version = this->command({"--json", "control", "status"});
    const nlohmann::json status = nlohmann::json::parse(version.output, nullptr, false);
    if (!status.is_object()) {
        return false;
    }
    const nlohmann::json held = status.value("catalogue_version", nlohmann::json(0));
    const std::string text = held.is_string() ? held.get<std::string>() : held.dump();
    return this->command({"--timeout=" + std::to_string(timeout.count()) + "ms", "wait", text}).exitCode == 0;
}

bool TestFleet::waitInstances(const std::string &service, std::size_t count, std::chrono::milliseconds timeout)
{
    return waitUntil(timeout, [this, &service, count] {
        return std::all_of(this->allVms.begin(), this->allVms.end(), [this, &service, count](const Vm &vm) {
            const nlohmann::json known = this->instances(vm, service);
            return static_cast<std::size_t>(std::count_if(known.begin(), known.end(), [](const nlohmann::json &instance) {
                return instance.dump().find("ready") != std::string::npos;
            })) == count;
        });
    });
}

nlohmann::json TestFleet::instances(const Vm &vm, const std::string &service) const
{
    const HttpResponse answer = get("http://" + vm.administrationAddress + "/v1/instances/" + service, {{"Authorization", "Bearer " + this->operatorKey}});
    const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
    return body.is_object() && body.contains("instances") ? body["instances"] : nlohmann::json::array();
}

HttpResponse TestFleet::call(std::size_t vm,
    const std::string &method,
    const std::string &path,
    const std::string &key,
    const std::string &body,
    const std::map<std::string, std::string> &headers)
{
    HttpRequest request;
    request.method = method;
    request.url = "http://" + this->allVms[vm].callerAddress + path;
    request.headers = headers;
    request.body = body;
    if (!key.empty()) {
        request.headers["Authorization"] = "Bearer " + key;
    }
    return send(request);
}

nlohmann::json TestFleet::record(const Upstream &upstream)
{
    return nlohmann::json::parse(get("http://" + loopback + std::to_string(upstream.port) + "/_emulator/record").body, nullptr, false);
}

void TestFleet::setFaults(const Upstream &upstream, const nlohmann::json &faults)
{
    HttpRequest request;
    request.method = "PUT";
    request.url = "http://" + loopback + std::to_string(upstream.port) + "/_emulator/faults";
    request.body = faults.dump();
    send(request);
}

std::vector<TestFleet::Vm> &TestFleet::vms()
{
    return this->allVms;
}

std::vector<std::unique_ptr<TestFleet::Upstream>> &TestFleet::upstreams()
{
    return this->allUpstreams;
}

const std::string &TestFleet::folder() const
{
    return this->workFolder;
}

std::string TestFleet::operatorKeyFile() const
{
    return this->workFolder + "/operator.key";
}

void TestFleet::writeSettings(Vm &vm, int index)
{
    const auto isControl = [](const Vm &candidate) { return candidate.isControl; };
    const std::string controlFleet = this->addressesOf(isControl, [](const Vm &candidate) { return candidate.fleetAddress; });
    std::ofstream file(vm.settingsFile);
    file << "[vm]\nid = " << vm.id << "\nfailure_domain = domain-" << index % this->options.failureDomains
         << "\nrole = " << (vm.isControl ? "control" : "entry") << "\n";
    if (vm.isControl || this->options.entryDataFolders) {
        std::filesystem::create_directory(vm.dataFolder);
        file << "data_folder = " << vm.dataFolder << "\n";
    }
    file << "[listen]\ncaller = " << vm.callerAddress << "\nadministration = " << vm.administrationAddress << "\nfleet = " << vm.fleetAddress << "\n";
    file << "[fleet]\nsecret = secret-of-the-test-fleet\npeers = " << controlFleet << "\n";
    file << "[control]\nreplicas = " << controlFleet << "\n";
    file << "[operators]\ntester = " << hexadecimal(hashKey(this->operatorKey)) << "\n";
    file << this->options.extraSettings;
}

std::string TestFleet::addressesOf(const std::function<bool(const Vm &)> &include, const std::function<std::string(const Vm &)> &address) const
{
    std::string list;
    for (const Vm &vm : this->allVms) {
        if (include(vm)) {
            list += (list.empty() ? "" : ",") + address(vm);
        }
    }
    return list;
}

std::string TestFleet::programFile(const std::string &name) const
{
    return this->options.programs + "/" + name;
}

} // namespace Hyssophall::Harness
