#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace HyssophallBench {

/// One service of the deployment.
struct ServicePlan {
    std::string name;
    int instances = 0;
    bool idempotent = true;
    /// Share of all requests.
    double share = 0;
};

/// One team; sends below its rate unless a fault makes it send more.
struct TeamPlan {
    std::string name;
    double rate = 0;
    double burst = 0;
    /// Requests a second that it sends.
    double sends = 0;
};

enum class FaultKind {
    None,
    Error30,
    Error70,
    Error100,
    Slow,
    Truncate,
    Hang,
    Flap,
    Killed,
    ColdStart,
    ServiceSheds,
    TeamFlood,
    UnevenBalancer,
    VmKilled,
};

const char *nameOf(FaultKind kind);

/// One fault with its window: the fault holds for the first part, the rest shows the recovery. Times in seconds since the load began.
struct FaultWindow {
    FaultKind kind = FaultKind::None;
    double begin = 0;
    double clear = 0;
    double end = 0;
    std::size_t service = 0;
    int instance = 0;
    std::size_t team = 0;
    /// Index among the entry VMs that aren't control VMs.
    std::size_t vm = 0;

    /// True for a fault of a single instance, which should lose its requests.
    bool hitsInstance() const;
};

/// One request of the load.
struct Arrival {
    double at = 0;
    std::size_t team = 0;
    std::size_t service = 0;
    /// From 0 to 1, chooses the VM.
    double balancerDraw = 0;
    std::size_t window = 0;
};

/// What a run does, given by its seed alone.
struct Scenario {
    std::vector<ServicePlan> services;
    std::vector<TeamPlan> teams;
    std::vector<FaultWindow> windows;
    std::vector<Arrival> arrivals;

    double duration() const;

    static Scenario create(std::uint64_t seed, bool quick);
};

} // namespace HyssophallBench
