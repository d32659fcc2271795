#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace Hyssophall {

/// A record on disk: length and xxHash64 checksum, 8 bytes each in the order of the machine, then the payload.
class CheckedRecord
{
public:
    static std::string of(const std::string &payload);

    /// The payload of the record at @p offset, which moves behind it, or nothing when the record is cut short or changed.
    static std::optional<std::string> next(const std::string &bytes, std::size_t &offset);

    static void putNumber(std::string &bytes, std::uint64_t number);

    /// The number at @p position, counted in numbers. @p bytes must be long enough.
    static std::uint64_t numberAt(const std::string &bytes, std::size_t position);
};

} // namespace Hyssophall
