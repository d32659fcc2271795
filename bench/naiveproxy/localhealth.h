#pragma once

#include "process/health/instancehealth.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace HyssophallBench {

namespace FleetMessages = hyssophall::fleet::v1;

/// Round robin over a fixed list; each VM for itself ejects after a number of consecutive errors. Thread-safe.
class LocalHealth : public Hyssophall::InstanceHealth
{
public:
    using Services = std::map<std::string, std::vector<FleetMessages::Instance>>;

    LocalHealth(Services services, std::uint64_t firstTurn);

    std::optional<FleetMessages::Instance> choose(const Hyssophall::InstanceQuery &query) override;
    void finish(const FleetMessages::Instance &instance, Hyssophall::TryOutcome outcome, std::chrono::microseconds latency, std::uint64_t fingerprint) override;
    bool isPoison(std::uint64_t fingerprint) const override;

    /// Instances ejected now.
    std::vector<std::string> ejected() const;
    /// Ejections since the start, by instance.
    std::map<std::string, std::uint64_t> ejectionCounts() const;

private:
    struct State {
        int consecutiveErrors = 0;
        Hyssophall::SteadyTime ejectedUntil{};
        std::uint64_t ejections = 0;
    };

    const Services services;
    mutable std::mutex mutex;
    std::map<std::string, State> states;
    std::uint64_t nextTurn;
};

} // namespace HyssophallBench
