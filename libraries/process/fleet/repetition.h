#pragma once

#include <bit>
#include <cstddef>

namespace Hyssophall {

/// How often one update is sent by each VM in a fleet of @p members: about 4 log2(members), so that it misses nobody in practice.
constexpr unsigned repetitionFor(std::size_t members)
{
    return 4U * static_cast<unsigned>(std::bit_width(members < 2 ? std::size_t(2) : members - 1));
}

} // namespace Hyssophall
