#include "systemrandom.h"

#include <random>

namespace Hyssophall {

std::uint64_t systemRandom()
{
    thread_local std::mt19937_64 generator{(static_cast<std::uint64_t>(std::random_device()()) << 32U) | std::random_device()()};
    return generator();
}

} // namespace Hyssophall
