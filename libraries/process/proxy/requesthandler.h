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

/**
 * Handles callers' requests: admission, rate limit, idempotency claim, capacity queue, and tries on upstream instances.
 *
 * Thread-safe. handle() blocks its thread until the response is complete.
 */
class RequestHandler
{
public:
    /// The components used to handle requests; all must outlive the handler.
    struct Dependencies {
        CatalogueLookupSource catalogue;
        const ServingLease &lease;
        RateLimiter &rateLimiter;
        ClaimCoordinator &claims;
        CapacityQueue &capacity;
        InstanceHealth &health;
        UpstreamSender &sender;
        RetryLimiter &retries;
        SteadyClock clock;
        RandomSource random;
        std::vector<RequestObserver *> observers;
        /// Blocks until the VM has its first catalogue or the deadline passes. Called for each request; may be empty.
        std::function<void(SteadyTime deadline)> awaitCatalogue = {};
    };

    struct Options {
        Admission::Options admission;
        /// How long a request waits for a token of its team's rate limit.
        std::chrono::milliseconds rateWait{250};
        /// How long a request waits for the VM's first catalogue after a start.
        std::chrono::milliseconds catalogueTimeout{1000};
        /// How long a request waits for a token while no VM that owns the team's token bucket replies.
        std::chrono::milliseconds ownerWait{1000};
        /// How long a request waits for its idempotency claim. A quorum that is unavailable for longer is unlikely to return within the request's deadline.
        std::chrono::milliseconds claimTimeout{1000};
        /// Larger response bodies aren't stored with the claim; a replayed response then has no body.
        std::size_t maximumClaimBodyBytes = 16 * 1024;
        /// How long a response is held back until the claim's outcome is stored on a quorum.
        std::chrono::milliseconds claimFinishTimeout{500};
    };

    RequestHandler(const Dependencies &dependencies, const Options &options);

    CallerResponse handle(const CallerRequest &request);

    /// The process will end soon: from now on, no instance's work on a request is aborted in favour of a retry.
    void beginShutdown();

    /// From now on refuses all requests with ShuttingDown and outcome "not run".
    void stopAccepting();

private:
    boost::leaf::result<CallerResponse> run(const CallerRequest &request, RequestRecord &record);
    boost::leaf::result<std::unique_ptr<RateToken>> acquireToken(const RequestContext &context, RequestRecord &record);
    boost::leaf::result<ClaimResult> claim(const RequestContext &context, const std::string &idempotencyKey);
    boost::leaf::result<CallerResponse> runOnUpstream(const RequestContext &context, IdempotencyClaim *claim, RateToken *token, RequestRecord &record);
    void recordOutcome(const TriesResult &result, IdempotencyClaim &claim) const;
    void observe(const CallerRequest &request, const CallerResponse &response, RequestRecord &record) const;

    const Dependencies dependencies;
    const Options options;
    const Admission admission;
    UpstreamTries tries;
    std::atomic<bool> accepting{true};
};

} // namespace Hyssophall
