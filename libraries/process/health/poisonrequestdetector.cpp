#include "process/health/poisonrequestdetector.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace Hyssophall {

namespace {

/// Losses of one round that are kept, so that the withdrawal of one doesn't end the round.
constexpr std::ptrdiff_t maximumLossesOfRound = 3;
/// Far more rounds than any request reaches, so that a wrong report can't overflow the number.
constexpr std::uint32_t maximumRound = 1000;

bool isWithin(const std::optional<SteadyTime> &time, std::chrono::milliseconds age, SteadyTime now)
{
    return time && now - *time <= age;
}

} // namespace

PoisonRequestDetector::PoisonRequestDetector()
    : requests(retention, maximumRequests)
    , instances(retention, maximumInstances)
{
}

std::vector<PoisonRequestDetector::Loss> PoisonRequestDetector::addOwnLoss(std::uint64_t fingerprint, std::uint32_t instance, SteadyTime sentAt, SteadyTime now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->hasLosses = true;
    const Instance *known = this->instances.find(instance);
    // Sooner after the earlier loss, a response of the instance may just not have been heard of yet.
    const bool wasFailing = known != nullptr && known->failingSince && *known->failingSince + outcomeDelay < sentAt && known->failingRequest != fingerprint
        && now - *known->failingSince <= retention;
    this->recordFailing(fingerprint, instance, now);
    Request &request = this->requests.use(fingerprint, now);
    if (wasFailing || this->hasResponded(request, now)) {
        return {};
    }
    std::map<std::uint32_t, Loss> earlier;
    for (const Loss &loss : request.losses) {
        if (loss.heardAt <= sentAt && this->stands(loss, now)) {
            earlier.emplace(loss.round, loss);
        }
    }
    const std::uint32_t round = earlier.empty() ? 1 : std::min(earlier.rbegin()->first + 1, maximumRound);
    const Loss added{instance, round, now, true};
    this->addLoss(fingerprint, added);
    std::vector<Loss> reported;
    for (const std::pair<const std::uint32_t, Loss> &each : earlier) {
        reported.push_back(each.second);
    }
    reported.push_back(added);
    return reported;
}

bool PoisonRequestDetector::addReportedLoss(std::uint64_t fingerprint, std::uint32_t instance, std::uint32_t round, SteadyTime now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->hasLosses = true;
    this->recordFailing(fingerprint, instance, now);
    Request &request = this->requests.use(fingerprint, now);
    if (round > 1) {
        request.laterRoundAt = now;
    }
    if (this->hasResponded(request, now)) {
        return round > 1 && isWithin(request.ownResponseAt, responseValidity, now) && mustReport(request, now);
    }
    this->addLoss(fingerprint, {instance, std::clamp<std::uint32_t>(round, 1, maximumRound), now, false});
    return false;
}

void PoisonRequestDetector::addLoss(std::uint64_t fingerprint, const Loss &loss)
{
    std::vector<Loss> &losses = this->requests.use(fingerprint, loss.heardAt).losses;
    std::erase_if(losses, [this, &loss](const Loss &each) { return !this->stands(each, loss.heardAt); });
    const auto ofInstance = std::find_if(losses.begin(), losses.end(), [&loss](const Loss &each) { return each.instance == loss.instance; });
    const std::ptrdiff_t ofRound = std::count_if(losses.begin(), losses.end(), [&loss](const Loss &each) { return each.round == loss.round; });
    if (ofInstance != losses.end() || ofRound >= maximumLossesOfRound) {
        return;
    }
    if (losses.size() >= maximumLosses) {
        losses.erase(losses.begin());
    }
    losses.push_back(loss);
}

bool PoisonRequestDetector::addResponse(std::uint64_t fingerprint, SteadyTime now)
{
    if (!this->hasLosses) {
        return false;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    Request *request = this->requests.find(fingerprint);
    if (request == nullptr) {
        return false;
    }
    const bool isOwnLoss = std::any_of(request->losses.begin(), request->losses.end(), [](const Loss &loss) { return loss.isOwn; });
    const bool isLaterRound = isWithin(request->laterRoundAt, responseValidity, now);
    request->losses.clear();
    request->respondedAt = now;
    request->ownResponseAt = now;
    return (isOwnLoss || isLaterRound) && mustReport(*request, now);
}

void PoisonRequestDetector::addReportedResponse(std::uint64_t fingerprint, SteadyTime now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    // Without an entry, too: the report may overtake those of the losses.
    this->hasLosses = true;
    Request &request = this->requests.use(fingerprint, now);
    request.losses.clear();
    request.respondedAt = now;
    request.reportedAt = now;
}

bool PoisonRequestDetector::holdsLosses() const
{
    return this->hasLosses;
}

void PoisonRequestDetector::addInstanceResponses(const std::vector<std::uint32_t> &responded, SteadyTime heardAt)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    for (const std::uint32_t handle : responded) {
        Instance *instance = this->instances.find(handle);
        if (instance != nullptr) {
            instance->respondedAt = instance->respondedAt ? std::max(*instance->respondedAt, heardAt) : heardAt;
            instance->failingSince.reset();
        }
    }
}

PoisonRequestDetector::Judgement PoisonRequestDetector::judge(std::uint64_t fingerprint, SteadyTime now) const
{
    if (!this->hasLosses) {
        return {};
    }
    const std::vector<Loss> losses = this->standingLosses(fingerprint, now);
    // The earliest loss of each round.
    std::map<std::uint32_t, SteadyTime> rounds;
    for (const Loss &loss : losses) {
        const auto added = rounds.emplace(loss.round, loss.heardAt).first;
        added->second = std::min(added->second, loss.heardAt);
    }
    if (rounds.size() < poisonThreshold) {
        return {};
    }
    std::vector<SteadyTime> times;
    for (const std::pair<const std::uint32_t, SteadyTime> &round : rounds) {
        times.push_back(round.second);
    }
    std::sort(times.begin(), times.end());
    const SteadyTime settledAt = times[poisonThreshold - 1] + settlingTime;
    if (now >= settledAt) {
        return {State::Poison, std::chrono::milliseconds(0)};
    }
    return {State::Suspected, std::chrono::ceil<std::chrono::milliseconds>(settledAt - now)};
}

std::vector<PoisonRequestDetector::Loss> PoisonRequestDetector::standingLosses(std::uint64_t fingerprint, SteadyTime now) const
{
    std::vector<Loss> standing;
    std::lock_guard<std::mutex> lock(this->mutex);
    const Request *request = this->requests.find(fingerprint);
    if (request == nullptr) {
        return standing;
    }
    std::copy_if(
        request->losses.begin(), request->losses.end(), std::back_inserter(standing), [this, now](const Loss &loss) { return this->stands(loss, now); });
    return standing;
}

void PoisonRequestDetector::recordFailing(std::uint64_t fingerprint, std::uint32_t instance, SteadyTime now)
{
    Instance &known = this->instances.use(instance, now);
    if (!known.failingSince || now - *known.failingSince > retention) {
        known.failingSince = now;
        known.failingRequest = fingerprint;
    }
}

bool PoisonRequestDetector::stands(const Loss &loss, SteadyTime now) const
{
    const Instance *instance = this->instances.find(loss.instance);
    // Without an entry, which a full table may have dropped, a response couldn't withdraw the loss.
    const bool isSilent = instance != nullptr && !(instance->respondedAt && *instance->respondedAt > loss.heardAt + outcomeDelay);
    return isSilent && now - loss.heardAt <= retention;
}

bool PoisonRequestDetector::hasResponded(const Request &request, SteadyTime now)
{
    return isWithin(request.respondedAt, responseValidity, now);
}

bool PoisonRequestDetector::mustReport(Request &request, SteadyTime now)
{
    if (isWithin(request.reportedAt, reportInterval, now)) {
        return false;
    }
    request.reportedAt = now;
    return true;
}

} // namespace Hyssophall
