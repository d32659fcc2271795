#pragma once

#include <bit>
#include <cstddef>

namespace Hyssophall {

/// Number of times that each VM sends one update in a fleet of @p members VMs. With about 4 log2(members) sends per VM,
/// in practice every VM receives the update.
constexpr unsigned repetitionFor(std::size_t members)
{
    return 4U * static_cast<unsigned>(std::bit_width(members < 2 ? std::size_t(2) : members - 1));
}

} // namespace Hyssophall
