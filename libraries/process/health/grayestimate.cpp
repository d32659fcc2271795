#include "process/health/grayestimate.h"

#include <cmath>

namespace Hyssophall {

double GrayEstimate::probability(SteadyTime now, const Model &model) const
{
    if (!this->outcomeAdded) {
        return model.averageGrayShare;
    }
    const std::chrono::duration<double> age = now - this->updatedAt;
    const std::chrono::duration<double> decayTime = model.decayTime;
    return model.averageGrayShare + (this->lastProbability - model.averageGrayShare) * std::exp(-age.count() / decayTime.count());
}

void GrayEstimate::addSuccess(SteadyTime now, const Model &model)
{
    this->update(now, model, 1 - model.grayFailureShare, 1 - model.healthyFailureShare);
}

void GrayEstimate::addFailure(SteadyTime now, const Model &model)
{
    this->update(now, model, model.grayFailureShare, model.healthyFailureShare);
}

bool GrayEstimate::hasOutcome() const
{
    return this->outcomeAdded;
}

void GrayEstimate::update(SteadyTime now, const Model &model, double likelihoodGray, double likelihoodHealthy)
{
    const double before = this->probability(now, model);
    const double gray = before * likelihoodGray;
    this->lastProbability = gray / (gray + (1 - before) * likelihoodHealthy);
    this->updatedAt = now;
    this->outcomeAdded = true;
}

} // namespace Hyssophall
