#pragma once

#include "version/catalogue.h"

#include <optional>
#include <string>
#include <string_view>

namespace Hyssophall {

/// A key of 256 random bits as 64 hexadecimal digits.
std::string createRandomKey();

/// SHA-256 of a key as its holder sends it.
KeyHash hashKey(std::string_view key);

/// Compares without telling by its time how many bytes are equal.
bool isEqualInConstantTime(std::string_view left, std::string_view right);

/// 64 lower-case hexadecimal digits.
std::string hexadecimal(const KeyHash &hash);

/// The hash that the 64 lower-case hexadecimal digits spell, or nothing.
std::optional<KeyHash> keyHashFromHexadecimal(std::string_view digits);

/// The bytes of a hash as the catalogue's messages hold them.
std::string hashBytes(const KeyHash &hash);

/// Whether @p key has the hash in @p expectedBytes. Constant time for a given length of the key; false for an empty hash.
bool hasHash(std::string_view key, std::string_view expectedBytes);

} // namespace Hyssophall
