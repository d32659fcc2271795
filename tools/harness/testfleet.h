#pragma once

#include "childprocess.h"
#include "httprequest.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Hyssophall::Harness {

/// Waits until a condition holds; false at the timeout.
bool waitUntil(std::chrono::milliseconds timeout, const std::function<bool()> &condition);

/**
 * A whole fleet of real processes on loopback: control VMs, entry VMs, emulated upstreams and fault proxies.
 *
 * Operators' work goes through hyssophallctl, as it does in use. Everything ends with the object.
 */
class TestFleet
{
public:
    struct Options {
        /// Folder of the built programs.
        std::string programs;
        int controlVms = 3;
        /// Entry VMs beside the control VMs.
        int entryVms = 1;
        int failureDomains = 3;
        /// Gives the entry VMs a data folder, too, in which they keep a copy of the catalogue.
        bool entryDataFolders = false;
        /// Added to the settings of each daemon, as "[section]\nname = value\n".
        std::string extraSettings;
    };

    struct Vm {
        std::string id;
        std::string settingsFile;
        std::string dataFolder;
        std::string callerAddress;
        std::string administrationAddress;
        std::string fleetAddress;
        bool isControl = false;
        std::unique_ptr<ChildProcess> process;
    };

    struct Upstream {
        std::string id;
        std::uint16_t port = 0;
        std::vector<std::string> arguments;
        std::unique_ptr<ChildProcess> process;
        /// Control port of the fault proxy that the instance announces; zero without one.
        std::uint16_t proxyControlPort = 0;
        std::unique_ptr<ChildProcess> proxy;
    };

    /// Outcome of one hyssophallctl command.
    struct CommandResult {
        int exitCode = 0;
        std::string output;
    };

    explicit TestFleet(Options options);
    ~TestFleet();

    /// Starts all VMs, forms the control group and admits all VMs. False when that fails within 30 s.
    bool start();

    /// Starts or restarts one VM with its settings.
    bool startVm(std::size_t index);

    /// Starts an upstream of a service that announces itself to all VMs.
    Upstream &startUpstream(const std::string &service, const std::string &id, const std::vector<std::string> &extraArguments = {});

    /// Starts an upstream whose announced port is that of a fault proxy. The emulator's own pages stay reachable directly.
    Upstream &startUpstreamBehindProxy(const std::string &service, const std::string &id, const std::vector<std::string> &extraArguments = {});

    /// Replaces the faults of an upstream's proxy, in the form of parseLinkFaults(). False when the proxy doesn't accept them.
    bool setLinkFaults(const Upstream &upstream, const nlohmann::json &faults);

    /// Puts a service with its announcement token into the catalogue.
    bool putService(const std::string &name, unsigned int floorPerMille = 500, unsigned int floorCount = 1);
    bool putRoute(const std::string &name, const std::string &prefix, const std::string &service, bool idempotent);
    bool putTeam(const std::string &name, double rate, double burst, double weight = 1);
    /// Creates a key and returns it; empty on failure.
    std::string createKey(const std::string &team, const std::string &keyId);

    /// Runs hyssophallctl with the operator's key and the addresses of the control VMs.
    CommandResult command(const std::vector<std::string> &arguments);
    /// As command(), with one VM's address alone.
    CommandResult commandTo(std::size_t vm, const std::vector<std::string> &arguments);

    /// Waits until the version that control holds is in force on all VMs.
    bool waitInForce(std::chrono::milliseconds timeout = std::chrono::seconds(10));

    /// The instances of a service as one VM knows them; empty when the VM doesn't answer.
    nlohmann::json instances(const Vm &vm, const std::string &service) const;

    /// Waits until a VM knows this many ready instances of a service.
    bool waitInstances(const std::string &service, std::size_t count, std::chrono::milliseconds timeout = std::chrono::seconds(15));

    HttpResponse call(std::size_t vm,
        const std::string &method,
        const std::string &path,
        const std::string &key,
        const std::string &body = "",
        const std::map<std::string, std::string> &headers = {});

    /// The emulator's record of runs.
    nlohmann::json record(const Upstream &upstream);
    void setFaults(const Upstream &upstream, const nlohmann::json &faults);

    std::vector<Vm> &vms();
    std::vector<std::unique_ptr<Upstream>> &upstreams();
    const std::string &folder() const;
    std::string operatorKeyFile() const;

private:
    void writeSettings(Vm &vm, int index);
    CommandResult runCommand(const std::string &addresses, const std::vector<std::string> &arguments);
    std::string addressesOf(const std::function<bool(const Vm &)> &include, const std::function<std::string(const Vm &)> &address) const;
    std::string programFile(const std::string &name) const;

    const Options options;
    std::string workFolder;
    std::string operatorKey;
    std::vector<Vm> allVms;
    std::vector<std::unique_ptr<Upstream>> allUpstreams;
    std::atomic<int> commandCount{0};
};

} // namespace Hyssophall::Harness
