#pragma once

#include "process/hooks.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace Hyssophall {

/**
 * This VM's knowledge of poison requests, and of fingerprints that were answered lately.
 *
 * A request that was answered lately can't be poison: it was merely in flight on an instance that another request crashed.
 * Not thread-safe.
 */
class PoisonList
{
public:
    static constexpr std::chrono::seconds answeredMemory{60};
    static constexpr std::size_t maximumAnswered = 65536;

    void markPoison(std::uint64_t fingerprint, SteadyTime until);
    bool isPoison(std::uint64_t fingerprint, SteadyTime now) const;

    void noteAnswered(std::uint64_t fingerprint, SteadyTime now);
    bool wasAnsweredLately(std::uint64_t fingerprint, SteadyTime now) const;

    void removeExpired(SteadyTime now);

private:
    struct AnsweredNote {
        std::uint64_t fingerprint;
        SteadyTime at;
    };

    std::unordered_map<std::uint64_t, SteadyTime> poisonUntil;
    std::unordered_map<std::uint64_t, SteadyTime> answeredAt;
    std::deque<AnsweredNote> answeredOrder;
};

} // namespace Hyssophall
