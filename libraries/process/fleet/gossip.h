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

/// Exchanges heartbeats, records and catalogue versions with random members. Thread-safe; the owner calls tick().
class Gossip
{
public:
    /// An answer, or nothing when the call failed.
    using Answer = std::function<void(std::optional<FleetMessages::ExchangeMessage>)>;

    struct Hooks {
        SteadyClock clock;
        RandomSource random;
        std::function<void(const std::string &address, const FleetMessages::ExchangeMessage &message, Answer answer)> send;
        /// Version of the catalogue in force on this VM.
        std::function<std::uint64_t()> catalogueVersion;
        /// A peer has this version of the catalogue.
        std::function<void(const std::string &address, std::uint64_t version)> noticeVersion;
    };

    /// Time between rounds of gossip.
    static constexpr std::chrono::milliseconds interval{250};
    /// Bytes of updates in one message; a message for a starting VM may be larger.
    static constexpr std::size_t maximumUpdateBytes = 1200;

    /// @p seeds are fleet addresses to join through. All references must outlive this object.
    Gossip(Membership &membership, RecordStore &records, std::vector<std::string> seeds, Hooks hooks);

    /// One round: beats and starts exchanges with two live members, and every 2 s with one that seems dead.
    void tick();

    /// Answers the exchange of another VM.
    FleetMessages::ExchangeMessage receive(const FleetMessages::ExchangeMessage &message);

    /// Takes a record of this VM and passes it on. Returns false when a newer one is known.
    bool publish(const FleetMessages::Record &record);

    /// Says to other members at once that this VM is leaving, in place of the next round.
    void leave();

    /// Records that are still passed on.
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
    bool askForRecords(FleetMessages::ExchangeMessage &message);
    void exchangeWith(const Target &target, bool mayAsk);
    void handleAnswer(const Target &target, bool asked, const FleetMessages::ExchangeMessage &answer);
    void mergeRecords(const FleetMessages::ExchangeMessage &message);
    void passOn(const FleetMessages::Record &record);
    void passOnMissing(const FleetMessages::ExchangeMessage &answer);
    void compareDigest(std::uint64_t peerDigest);
    std::size_t below(std::size_t limit);

    Membership &membership;
    RecordStore &records;
    const std::vector<std::string> seeds;
    const Hooks hooks;
    RumorQueue rumors;
    mutable std::mutex mutex;
    std::uint64_t rounds = 0;
    bool hasAllRecords = false;
    SteadyTime lastMatch;
    SteadyTime lastAsked;
};

} // namespace Hyssophall
