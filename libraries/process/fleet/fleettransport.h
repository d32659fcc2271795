#pragma once

#include "fleet.pb.h"
#include "process/hooks.h"

#include <boost/leaf/result.hpp>

#include <functional>
#include <string>

namespace Hyssophall {

namespace FleetMessages = hyssophall::fleet::v1;

/// A call to another VM brought no answer.
struct FleetCallFailure {
    enum class Reason {
        /// No answer within the timeout, or no connection.
        Unreachable,
        /// The other VM refused this VM's credential.
        CredentialRefused,
        /// The other VM answered with another error.
        Failed,
    };
    Reason reason;
};

/**
 * Calls from this VM to the fleet ports of others. Thread-safe and non-blocking.
 *
 * A completion runs exactly once, on a thread of the transport; it must not block.
 */
class FleetTransport
{
public:
    template<typename Reply>
    using Completion = std::function<void(boost::leaf::result<Reply>)>;

    virtual ~FleetTransport() = default;

    virtual void exchange(const std::string &address,
        const FleetMessages::ExchangeMessage &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::ExchangeMessage> done)
        = 0;
    virtual void fetchCatalogue(const std::string &address,
        const FleetMessages::FetchCatalogueRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::FetchCatalogueReply> done)
        = 0;
    virtual void grantLeases(const std::string &address,
        const FleetMessages::GrantLeasesRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::GrantLeasesReply> done)
        = 0;
    virtual void claim(
        const std::string &address, const FleetMessages::ClaimRequest &request, std::chrono::milliseconds timeout, Completion<FleetMessages::ClaimReply> done)
        = 0;
    virtual void finishClaim(const std::string &address,
        const FleetMessages::FinishClaimRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::FinishClaimReply> done)
        = 0;
    virtual void recoverClaims(const std::string &address,
        const FleetMessages::RecoverClaimsRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::RecoverClaimsReply> done)
        = 0;
    virtual void borrowTokens(const std::string &address,
        const FleetMessages::BorrowTokensRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::BorrowTokensReply> done)
        = 0;
    virtual void reportOutcomes(const std::string &address,
        const FleetMessages::ReportOutcomesRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::ReportOutcomesReply> done)
        = 0;
    virtual void reportCrash(const std::string &address,
        const FleetMessages::ReportCrashRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::ReportCrashReply> done)
        = 0;
    virtual void announce(const std::string &address,
        const FleetMessages::AnnounceRequest &request,
        std::chrono::milliseconds timeout,
        Completion<FleetMessages::AnnounceReply> done)
        = 0;
};

/// What this VM does for the calls of others. Each hook is set before the server starts, is thread-safe and must not block.
struct FleetHandlers {
    std::function<FleetMessages::ExchangeMessage(const FleetMessages::ExchangeMessage &)> exchange;
    std::function<FleetMessages::FetchCatalogueReply(const FleetMessages::FetchCatalogueRequest &)> fetchCatalogue;
    std::function<FleetMessages::GrantLeasesReply(const FleetMessages::GrantLeasesRequest &)> grantLeases;
    std::function<FleetMessages::ClaimReply(const FleetMessages::ClaimRequest &)> claim;
    std::function<FleetMessages::FinishClaimReply(const FleetMessages::FinishClaimRequest &)> finishClaim;
    std::function<FleetMessages::RecoverClaimsReply(const FleetMessages::RecoverClaimsRequest &)> recoverClaims;
    std::function<FleetMessages::BorrowTokensReply(const FleetMessages::BorrowTokensRequest &)> borrowTokens;
    std::function<FleetMessages::ReportOutcomesReply(const FleetMessages::ReportOutcomesRequest &)> reportOutcomes;
    std::function<FleetMessages::ReportCrashReply(const FleetMessages::ReportCrashRequest &)> reportCrash;
    std::function<FleetMessages::AnnounceReply(const FleetMessages::AnnounceRequest &)> announce;
};

} // namespace Hyssophall
