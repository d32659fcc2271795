#pragma once

#include "process/fleet/membership.h"
#include "process/fleet/recordstore.h"
#include "process/fleet/rumorqueue.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Hyssophall {

/// Gossip protocol: exchanges heartbeats, records and catalogue versions with randomly chosen members of the roster.
/// Thread-safe. The owner calls tick() once per interval.
class Gossip
{
public:
    /// Called with the peer's reply, or with nothing if the call failed.
    using ReplyHandler = std::function<void(std::optional<FleetMessages::ExchangeMessage>)>;

    struct Hooks {
        SteadyClock clock;
        RandomSource random;
        std::function<void(const std::string &address, const FleetMessages::ExchangeMessage &message, ReplyHandler onReply)> send;
        /// Version of the catalogue that is in force on this VM.
        std::function<std::uint64_t()> catalogueVersion;
        /// Called when a peer reports a newer catalogue version than this VM's.
        std::function<void(const std::string &address, std::uint64_t version)> reportPeerVersion;
    };

    /// Time between rounds of gossip.
    static constexpr std::chrono::milliseconds interval{250};
    /// Maximum size of the updates in one message, in bytes. A reply with all records, which a starting VM requests, may be larger.
    static constexpr std::size_t maximumUpdateBytes = 1200;

    /// @p seeds are fleet addresses that this VM contacts to join the fleet. All references must outlive this object.
    Gossip(Membership &membership, RecordStore &records, std::vector<std::string> seeds, Hooks hooks);

    /// Runs one gossip round: advances this VM's heartbeat and starts exchanges with two live members, and every 2 s also with
    /// one member that is considered dead.
    void tick();

    /// Handles an exchange that another VM started, and returns the reply.
    FleetMessages::ExchangeMessage receive(const FleetMessages::ExchangeMessage &message);

    /// Stores a record created on this VM and queues it for the other members. Returns false if a newer record is stored already.
    bool publish(const FleetMessages::Record &record);

    /// Marks this VM as leaving and reports it to up to eight live members at once, without waiting for the next round.
    void leave();

    /// Number of records that are still queued for other members.
    std::size_t pendingRecords() const;

private:
    struct Target {
        std::string id;
        std::string address;
    };

    std::vector<Target> chooseTargets();
    void addRandom(std::vector<Target> &targets, std::vector<std::string> candidates, std::size_t count);
    void addSeeds(std::vector<Target> &targets, std::size_t count);
    FleetMessages::ExchangeMessage createMessage(std::optional<std::uint64_t> peerRosterVersion);
    void addRecords(FleetMessages::ExchangeMessage &message, std::size_t budget);
    bool requestRecords(FleetMessages::ExchangeMessage &message);
    void exchangeWith(const Target &target, bool mayRequestRecords);
    void handleReply(const Target &target, bool requestedRecords, const FleetMessages::ExchangeMessage &reply);
    void mergeRecords(const FleetMessages::ExchangeMessage &message);
    void queueRecord(const FleetMessages::Record &record);
    void queueRecordsMissingIn(const FleetMessages::ExchangeMessage &reply);
    void compareDigest(std::uint64_t peerDigest);
    std::size_t randomBelow(std::size_t limit);

    Membership &membership;
    RecordStore &records;
    const std::vector<std::string> seeds;
    const Hooks hooks;
    RumorQueue rumors;
    mutable std::mutex mutex;
    std::uint64_t rounds = 0;
    bool hasAllRecords = false;
    SteadyTime lastDigestMatch;
    SteadyTime lastRecordRequest;
};

} // namespace Hyssophall
