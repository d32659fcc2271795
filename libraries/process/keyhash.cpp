#include "process/keyhash.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <cstdlib>

namespace Hyssophall {

namespace {

constexpr std::string_view digits = "0123456789abcdef";

} // namespace

std::string createRandomKey()
{
    KeyHash bits{};
    if (gnutls_rnd(GNUTLS_RND_KEY, bits.data(), bits.size()) != 0) {
        // A key from a failed generator could be guessed.
        std::abort();
    }
    return hexadecimal(bits);
}

KeyHash hashKey(std::string_view key)
{
    KeyHash hash{};
    if (gnutls_hash_fast(GNUTLS_DIG_SHA256, key.data(), key.size(), hash.data()) != 0) {
        // Only a broken installation of GnuTLS has no SHA-256; going on would let any key in.
        std::abort();
    }
    return hash;
}

bool isEqualInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && gnutls_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string hexadecimal(const KeyHash &hash)
{
    std::string text;
    for (const std::uint8_t byte : hash) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

std::optional<KeyHash> keyHashFromHexadecimal(std::string_view text)
{
    KeyHash hash{};
    if (text.size() != 2 * hash.size()) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < hash.size(); ++index) {
        const std::size_t high = digits.find(text[2 * index]);
        const std::size_t low = digits.find(text[2 * index + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        hash[index] = static_cast<std::uint8_t>(high << 4U | low);
    }
    return hash;
}

std::string hashBytes(const KeyHash &hash)
{
    return std::string(hash.begin(), hash.end());
}

bool hasHash(std::string_view key, std::string_view expectedBytes)
{
    return isEqualInConstantTime(hashBytes(hashKey(key)), expectedBytes);
}

} // namespace Hyssophall
