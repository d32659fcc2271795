#include "process/fleet/cataloguefetcher.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::size_t maximumCandidates = 16;
/// The transport reports a timeout itself. A fetch is abandoned if no report has arrived this long after its timeout.
constexpr std::chrono::milliseconds lostReplyGrace{500};

} // namespace

CatalogueFetcher::CatalogueFetcher(CatalogueSource source, SteadyClock clock, Send send)
    : source(std::move(source))
    , clock(std::move(clock))
    , send(std::move(send))
{
}

std::chrono::milliseconds CatalogueFetcher::timeoutFor(std::uint64_t ownVersion) const
{
    return ownVersion == 0 ? snapshotTimeout : changesTimeout;
}

void CatalogueFetcher::addCandidate(const std::string &address, std::uint64_t version)
{
    if (version <= this->source.version()) {
        return;
    }
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->candidates.size() >= maximumCandidates && !this->candidates.contains(address)) {
            return;
        }
        this->candidates[address] = version;
    }
    this->startNext();
}

void CatalogueFetcher::tick()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->running && this->clock() >= this->running->deadline) {
            this->candidates.erase(this->running->address);
            this->running.reset();
        }
    }
    this->startNext();
}

void CatalogueFetcher::startNext()
{
    const std::uint64_t ownVersion = this->source.version();
    const std::chrono::milliseconds timeout = this->timeoutFor(ownVersion);
    std::string address;
    std::uint64_t number = 0;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        std::erase_if(this->candidates, [ownVersion](const std::pair<const std::string, std::uint64_t> &peer) { return peer.second <= ownVersion; });
        if (this->running || this->candidates.empty()) {
            return;
        }
        address = std::max_element(this->candidates.begin(), this->candidates.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        })->first;
        this->running = Fetch{address, this->clock() + timeout + lostReplyGrace};
        number = ++this->fetchCount;
    }
    FleetMessages::FetchCatalogueRequest request;
    request.set_from_version(ownVersion);
    this->send(address, request, timeout, [this, number](std::optional<FleetMessages::FetchCatalogueReply> reply) { this->finish(number, reply); });
}

void CatalogueFetcher::finish(std::uint64_t number, const std::optional<FleetMessages::FetchCatalogueReply> &reply)
{
    const std::uint64_t versionBefore = this->source.version();
    // A late reply is installed too, since a version is never replaced by an older one.
    const bool advanced = reply && this->install(*reply) && this->source.version() > versionBefore;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->running || number != this->fetchCount) {
            return;
        }
        if (!advanced) {
            this->candidates.erase(this->running->address);
        }
        this->running.reset();
    }
    this->startNext();
}

bool CatalogueFetcher::install(const FleetMessages::FetchCatalogueReply &reply) const
{
    if (reply.has_snapshot()) {
        return reply.snapshot().version() > this->source.version() && this->source.replace(reply.snapshot());
    }
    return reply.changes_size() > 0 && this->source.advance({reply.changes().begin(), reply.changes().end()});
}

} // namespace Hyssophall
