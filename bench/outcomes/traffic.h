#pragma once

#include "scenario.h"
#include "side.h"

#include "process/hooks.h"

#include <atomic>
#include <string>
#include <vector>

namespace HyssophallBench {

/// How one request of the scenario ended.
struct Sample {
    /// Zero when no whole answer came.
    long status = 0;
    std::string refusal;
    /// Since the request was due, so that a slow fleet can't hide behind a late sender.
    double milliseconds = 0;
    /// To which VM the balancer sent it.
    std::size_t vm = 0;

    bool isAnswered() const;
    /// The upstream or the VM failed; a refusal before anything was sent isn't a failure.
    bool isFailure() const;
    /// Refused before anything was sent.
    bool isRefused() const;
};

/// Sends the scenario's requests through one side's balancer at their times.
class Traffic
{
public:
    Traffic(Side &side, const Scenario &scenario, const std::vector<std::string> &keys);

    /// Blocks until the last request has ended.
    void run(Hyssophall::SteadyTime start);

    /// One for each arrival.
    const std::vector<Sample> &samples() const;

private:
    void sendUntilDone(Hyssophall::SteadyTime start);
    void sendOne(std::size_t index, Hyssophall::SteadyTime due);

    Side &side;
    const Scenario &scenario;
    const std::vector<std::string> &keys;
    std::atomic<std::size_t> next{0};
    std::vector<Sample> results;
};

} // namespace HyssophallBench
