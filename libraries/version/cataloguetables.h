#pragma once

#include "catalogue.pb.h"
#include "version/persistenttable.h"

#include <gnutls/gnutls.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Hyssophall {

/// SHA-256 of a caller's key. The catalogue stores only hashes, never the keys.
using KeyHash = std::array<std::uint8_t, 32>;

namespace detail {

/// The routes with the same path prefix. Their methods are disjoint, so at most one of them matches a request.
struct RoutesOfPrefix {
    std::string prefix;
    std::vector<std::shared_ptr<const hyssophall::catalogue::v1::Route>> routes;
};

/// A service or team with the number of routes and keys that refer to it. Removal checks the count instead of searching all entries.
template<typename Message>
struct Referenced {
    Message message;
    std::size_t referenceCount = 0;
};

/// For keys that aren't secret.
struct NonSecretComparison {
    static bool isEqual(std::string_view left, std::string_view right)
    {
        return left == right;
    }
};

template<typename Value>
struct NamePolicy : NonSecretComparison {
    static std::string_view key(const Value &value)
    {
        return value.name();
    }
};

template<typename Message>
struct ReferencedPolicy : NonSecretComparison {
    static std::string_view key(const Referenced<Message> &value)
    {
        return value.message.name();
    }
};

struct PrefixPolicy : NonSecretComparison {
    static std::string_view key(const RoutesOfPrefix &value)
    {
        return value.prefix;
    }
};

struct KeyIdPolicy : NonSecretComparison {
    static std::string_view key(const hyssophall::catalogue::v1::Key &value)
    {
        return value.id();
    }
};

struct KeyHashPolicy {
    static std::string_view key(const hyssophall::catalogue::v1::Key &value)
    {
        return value.hash();
    }

    /// Compares in constant time, so that response times don't reveal how many bytes of a guessed hash were correct.
    static bool isEqual(std::string_view left, std::string_view right)
    {
        return left.size() == right.size() && gnutls_memcmp(left.data(), right.data(), left.size()) == 0;
    }
};

template<typename Message>
using ReferencedTable = PersistentTable<Referenced<Message>, ReferencedPolicy<Message>>;

using ServiceTable = ReferencedTable<hyssophall::catalogue::v1::Service>;
using RouteTable = PersistentTable<hyssophall::catalogue::v1::Route, NamePolicy<hyssophall::catalogue::v1::Route>>;
using PrefixTable = PersistentTable<RoutesOfPrefix, PrefixPolicy>;
using TeamTable = ReferencedTable<hyssophall::catalogue::v1::Team>;
using KeyTable = PersistentTable<hyssophall::catalogue::v1::Key, KeyIdPolicy>;
using KeyHashTable = PersistentTable<hyssophall::catalogue::v1::Key, KeyHashPolicy>;

} // namespace detail

} // namespace Hyssophall
