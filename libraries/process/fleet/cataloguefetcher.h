#pragma once

#include "process/fleet/cataloguesource.h"
#include "process/hooks.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Hyssophall {

/// Fetches newer catalogue versions from peers, one fetch at a time; after a failure, from another peer. Thread-safe.
class CatalogueFetcher
{
public:
    /// An answer, or nothing when the call failed.
    using Answer = std::function<void(std::optional<FleetMessages::FetchCatalogueReply>)>;
    using Send = std::function<void(
        const std::string &address, const FleetMessages::FetchCatalogueRequest &request, std::chrono::milliseconds timeout, Answer answer)>;

    /// Changes are small: a peer that doesn't answer in this time is passed over, since a version must be in force within 6 s.
    static constexpr std::chrono::milliseconds changesTimeout{1000};
    /// A whole catalogue has up to 30 MB.
    static constexpr std::chrono::milliseconds snapshotTimeout{5000};

    CatalogueFetcher(CatalogueSource source, SteadyClock clock, Send send);

    /// A peer has this version.
    void notice(const std::string &address, std::uint64_t version);

    /// Gives up a fetch whose answer never came; called from time to time.
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
    /// Versions of peers that are ahead, by address.
    std::map<std::string, std::uint64_t> candidates;
    std::optional<Fetch> running;
    /// Tells the answer of the running fetch from those of fetches that were given up.
    std::uint64_t fetches = 0;
};

} // namespace Hyssophall
