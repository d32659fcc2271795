#include "process/control/checksummedrecord.h"

#include <cstring>
#include <xxhash.h>

namespace Hyssophall {

namespace {

constexpr std::size_t headerSize = 2 * sizeof(std::uint64_t);

// The length is the hash seed, so that the checksum also detects a changed length.
std::uint64_t checksumOf(const char *payload, std::size_t length)
{
    return XXH64(payload, length, length);
}

} // namespace

std::string ChecksummedRecord::encode(const std::string &payload)
{
    std::string bytes;
    bytes.reserve(headerSize + payload.size());
    ChecksummedRecord::appendNumber(bytes, payload.size());
    ChecksummedRecord::appendNumber(bytes, checksumOf(payload.data(), payload.size()));
    return bytes + payload;
}

std::optional<std::string> ChecksummedRecord::decodeNext(const std::string &bytes, std::size_t &offset)
{
    if (offset > bytes.size() || bytes.size() - offset < headerSize) {
        return std::nullopt;
    }
    std::uint64_t length = 0;
    std::uint64_t checksum = 0;
    std::memcpy(&length, bytes.data() + offset, sizeof(length));
    std::memcpy(&checksum, bytes.data() + offset + sizeof(length), sizeof(checksum));
    if (length > bytes.size() - offset - headerSize) {
        return std::nullopt;
    }
    const char *payload = bytes.data() + offset + headerSize;
    if (checksumOf(payload, length) != checksum) {
        return std::nullopt;
    }
    offset += headerSize + length;
    return std::string(payload, length);
}

void ChecksummedRecord::appendNumber(std::string &bytes, std::uint64_t number)
{
    bytes.append(reinterpret_cast<const char *>(&number), sizeof(number));
}

std::uint64_t ChecksummedRecord::numberAt(const std::string &bytes, std::size_t position)
{
    std::uint64_t number = 0;
    std::memcpy(&number, bytes.data() + position * sizeof(number), sizeof(number));
    return number;
}

} // namespace Hyssophall
