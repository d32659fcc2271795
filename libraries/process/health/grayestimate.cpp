#include "process/health/grayestimate.h"

#include <cmath>

namespace Hyssophall {

double GrayEstimate::probability(SteadyTime now, const Model &model) const
{
    if (!this->informed) {
        return model.usualShare;
    }
    const std::chrono::duration<double> age = now - this->updated;
    const std::chrono::duration<double> relaxation = model.relaxation;
    return model.usualShare + (this->value - model.usualShare) * std::exp(-age.count() / relaxation.count());
}

void GrayEstimate::addSuccess(SteadyTime now, const Model &model)
{
    this->update(now, model, 1 - model.grayFailureShare, 1 - model.soundFailureShare);
}

void GrayEstimate::addFailure(SteadyTime now, const Model &model)
{
    this->update(now, model, model.grayFailureShare, model.soundFailureShare);
}

bool GrayEstimate::isInformed() const
{
    return this->informed;
}

void GrayEstimate::update(SteadyTime now, const Model &model, double likelihoodGray, double likelihoodSound)
{
    const double before = this->probability(now, model);
    const double gray = before * likelihoodGray;
    this->value = gray / (gray + (1 - before) * likelihoodSound);
    this->updated = now;
    this->informed = true;
}

} // namespace Hyssophall
