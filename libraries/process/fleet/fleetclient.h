#pragma once

#include "process/fleet/fleettraffic.h"
#include "process/fleet/fleettransport.h"

#include <memory>
#include <string>

namespace Hyssophall {

/**
 * Calls to the fleet ports of other VMs over gRPC. Keeps one channel open per address.
 *
 * Completions run on gRPC threads. After stop() has begun, a new call fails immediately, on the caller's thread.
 *
 * If the other side stops responding during a call, keepalive closes the connection after about 4 s, and the next call opens
 * a new one.
 */
class FleetClient final : public FleetTransport
{
public:
    /// @p secret is sent with each call. Messages are counted in @p traffic if it isn't null.
    explicit FleetClient(const std::string &secret, std::shared_ptr<FleetTraffic> traffic = nullptr);

    /// Calls stop().
    ~FleetClient() override;

    /// Cancels the calls in flight and waits until their completions have run. Later calls fail immediately.
    void stop();

    void exchange(const std::string &address,
        const FleetMessages::ExchangeMessage &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::ExchangeMessage> done) override;
    void fetchCatalogue(const std::string &address,
        const FleetMessages::FetchCatalogueRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::FetchCatalogueReply> done) override;
    void grantLeases(const std::string &address,
        const FleetMessages::GrantLeasesRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::GrantLeasesReply> done) override;
    void claim(const std::string &address,
        const FleetMessages::ClaimRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::ClaimReply> done) override;
    void finishClaim(const std::string &address,
        const FleetMessages::FinishClaimRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::FinishClaimReply> done) override;
    void recoverClaims(const std::string &address,
        const FleetMessages::RecoverClaimsRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::RecoverClaimsReply> done) override;
    void borrowTokens(const std::string &address,
        const FleetMessages::BorrowTokensRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::BorrowTokensReply> done) override;
    void reportOutcomes(const std::string &address,
        const FleetMessages::ReportOutcomesRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::ReportOutcomesReply> done) override;
    void reportCrash(const std::string &address,
        const FleetMessages::ReportCrashRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::ReportCrashReply> done) override;
    void announce(const std::string &address,
        const FleetMessages::AnnounceRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::AnnounceReply> done) override;

private:
    class Implementation;

    std::unique_ptr<Implementation> implementation;
};

} // namespace Hyssophall
