#pragma once

#include "process/fleet/fleettransport.h"

namespace Hyssophall::TestSupport {

/// A transport whose calls are never answered. Tests override the calls that they are about.
class SilentTransport : public FleetTransport
{
public:
    using Timeout = std::chrono::milliseconds;

    void exchange(const std::string &, const FleetMessages::ExchangeMessage &, Timeout, Completion<FleetMessages::ExchangeMessage>) override
    {
    }
    void fetchCatalogue(const std::string &, const FleetMessages::FetchCatalogueRequest &, Timeout, Completion<FleetMessages::FetchCatalogueReply>) override
    {
    }
    void grantLeases(const std::string &, const FleetMessages::GrantLeasesRequest &, Timeout, Completion<FleetMessages::GrantLeasesReply>) override
    {
    }
    void claim(const std::string &, const FleetMessages::ClaimRequest &, Timeout, Completion<FleetMessages::ClaimReply>) override
    {
    }
    void finishClaim(const std::string &, const FleetMessages::FinishClaimRequest &, Timeout, Completion<FleetMessages::FinishClaimReply>) override
    {
    }
    void recoverClaims(const std::string &, const FleetMessages::RecoverClaimsRequest &, Timeout, Completion<FleetMessages::RecoverClaimsReply>) override
    {
    }
    void borrowTokens(const std::string &, const FleetMessages::BorrowTokensRequest &, Timeout, Completion<FleetMessages::BorrowTokensReply>) override
    {
    }
    void reportOutcomes(const std::string &, const FleetMessages::ReportOutcomesRequest &, Timeout, Completion<FleetMessages::ReportOutcomesReply>) override
    {
    }
    void reportCrash(const std::string &, const FleetMessages::ReportCrashRequest &, Timeout, Completion<FleetMessages::ReportCrashReply>) override
    {
    }
    void announce(const std::string &, const FleetMessages::AnnounceRequest &, Timeout, Completion<FleetMessages::AnnounceReply>) override
    {
    }
};

} // namespace Hyssophall::TestSupport
