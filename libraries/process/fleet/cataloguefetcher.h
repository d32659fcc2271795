#pragma once

#include "process/fleet/cataloguesource.h"
#include "process/hooks.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Hyssophall {

/// Fetches newer catalogue versions from peers, one fetch at a time. After a failure it tries another peer. Thread-safe.
class CatalogueFetcher
{
public:
    /// Called with the reply, or with nothing if the call failed.
    using ReplyHandler = std::function<void(std::optional<FleetMessages::FetchCatalogueReply>)>;
    using Send = std::function<void(
        const std::string &address, const FleetMessages::FetchCatalogueRequest &request, std::chrono::milliseconds timeout, ReplyHandler onReply)>;

    /// Timeout of a fetch of changes, which are small. It is short so that another peer can be tried in time: a new version must
    /// be in force on all VMs within 6 s.
    static constexpr std::chrono::milliseconds changesTimeout{1000};
    /// Timeout of a fetch of a whole catalogue, which has up to 30 MB.
    static constexpr std::chrono::milliseconds snapshotTimeout{5000};

    CatalogueFetcher(CatalogueSource source, SteadyClock clock, Send send);

    /// Reports that a peer has this version. Starts a fetch if the version is newer and no fetch is running.
    void addCandidate(const std::string &address, std::uint64_t version);

    /// Abandons a fetch whose reply is overdue and starts the next one. Called once per gossip round.
    void tick();

private:
    struct Fetch {
        std::string address;
        SteadyTime deadline;
    };

    std::chrono::milliseconds timeoutFor(std::uint64_t ownVersion) const;
    void startNext();
    void finish(std::uint64_t number, const std::optional<FleetMessages::FetchCatalogueReply> &reply);
    bool install(const FleetMessages::FetchCatalogueReply &reply) const;

    const CatalogueSource source;
    const SteadyClock clock;
    const Send send;
    std::mutex mutex;
    /// Versions of the peers that have a newer catalogue, by address.
    std::map<std::string, std::uint64_t> candidates;
    std::optional<Fetch> running;
    /// Number of the latest fetch. It distinguishes the reply to the running fetch from late replies to abandoned ones.
    std::uint64_t fetchCount = 0;
};

} // namespace Hyssophall
