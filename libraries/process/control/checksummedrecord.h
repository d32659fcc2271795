#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace Hyssophall {

/// Format of a record on disk: payload length in bytes and xxHash64 checksum, 8 bytes each in native byte order, then the payload.
class ChecksummedRecord
{
public:
    static std::string encode(const std::string &payload);

    /// Returns the payload of the record at @p offset and moves the offset to the record's end. Returns nothing when the record is truncated or
    /// its checksum doesn't match; the offset is unchanged then.
    static std::optional<std::string> decodeNext(const std::string &bytes, std::size_t &offset);

    /// Appends 8 bytes in native byte order.
    static void appendNumber(std::string &bytes, std::uint64_t number);

    /// The number at @p position, which counts numbers of 8 bytes. @p bytes must be long enough.
    static std::uint64_t numberAt(const std::string &bytes, std::size_t position);
};

} // namespace Hyssophall
