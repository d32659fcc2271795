#pragma once

#include "process/fleet/claimcoordinator.h"
#include "process/limits/ratelimiter.h"
#include "process/proxy/upstreamtries.h"
#include "request/idempotencyclaim.h"
#include "request/ratetoken.h"

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace Hyssophall {

/// Takes each caller's request from its admission to its answer. Thread-safe; each call blocks its thread.
class RequestPath
{
public:
    /// The parts that decide and act for the path; all outlive it.
    struct Parts {
        CatalogueLookupSource catalogue;
        const ServingLease &lease;
        RateLimiter &rateLimiter;
        ClaimCoordinator &claims;
        CapacityQueue &capacity;
        InstanceHealth &health;
        UpstreamSender &sender;
        RetryAllowance &retries;
        SteadyClock clock;
        RandomSource random;
        std::vector<RequestObserver *> observers;
        /// Waits for the first catalogue where one is on its way; may be empty.
        std::function<void(SteadyTime deadline)> awaitCatalogue = {};
    };

    struct Options {
        Admission::Options admission;
        std::chrono::milliseconds rateWait{250};
        /// Longest wait for the first catalogue after a start.
        std::chrono::milliseconds catalogueWait{1000};
        /// How long a request waits for its team's rate while no owner of the team's bucket answers.
        std::chrono::milliseconds ownerWait{1000};
        /// How long a claim may take; a quorum that is away for longer won't be back within the request's time.
        std::chrono::milliseconds claimWait{1000};
        /// Larger bodies aren't recorded with a claim.
        std::size_t maximumClaimBodyBytes = 16 * 1024;
        /// How long an answer waits until its record is safe.
        std::chrono::milliseconds claimFinishLimit{500};
    };

    RequestPath(const Parts &parts, const Options &options);

    CallerAnswer handle(const CallerRequest &request);

    /// Refuses all further requests as not run.
    void stopAccepting();

private:
    boost::leaf::result<CallerAnswer> run(const CallerRequest &request, RequestRecord &record);
    boost::leaf::result<std::unique_ptr<RateToken>> takeToken(const RequestContext &context, RequestRecord &record);
    boost::leaf::result<ClaimResult> claim(const RequestContext &context, const std::string &idempotencyKey);
    boost::leaf::result<CallerAnswer> runClaimed(const RequestContext &context, IdempotencyClaim *claim, RateToken *token, RequestRecord &record);
    void recordOutcome(const TriesResult &result, IdempotencyClaim &claim) const;
    void observe(const CallerRequest &request, const CallerAnswer &answer, RequestRecord &record) const;

    const Parts parts;
    const Options options;
    const Admission admission;
    UpstreamTries tries;
    std::atomic<bool> accepting{true};
};

} // namespace Hyssophall
