#pragma once

#include "simulatednetwork.h"

#include <algorithm>

namespace Hyssophall {

/// Transport of one simulated VM. Counts the bytes of exchanges.
class SimulatedTransport final : public FleetTransport
{
public:
    SimulatedTransport(SimulatedNetwork &network, SimulatedNetwork::Endpoint *endpoint)
        : network(network)
        , endpoint(endpoint)
    {
    }

    void exchange(const std::string &address,
        const FleetMessages::ExchangeMessage &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::ExchangeMessage> done) override
    {
        this->count(request);
        this->network.call<FleetMessages::ExchangeMessage, FleetMessages::ExchangeMessage>(
            this->endpoint,
            address,
            request,
            timeout,
            [this, done](boost::leaf::result<FleetMessages::ExchangeMessage> reply) {
                if (reply) {
                    this->count(*reply);
                }
                done(std::move(reply));
            },
            &FleetHandlers::exchange);
    }

    void fetchCatalogue(const std::string &address,
        const FleetMessages::FetchCatalogueRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::FetchCatalogueReply> done) override
    {
        this->network.call(this->endpoint, address, request, timeout, std::move(done), &FleetHandlers::fetchCatalogue);
    }

    void announce(const std::string &address,
        const FleetMessages::AnnounceRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::AnnounceReply> done) override
    {
        this->network.call(this->endpoint, address, request, timeout, std::move(done), &FleetHandlers::announce);
    }

    // FleetCore makes no other calls, so these never complete.
    void grantLeases(
        const std::string &, const FleetMessages::GrantLeasesRequest &, std::chrono::milliseconds, Completion<FleetMessages::GrantLeasesReply>) override
    {
    }
    void claim(const std::string &, const FleetMessages::ClaimRequest &, std::chrono::milliseconds, Completion<FleetMessages::ClaimReply>) override
    {
    }
    void finishClaim(
        const std::string &, const FleetMessages::FinishClaimRequest &, std::chrono::milliseconds, Completion<FleetMessages::FinishClaimReply>) override
    {
    }
    void recoverClaims(
        const std::string &, const FleetMessages::RecoverClaimsRequest &, std::chrono::milliseconds, Completion<FleetMessages::RecoverClaimsReply>) override
    {
    }
    void borrowTokens(
        const std::string &, const FleetMessages::BorrowTokensRequest &, std::chrono::milliseconds, Completion<FleetMessages::BorrowTokensReply>) override
    {
    }
    void reportOutcomes(
        const std::string &, const FleetMessages::ReportOutcomesRequest &, std::chrono::milliseconds, Completion<FleetMessages::ReportOutcomesReply>) override
    {
    }
    void reportCrash(
        const std::string &, const FleetMessages::ReportCrashRequest &, std::chrono::milliseconds, Completion<FleetMessages::ReportCrashReply>) override
    {
    }

private:
    void count(const FleetMessages::ExchangeMessage &message)
    {
        const std::uint64_t size = message.ByteSizeLong();
        this->network.exchangedBytes += size;
        this->network.largestExchange = std::max(this->network.largestExchange, size);
        if (this->network.observeExchange) {
            this->network.observeExchange(message);
        }
    }

    SimulatedNetwork &network;
    SimulatedNetwork::Endpoint *endpoint;
};

} // namespace Hyssophall
