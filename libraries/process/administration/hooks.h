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

/// This VM as GET /v1/vm shows it.
struct VmIdentity {
    std::string id;
    std::string fleetAddress;
    std::string failureDomain;
    std::uint64_t incarnation = 0;
};

struct Readiness {
    bool ready = false;
    /// Why this VM isn't ready, as in "vm_isolated"; empty when it is.
    std::string reason;
};

enum class BootstrapResult {
    Done,
    /// The replica already belongs to a group.
    AlreadyBootstrapped,
    /// This VM's role is entry.
    NotControl,
    /// The disk refused.
    Failed,
};

/// All that the administration API needs. Each hook is thread-safe; the interfaces outlive the API.
struct Hooks {
    CatalogueStore *store = nullptr;
    ChangeProposer *proposer = nullptr;
    const MemberView *members = nullptr;
    const InstanceDirectory *instances = nullptr;
    SteadyClock clock;
    /// Metrics in Prometheus' text format.
    std::function<std::string()> metricsText;
    std::function<Readiness()> readiness;
    /// Hands an announcement to its registrar; false when no registrar took it. The token was checked before.
    std::function<bool(const hyssophall::fleet::v1::AnnounceRequest &)> announce;
    /// Starts a control group with these replicas; an empty configuration means this VM alone.
    std::function<BootstrapResult(const ControlMessages::GroupConfiguration &)> bootstrap;
};

struct Configuration {
    VmIdentity vm;
    /// Operator name to the SHA-256 of the operator's key in lower-case hexadecimal digits, as in Settings::operators.
    std::map<std::string, std::string> operators;
    /// How long a change may wait for the control group's decision.
    std::chrono::milliseconds decisionTimeout{5000};
    /// After so long, a VM's serving lease from before its voters had a version must have run out; see ProgressTracker.
    std::chrono::milliseconds servingLeaseExpiry{6000};
};

} // namespace Hyssophall::Administration
