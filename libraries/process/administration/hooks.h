#pragma once

#include "fleet.pb.h"
#include "process/cataloguestore.h"
#include "process/control/changeproposer.h"
#include "process/fleet/instancedirectory.h"
#include "process/fleet/memberview.h"
#include "process/hooks.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Hyssophall::Administration {

/// This VM's identity, as GET /v1/vm shows it.
struct VmIdentity {
    std::string id;
    std::string fleetAddress;
    std::string failureDomain;
    std::uint64_t incarnation = 0;
};

struct Readiness {
    bool ready = false;
    /// Why this VM isn't ready, such as "vm_isolated"; empty when it is ready.
    std::string reason;
};

enum class BootstrapResult {
    Done,
    /// The replica already belongs to a group.
    AlreadyBootstrapped,
    /// This VM's role is entry.
    NotControl,
    /// The group couldn't be created or stored.
    Failed,
};

/// The dependencies of the administration API. Each hook must be thread-safe, and the objects behind the pointers must outlive the API.
struct Hooks {
    CatalogueStore *store = nullptr;
    ChangeProposer *proposer = nullptr;
    const MemberView *members = nullptr;
    const InstanceDirectory *instances = nullptr;
    SteadyClock clock;
    /// Metrics in Prometheus' text format.
    std::function<std::string()> metricsText;
    std::function<Readiness()> readiness;
    /// Sends an announcement to the VM that is its registrar; false if none accepted it. The API checks the service's token first.
    std::function<bool(const hyssophall::fleet::v1::AnnounceRequest &)> announce;
    /// Starts a control group with these replicas; with an empty list, with those of the settings.
    std::function<BootstrapResult(const ControlMessages::GroupConfiguration &)> bootstrap;
};

struct Configuration {
    VmIdentity vm;
    /// Operator name to the SHA-256 of the operator's key in lower-case hexadecimal digits, as in Settings::operators.
    std::map<std::string, std::string> operators;
    /// Longest wait for the control group's decision on a change.
    std::chrono::milliseconds decisionTimeout{5000};
    /// Once a VM's voters have had a version for this time, a serving lease that they granted before must have expired; see ProgressTracker.
    std::chrono::milliseconds servingLeaseExpiry{6000};
};

} // namespace Hyssophall::Administration
