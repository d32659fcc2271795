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

    /// VMs that are told of a judged request before its caller hears of it. In a larger fleet the others hear by gossip.
    static constexpr std::size_t maximumToldAtOnce = 64;

    /**
     * Sends a crash to the owner of the fingerprint, and its judgement to the other live VMs; the hook of HealthMonitor::Options.
     *
     * Waits up to 100 ms for the owner and as long for the others, so that a caller that sends a judged request again finds no VM that
     * still tries it.
     */
    void reportCrash(std::uint64_t fingerprint, const std::string &instance);

private:
    static std::string shardNameOf(std::uint64_t fingerprint);
    bool isReportDue(const std::string &service, bool suspicious);
    void sendReports();
    void decideEjections();
    void markPoisonEverywhere(std::uint64_t fingerprint);
    bool askOwner(const FleetMessages::ReportCrashRequest &request);
    void tellOthers(std::uint64_t fingerprint, const std::string &owner);

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
