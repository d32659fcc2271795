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
 * Connects this VM to the fleet-wide detection of failing instances and poison requests.
 *
 * Reports the outcomes of this VM's tries to the arbiters, and is the arbiter of the services and fingerprints whose shards it holds.
 */
class HealthNode
{
public:
    struct Options {
        std::string memberId;
        SteadyClock clock;
        RandomSource random;
        /// Capacity floor of a service in the current catalogue.
        std::function<CapacityFloor(const std::string &service)> floorOf;
        /// Publishes a record to all VMs by gossip, this one included.
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

    /// Starts the thread that calls tick() at regular intervals. Tests call tick() themselves instead.
    void start();

    /// Sends the reports that are due, and decides the ejections of the services whose arbiter this VM is.
    void tick();

    /// Handlers for the calls of other VMs; thread-safe and non-blocking.
    FleetMessages::ReportOutcomesReply handleReportOutcomes(const FleetMessages::ReportOutcomesRequest &request);
    FleetMessages::ReportCrashReply handleReportCrash(const FleetMessages::ReportCrashRequest &request);

    /// Maximum number of VMs that are notified of a poison request before its caller gets the response. In a larger fleet the others receive the
    /// record by gossip.
    static constexpr std::size_t maximumMembersNotified = 64;

    /**
     * Reports a crash to the owner of the fingerprint's shard and, if the owner replies that the request is poison, notifies the other live
     * VMs. Called through HealthMonitor::Options.
     *
     * Blocks up to 100 ms for the owner and as long for the other VMs, so that when the caller sends a poison request again, the notified VMs
     * already refuse it.
     */
    void reportCrash(std::uint64_t fingerprint, const std::string &instance);

private:
    static std::string shardNameOf(std::uint64_t fingerprint);
    bool isReportDue(const std::string &service, bool suspicious);
    void sendReports();
    void decideEjections();
    void publishPoison(std::uint64_t fingerprint);
    bool reportToOwner(const FleetMessages::ReportCrashRequest &request);
    void notifyOtherMembers(std::uint64_t fingerprint, const std::string &owner);

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
