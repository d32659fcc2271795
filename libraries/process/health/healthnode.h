#pragma once

#include "process/fleet/fleettransport.h"
#include "process/fleet/memberview.h"
#include "process/fleet/shardleases.h"
#include "process/health/crashregistry.h"
#include "process/health/ejectionarbiter.h"
#include "process/health/healthmonitor.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace Hyssophall {

/**
 * This VM's part in the fleet's judgement of instances.
 *
 * Sends the outcomes seen here to the arbiters, and acts as the arbiter of the services and fingerprints whose shards it holds.
 */
class HealthNode
{
public:
    struct Options {
        std::string memberId;
        SteadyClock clock;
        RandomSource random;
        /// The floor that the catalogue in force gives a service.
        std::function<CapacityFloor(const std::string &service)> floorOf;
        /// Spreads a record to all VMs, this one included.
        std::function<void(const FleetMessages::Record &)> publish;
    };

    /// All references outlive the node.
    HealthNode(Options options,
        HealthMonitor &monitor,
        const InstanceDirectory &directory,
        const ShardLeases &leases,
        const MemberView &members,
        FleetTransport &transport);
    ~HealthNode();

    HealthNode(const HealthNode &) = delete;
    HealthNode &operator=(const HealthNode &) = delete;

    /// Starts the thread that reports and decides. Not called by tests, which call tick() themselves.
    void start();

    /// One round: sends due reports and decides for the services whose arbiter this VM is.
    void tick();

    /// Handlers for the calls of other VMs; thread-safe and non-blocking.
    FleetMessages::ReportOutcomesReply takeOutcomes(const FleetMessages::ReportOutcomesRequest &request);
    FleetMessages::ReportCrashReply takeCrash(const FleetMessages::ReportCrashRequest &request);

    /// Sends a crash to the owner of the fingerprint and waits for its answer, 100 ms at most; the hook of HealthMonitor::Options.
    void reportCrash(std::uint64_t fingerprint, const std::string &instance);

private:
    static std::string shardNameOf(std::uint64_t fingerprint);
    bool isReportDue(const std::string &service, bool suspicious);
    void sendReports();
    void decideEjections();
    void markPoisonEverywhere(std::uint64_t fingerprint);

    const Options options;
    HealthMonitor &monitor;
    const InstanceDirectory &directory;
    const ShardLeases &leases;
    const MemberView &members;
    FleetTransport &transport;
    std::mutex mutex;
    std::map<std::string, EjectionArbiter> arbiters;
    CrashRegistry crashes;
    std::map<std::string, SteadyTime> reportedAt;
    std::condition_variable stopChanged;
    bool stopping = false;
    std::thread thread;
};

} // namespace Hyssophall
