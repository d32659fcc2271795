#include "process/fleet/fleetcore.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <utility>

namespace Hyssophall {

namespace {

/// Longer than a round trip between regions, shorter than the time after which a member is suspect.
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
    this->adoptRoster();
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
    result.noticeVersion = [this](const std::string &address, std::uint64_t version) { this->fetcher.notice(address, version); };
    result.send = [this](const std::string &address, const FleetMessages::ExchangeMessage &message, const Gossip::Answer &answer) {
        this->transport.exchange(address, message, exchangeTimeout, [this, answer](boost::leaf::result<FleetMessages::ExchangeMessage> reply) {
            this->hooks.runGossip([answer, received = toOptional(reply)] { answer(received); });
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
    result.forward = [this](const std::string &memberId, const FleetMessages::AnnounceRequest &request, const Registrar::ForwardAnswer &answer) {
        const std::string address = this->membership.addressOf(memberId);
        this->transport.announce(
            address, request, announceTimeout, [answer](boost::leaf::result<FleetMessages::AnnounceReply> reply) { answer(toOptional(reply)); });
    };
    return result;
}

CatalogueFetcher::Send FleetCore::fetchSender()
{
    return [this](const std::string &address,
               const FleetMessages::FetchCatalogueRequest &request,
               std::chrono::milliseconds timeout,
               const CatalogueFetcher::Answer &answer) {
        this->transport.fetchCatalogue(address, request, timeout, [this, answer](boost::leaf::result<FleetMessages::FetchCatalogueReply> reply) {
            this->hooks.runCatalogue([this, answer, received = toOptional(reply)] {
                answer(received);
                this->adoptRoster();
            });
        });
    };
}

void FleetCore::adoptRoster()
{
    this->membership.setRoster(*this->catalogue.roster());
}

void FleetCore::installHandlers(FleetHandlers &handlers)
{
    handlers.exchange = [this](const FleetMessages::ExchangeMessage &message) { return this->gossip.receive(message); };
    handlers.fetchCatalogue = [this](const FleetMessages::FetchCatalogueRequest &request) { return this->catalogue.answer(request); };
    handlers.announce = [this](const FleetMessages::AnnounceRequest &request) { return this->receiveAnnouncement(request); };
}

FleetMessages::AnnounceReply FleetCore::receiveAnnouncement(const FleetMessages::AnnounceRequest &request)
{
    // The handler can't wait for another VM: an announcement that is passed on counts as accepted.
    const std::shared_ptr<std::atomic<bool>> accepted = std::make_shared<std::atomic<bool>>(true);
    this->registrar.announce(request, [accepted](const FleetMessages::AnnounceReply &reply) { accepted->store(reply.accepted()); });
    FleetMessages::AnnounceReply reply;
    reply.set_accepted(accepted->load());
    return reply;
}

void FleetCore::gossipTick()
{
    this->adoptRoster();
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

void FleetCore::announce(const FleetMessages::AnnounceRequest &request, Registrar::Answer answer)
{
    this->registrar.announce(request, std::move(answer));
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
