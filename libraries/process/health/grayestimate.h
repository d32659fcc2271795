#pragma once

#include "process/hooks.h"

#include <chrono>

namespace Hyssophall {

/**
 * Estimates the probability that an instance is in a gray failure: it fails most requests while its health endpoint reports success.
 *
 * A filter of a hidden Markov model with two states, gray and healthy. Each outcome updates the probability by Bayes' rule. Between outcomes
 * the probability returns to the average share of gray instances, since gray phases begin and end unobserved. Not thread-safe.
 */
class GrayEstimate
{
public:
    struct Model {
        /// Average share of gray instances, used as the prior: 30 % in both users' measurements.
        double averageGrayShare = 0.3;
        /// Share of requests that fail on a gray instance: 75 to 90 % in the users' measurements.
        double grayFailureShare = 0.8;
        /// Share of requests that fail on a healthy instance: 1.2 % in the users' measurements.
        double healthyFailureShare = 0.012;
        /// Time after which a difference from the average share has decayed to 1/e. It is the inverse of the sum of both transition rates: a
        /// cycle of 9 s, of which 2.7 s are gray, has 1/6.3 + 1/2.7 transitions a second.
        std::chrono::milliseconds decayTime{1900};
    };

    /// Probability of being gray at @p now, from 0 to 1.
    double probability(SteadyTime now, const Model &model) const;

    void addSuccess(SteadyTime now, const Model &model);
    void addFailure(SteadyTime now, const Model &model);

    /// Whether any outcome was added yet.
    bool hasOutcome() const;

private:
    void update(SteadyTime now, const Model &model, double likelihoodGray, double likelihoodHealthy);

    bool outcomeAdded = false;
    double lastProbability = 0;
    SteadyTime updatedAt;
};

} // namespace Hyssophall
