#pragma once

#include "process/hooks.h"

#include <chrono>

namespace Hyssophall {

/**
 * The probability that an instance is in a gray phase, in which it fails most requests while its health endpoint reports that all is well.
 *
 * A filter with two hidden states: each outcome shifts the probability by Bayes' rule, and with time it returns to the share of instances
 * that are usually gray, since phases end and begin unseen. Not thread-safe.
 */
class GrayEstimate
{
public:
    struct Model {
        /// Share of instances that are gray at any time: 30 % in both users' measurements.
        double usualShare = 0.3;
        /// Failures of a gray instance: 75 to 90 % in the users' measurements.
        double grayFailureShare = 0.8;
        /// Failures of a sound instance: 1.2 % in the users' measurements.
        double soundFailureShare = 0.012;
        /// Time after which a difference from the usual share has fallen to 1/e: a cycle of 9 s with 2.7 s of it gray changes state at a
        /// rate of 1/6.3 + 1/2.7 a second.
        std::chrono::milliseconds relaxation{1900};
    };

    /// Chance of being gray at @p now.
    double probability(SteadyTime now, const Model &model) const;

    void addSuccess(SteadyTime now, const Model &model);
    void addFailure(SteadyTime now, const Model &model);

    /// Whether there was any outcome yet.
    bool isInformed() const;

private:
    void update(SteadyTime now, const Model &model, double likelihoodGray, double likelihoodSound);

    bool informed = false;
    double value = 0;
    SteadyTime updated;
};

} // namespace Hyssophall
