#pragma once

#include "fleet.pb.h"
#include "process/hooks.h"

#include <boost/leaf/result.hpp>

#include <functional>
#include <string>

namespace Hyssophall {

namespace FleetMessages = hyssophall::fleet::v1;

/// Error of a call to another VM that returned no reply.
struct FleetCallFailure {
    enum class Reason {
        /// No reply within the timeout, no connection, or the call was cancelled.
        Unreachable,
        /// The other VM rejected this VM's credential.
        CredentialRefused,
        /// The other VM returned another error.
        Failed,
    };
    Reason reason;
};

/**
 * Calls to the fleet ports of other VMs. Thread-safe and non-blocking.
 *
 * A completion is called exactly once, usually on a thread of the transport, and must not block. Errors: FleetCallFailure.
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

/// Handlers of the calls that other VMs make to this VM, called by FleetServer. Each is set before the server starts, must be
/// thread-safe and must not block.
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
