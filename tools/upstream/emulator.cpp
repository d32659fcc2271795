#include "emulator.h"

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

namespace Hyssophall {

namespace {

constexpr int coldStartFactor = 3;

constexpr std::array<std::pair<const char *, FaultMode>, 6> modeNames{{
    {"none", FaultMode::None},
    {"slow", FaultMode::Slow},
    {"error", FaultMode::Error},
    {"shed", FaultMode::Shed},
    {"truncate", FaultMode::Truncate},
    {"hang", FaultMode::Hang},
}};

} // namespace

boost::leaf::result<Faults> parseFaults(const nlohmann::json &description)
{
    Faults faults;
    if (!description.is_object()) {
        return boost::leaf::new_error(InvalidFaults{"body"});
    }
    const auto mode = std::find_if(modeNames.begin(), modeNames.end(), [&description](const std::pair<const char *, FaultMode> &row) {
        return description.value("mode", nlohmann::json("none")) == row.first;
    });
    if (mode == modeNames.end()) {
        return boost::leaf::new_error(InvalidFaults{"mode"});
    }
    const nlohmann::json ratio = description.value("ratio", nlohmann::json(1.0));
    const nlohmann::json delay = description.value("delay_ms", nlohmann::json(0));
    const nlohmann::json crashOn = description.value("crash_on", nlohmann::json(""));
    if (!ratio.is_number() || ratio < 0.0 || ratio > 1.0) {
        return boost::leaf::new_error(InvalidFaults{"ratio"});
    }
    if (!delay.is_number_integer() || delay < 0) {
        return boost::leaf::new_error(InvalidFaults{"delay_ms"});
    }
    if (!crashOn.is_string()) {
        return boost::leaf::new_error(InvalidFaults{"crash_on"});
    }
    faults.mode = mode->second;
    faults.ratio = ratio.get<double>();
    faults.delay = std::chrono::milliseconds(delay.get<std::int64_t>());
    faults.crashOn = crashOn.get<std::string>();
    return faults;
}

Emulator::Emulator(Options options)
    : options(std::move(options))
    , startedAt(std::chrono::steady_clock::now())
{
}

Emulator::Result Emulator::run(const std::string &runKey, const std::string &content)
{
    const std::optional<Faults> hit = this->drawFault();
    if ((hit && hit->mode == FaultMode::Shed) || !this->takeSlot()) {
        std::lock_guard<std::mutex> lock(this->mutex);
        ++this->shed;
        return Result::Shed;
    }
    bool crash = false;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        ++this->total;
        ++this->runs[runKey];
        crash = !this->faults.crashOn.empty() && content.find(this->faults.crashOn) != std::string::npos;
    }
    if (crash) {
        return Result::Crash;
    }
    std::this_thread::sleep_for(this->runTime(hit));
    this->leaveSlot();
    if (hit && hit->mode == FaultMode::Error) {
        return Result::Error;
    }
    return hit && hit->mode == FaultMode::Truncate ? Result::Truncated : Result::Answered;
}

void Emulator::setFaults(const Faults &newFaults)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->faults = newFaults;
}

void Emulator::noteCredentialSeen()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->credentialsSeen;
}

nlohmann::json Emulator::record() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return {
        {"runs", this->runs},
        {"total", this->total},
        {"shed", this->shed},
        {"most_in_slots", this->mostSlotsInUse},
        {"credentials_seen", this->credentialsSeen},
    };
}

bool Emulator::takeSlot()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    if (this->slotsInUse >= this->options.slots && this->waiting >= this->options.queueLimit) {
        return false;
    }
    ++this->waiting;
    this->slotFreed.wait(lock, [this] { return this->slotsInUse < this->options.slots; });
    --this->waiting;
    ++this->slotsInUse;
    this->mostSlotsInUse = std::max(this->mostSlotsInUse, this->slotsInUse);
    return true;
}

void Emulator::leaveSlot()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        --this->slotsInUse;
    }
    this->slotFreed.notify_one();
}

std::chrono::milliseconds Emulator::runTime(const std::optional<Faults> &hit) const
{
    std::chrono::milliseconds time = this->options.serviceTime;
    if (std::chrono::steady_clock::now() - this->startedAt < this->options.coldStart) {
        time *= coldStartFactor;
    }
    if (hit && (hit->mode == FaultMode::Slow || hit->mode == FaultMode::Hang)) {
        time += hit->delay;
    }
    return time;
}

std::optional<Faults> Emulator::drawFault()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->faults.mode == FaultMode::None) {
        return std::nullopt;
    }
    const double drawn = static_cast<double>(this->options.random() >> 11U) * 0x1.0p-53;
    if (drawn >= this->faults.ratio) {
        return std::nullopt;
    }
    return this->faults;
}

} // namespace Hyssophall
