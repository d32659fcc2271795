#pragma once

#include "connection/upstreamsender.h"
#include "process/health/instancehealth.h"
#include "process/proxy/admission.h"
#include "request/retryallowance.h"
#include "request/tryverdict.h"

#include <optional>
#include <set>

namespace Hyssophall {

/// How the tries of one request ended.
struct TriesResult {
    CallerAnswer answer;
    /// An upstream may have run the request; false only when that is proven.
    bool mayHaveRun = false;
    /// A byte of the request may have been sent to an upstream.
    bool mayHaveSent = false;
    CapacitySignal capacitySignal = CapacitySignal::Neutral;
    std::chrono::microseconds lastLatency{0};
};

/// Tries a request on instances until it has an answer or may not be tried again. Thread-safe.
class UpstreamTries
{
public:
    UpstreamTries(const Admission &admission, InstanceHealth &health, UpstreamSender &sender, RetryAllowance &budget, SteadyClock clock, RandomSource random);

    TriesResult run(const RequestContext &context, RequestRecord &record);

private:
    struct State {
        std::set<std::string> tried;
        /// Tries of which a byte may have reached an instance.
        int sent = 0;
        /// Tries that reached no instance.
        int unsent = 0;
        /// Tries whose connection was lost after sending.
        int lostConnections = 0;
        TriesResult result;
        /// Why the last try was withheld.
        std::optional<Refusal> withheld;
        /// False once a further try is of no use.
        bool goesOn = true;
    };

    void tryOnce(const RequestContext &context, const hyssophall::fleet::v1::Instance &instance, RequestRecord &record, State &state);
    void judge(const RequestContext &context, RequestRecord &record, const UpstreamResult &result, const TryVerdict &verdict, State &state);
    InstanceQuery queryOf(const RequestContext &context, const State &state) const;
    /// Whether the route and the number of tries so far allow another try of an idempotent request after the next one.
    static bool mayFollow(const RequestContext &context, const State &state);
    std::optional<SteadyTime> patienceEnd(const RequestContext &context, SteadyTime now) const;
    bool mayBePoison(const RequestContext &context, const State &state) const;
    UpstreamCall createCall(const RequestContext &context,
        const hyssophall::fleet::v1::Instance &instance,
        const RequestRecord &record,
        const std::string &spanId,
        State &state) const;

    const Admission &admission;
    InstanceHealth &health;
    UpstreamSender &sender;
    RetryAllowance &budget;
    const SteadyClock clock;
    const RandomSource random;
};

} // namespace Hyssophall
