#include "process/fleet/fleetcore.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <utility>

namespace Hyssophall {

namespace {

/// Longer than a round trip between regions, and shorter than the time after which a member is suspect.
constexpr std::chrono::milliseconds exchangeTimeout{1000};
constexpr std::chrono::milliseconds announceTimeout{500};

std::vector<std::string> without(std::vector<std::string> addresses, const std::string &ownAddress)
{
    std::erase(addresses, ownAddress);
    return addresses;
}

template<typename Reply>
std::optional<Reply> toOptional(boost::leaf::result<Reply> &reply)
{
    return reply ? std::optional<Reply>(std::move(*reply)) : std::nullopt;
}

} // namespace

FleetCore::FleetCore(const Options &options, FleetTransport &transport, const CatalogueSource &catalogue, const Hooks &hooks)
    : transport(transport)
    , catalogue(catalogue)
    , hooks(hooks)
    , membership(options.self, hooks.clock)
    , recordStore(hooks.clock)
    , fetcher(catalogue, hooks.clock, this->fetchSender())
    , gossip(this->membership, this->recordStore, without(options.peers, options.self.address), this->gossipHooks())
    , registrar(options.self.id, this->recordStore, this->registrarHooks())
{
    this->applyRoster();
}

MemberView &FleetCore::members()
{
    return this->membership;
}

RecordStore &FleetCore::records()
{
    return this->recordStore;
}

Gossip::Hooks FleetCore::gossipHooks()
{
    Gossip::Hooks result;
    result.clock = this->hooks.clock;
    result.random = this->hooks.random;
    result.catalogueVersion = this->catalogue.version;
    result.reportPeerVersion = [this](const std::string &address, std::uint64_t version) { this->fetcher.addCandidate(address, version); };
    result.send = [this](const std::string &address, const FleetMessages::ExchangeMessage &message, const Gossip::ReplyHandler &onReply) {
        this->transport.exchange(address, message, exchangeTimeout, [this, onReply](boost::leaf::result<FleetMessages::ExchangeMessage> reply) {
            this->hooks.runGossip([onReply, received = toOptional(reply)] { onReply(received); });
        });
    };
    return result;
}

Registrar::Hooks FleetCore::registrarHooks()
{
    Registrar::Hooks result;
    result.clock = this->hooks.clock;
    result.publish = [this](const FleetMessages::Record &record) { this->gossip.publish(record); };
    result.liveMembers = [this] { return this->membership.liveMembers(); };
    result.rosterSize = [this] { return this->membership.rosterSize(); };
    result.forward = [this](const std::string &memberId, const FleetMessages::AnnounceRequest &request, const Registrar::ForwardReplyHandler &onReply) {
        const std::string address = this->membership.addressOf(memberId);
        this->transport.announce(
            address, request, announceTimeout, [onReply](boost::leaf::result<FleetMessages::AnnounceReply> reply) { onReply(toOptional(reply)); });
    };
    return result;
}

CatalogueFetcher::Send FleetCore::fetchSender()
{
    return [this](const std::string &address,
               const FleetMessages::FetchCatalogueRequest &request,
               std::chrono::milliseconds timeout,
               const CatalogueFetcher::ReplyHandler &onReply) {
        this->transport.fetchCatalogue(address, request, timeout, [this, onReply](boost::leaf::result<FleetMessages::FetchCatalogueReply> reply) {
            this->hooks.runCatalogue([this, onReply, received = toOptional(reply)] {
                onReply(received);
                this->applyRoster();
            });
        });
    };
}

void FleetCore::applyRoster()
{
    this->membership.setRoster(*this->catalogue.roster());
}

void FleetCore::installHandlers(FleetHandlers &handlers)
{
    handlers.exchange = [this](const FleetMessages::ExchangeMessage &message) { return this->gossip.receive(message); };
    handlers.fetchCatalogue = [this](const FleetMessages::FetchCatalogueRequest &request) { return this->catalogue.replyTo(request); };
    handlers.announce = [this](const FleetMessages::AnnounceRequest &request) { return this->receiveAnnouncement(request); };
}

FleetMessages::AnnounceReply FleetCore::receiveAnnouncement(const FleetMessages::AnnounceRequest &request)
{
    // The handler must not block until another VM replies, so a forwarded announcement is reported as accepted.
    const std::shared_ptr<std::atomic<bool>> accepted = std::make_shared<std::atomic<bool>>(true);
    this->registrar.announce(request, [accepted](const FleetMessages::AnnounceReply &reply) { accepted->store(reply.accepted()); });
    FleetMessages::AnnounceReply reply;
    reply.set_accepted(accepted->load());
    return reply;
}

void FleetCore::gossipTick()
{
    this->applyRoster();
    this->gossip.tick();
    this->fetcher.tick();
}

void FleetCore::registrarTick()
{
    this->registrar.tick();
}

void FleetCore::leave()
{
    this->gossip.leave();
}

void FleetCore::announce(const FleetMessages::AnnounceRequest &request, Registrar::ReplyHandler onReply)
{
    this->registrar.announce(request, std::move(onReply));
}

bool FleetCore::publish(const FleetMessages::Record &record)
{
    return this->gossip.publish(record);
}

std::size_t FleetCore::pendingRecords() const
{
    return this->gossip.pendingRecords();
}

} // namespace Hyssophall
