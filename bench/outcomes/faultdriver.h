#pragma once

#include "scenario.h"
#include "side.h"

#include "process/hooks.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace HyssophallBench {

/// What was seen of the instances in one fault's window. Times in seconds after the fault began.
struct WindowObservation {
    std::optional<double> firstEjected;
    std::optional<double> ejectedOnAll;
    std::size_t ejectingVms = 0;
    /// When the instance had taken how many requests.
    std::vector<std::pair<double, std::uint64_t>> taken;
    /// Sound instances that were newly ejected.
    std::set<std::string> falselyEjected;
    /// The same, counted on each VM.
    std::size_t falseEjectionsOnVms = 0;
};

/// Brings about the faults of the scenario on one side and watches its ejections.
class FaultDriver
{
public:
    FaultDriver(Side &side, const Scenario &scenario);

    /// Blocks until the last window has ended.
    void run(Hyssophall::SteadyTime start);

    /// One for each window.
    const std::vector<WindowObservation> &observations() const;

private:
    void runWindow(std::size_t index, Hyssophall::SteadyTime start);
    void apply(const FaultWindow &window);
    void maintain(const FaultWindow &window, double since);
    void clear(const FaultWindow &window);
    void setFaults(const FaultWindow &window, const nlohmann::json &faults);
    void watch(std::size_t index, double now);
    void watchTarget(const FaultWindow &window, WindowObservation &observation, double since);
    void noteEjected(std::size_t index, std::size_t vm, double now);
    bool isExcused(std::size_t index, const std::string &instance, double now) const;
    std::string targetOf(const FaultWindow &window) const;
    std::size_t vmOf(const FaultWindow &window) const;

    Side &side;
    const Scenario &scenario;
    std::vector<WindowObservation> seen;
    std::vector<std::set<std::string>> ejectedBefore;
    std::set<std::size_t> vmsWithTarget;
    std::optional<std::size_t> returningVm;
    double nextWatch = 0;
    bool flapIsOn = false;
};

} // namespace HyssophallBench
