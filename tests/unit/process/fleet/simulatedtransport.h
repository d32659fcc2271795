#pragma once

#include "simulatedfleet.h"

namespace Hyssophall::Tests {

/// Delivers calls after a random delay of 0.2 to 3 ms each way. A call over a blocked link fails after its timeout.
class SimulatedTransport : public FleetTransport
{
public:
    SimulatedTransport(SimulatedFleet &fleet, std::size_t self, std::uint64_t incarnation)
        : fleet(fleet)
        , self(self)
        , incarnation(incarnation)
    {
    }

    template<typename Request, typename Reply>
    void call(const std::string &address,
        const Request &request,
        Milliseconds timeout,
        Completion<Reply> done,
        std::function<Reply(const Request &)> FleetHandlers::*handler)
    {
        const std::size_t target = std::stoul(address.substr(3));
        const std::shared_ptr<bool> completed = std::make_shared<bool>(false);
        // Copied, because events may run after the transport is destroyed by a restart of its VM.
        SimulatedFleet &fleet = this->fleet;
        const std::size_t self = this->self;
        const auto complete = [&fleet, self, incarnation = this->incarnation, completed](const std::function<void()> &action) {
            fleet.deliver(self, incarnation, [completed, action] {
                if (!*completed) {
                    *completed = true;
                    action();
                }
            });
        };
        fleet.scheduleAfter(
            timeout, [complete, done] { complete([done] { done(boost::leaf::new_error(FleetCallFailure{FleetCallFailure::Reason::Unreachable})); }); });
        if (!fleet.isLinkOpen(self, target)) {
            return;
        }
        const std::uint64_t targetIncarnation = fleet.incarnationOf(target);
        fleet.sendMessage([&fleet, self, target, targetIncarnation, request, handler, complete, done] {
            fleet.deliver(target, targetIncarnation, [&fleet, self, target, request, handler, complete, done] {
                const Reply reply = (fleet.handlersOf(target).*handler)(request);
                if (fleet.isLinkOpen(target, self)) {
                    fleet.sendMessage([complete, done, reply] { complete([done, reply] { done(reply); }); });
                }
            });
        });
    }

    void grantLeases(const std::string &address,
        const FleetMessages::GrantLeasesRequest &request,
        Milliseconds timeout,
        Completion<FleetMessages::GrantLeasesReply> done) override
    {
        this->call(address, request, timeout, std::move(done), &FleetHandlers::grantLeases);
    }
    void claim(
        const std::string &address, const FleetMessages::ClaimRequest &request, Milliseconds timeout, Completion<FleetMessages::ClaimReply> done) override
    {
        this->call(address, request, timeout, std::move(done), &FleetHandlers::claim);
    }
    void finishClaim(const std::string &address,
        const FleetMessages::FinishClaimRequest &request,
        Milliseconds timeout,
        Completion<FleetMessages::FinishClaimReply> done) override
    {
        this->call(address, request, timeout, std::move(done), &FleetHandlers::finishClaim);
    }
    void recoverClaims(const std::string &address,
        const FleetMessages::RecoverClaimsRequest &request,
        Milliseconds timeout,
        Completion<FleetMessages::RecoverClaimsReply> done) override
    {
        this->call(address, request, timeout, std::move(done), &FleetHandlers::recoverClaims);
    }
    void borrowTokens(const std::string &address,
        const FleetMessages::BorrowTokensRequest &request,
        Milliseconds timeout,
        Completion<FleetMessages::BorrowTokensReply> done) override
    {
        this->call(address, request, timeout, std::move(done), &FleetHandlers::borrowTokens);
    }
    void exchange(const std::string &, const FleetMessages::ExchangeMessage &, Milliseconds, Completion<FleetMessages::ExchangeMessage>) override
    {
    }
    void fetchCatalogue(
        const std::string &, const FleetMessages::FetchCatalogueRequest &, Milliseconds, Completion<FleetMessages::FetchCatalogueReply>) override
    {
    }
    void reportOutcomes(
        const std::string &, const FleetMessages::ReportOutcomesRequest &, Milliseconds, Completion<FleetMessages::ReportOutcomesReply>) override
    {
    }
    void reportCrash(const std::string &, const FleetMessages::ReportCrashRequest &, Milliseconds, Completion<FleetMessages::ReportCrashReply>) override
    {
    }
    void announce(const std::string &, const FleetMessages::AnnounceRequest &, Milliseconds, Completion<FleetMessages::AnnounceReply>) override
    {
    }

private:
    SimulatedFleet &fleet;
    std::size_t self;
    std::uint64_t incarnation;
};

} // namespace Hyssophall::Tests
