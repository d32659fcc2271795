#pragma once

#include "process/hooks.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace Hyssophall {

/// What each team was admitted over the last window, by all VMs that were heard. Not thread-safe.
class AdmissionHistory
{
public:
    /// @p length is that of the window.
    explicit AdmissionHistory(std::chrono::milliseconds length);

    /// Counts admissions that were heard of at @p now.
    void add(const std::string &team, std::uint32_t count, SteadyTime now);

    /// Admissions of @p team in the window that ends at @p now.
    double admitted(const std::string &team, SteadyTime now);

    /// Calls @p visit with each team that was admitted anything in the window that ends at @p now, and with how much.
    void visit(SteadyTime now, const std::function<void(const std::string &, double)> &visitor);

private:
    struct Slot {
        SteadyTime began;
        double admitted = 0;
    };
    using Slots = std::deque<Slot>;

    void dropOld(Slots &slots, SteadyTime now) const;

    const std::chrono::milliseconds length;
    const std::chrono::milliseconds slotLength;
    /// Oldest first.
    std::map<std::string, Slots> teams;
};

} // namespace Hyssophall
