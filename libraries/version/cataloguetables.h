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

/// SHA-256 of a key. Keys themselves are never kept.
using KeyHash = std::array<std::uint8_t, 32>;

namespace detail {

/// The routes of one path prefix; their methods are disjoint.
struct RoutesOfPrefix {
    std::string prefix;
    std::vector<std::shared_ptr<const hyssophall::catalogue::v1::Route>> routes;
};

/// A service or team with the number of entries that name it, so that removing it needs no search.
template<typename Message>
struct Counted {
    Message message;
    std::size_t uses = 0;
};

struct PlainComparison {
    static bool isEqual(std::string_view left, std::string_view right)
    {
        return left == right;
    }
};

template<typename Value>
struct NamePolicy : PlainComparison {
    static std::string_view key(const Value &value)
    {
        return value.name();
    }
};

template<typename Message>
struct CountedPolicy : PlainComparison {
    static std::string_view key(const Counted<Message> &value)
    {
        return value.message.name();
    }
};

struct PrefixPolicy : PlainComparison {
    static std::string_view key(const RoutesOfPrefix &value)
    {
        return value.prefix;
    }
};

struct KeyIdPolicy : PlainComparison {
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

    /// In constant time, so that answers' times say nothing about how much of a hash was right.
    static bool isEqual(std::string_view left, std::string_view right)
    {
        return left.size() == right.size() && gnutls_memcmp(left.data(), right.data(), left.size()) == 0;
    }
};

template<typename Message>
using CountedTable = PersistentTable<Counted<Message>, CountedPolicy<Message>>;

using ServiceTable = CountedTable<hyssophall::catalogue::v1::Service>;
using RouteTable = PersistentTable<hyssophall::catalogue::v1::Route, NamePolicy<hyssophall::catalogue::v1::Route>>;
using PrefixTable = PersistentTable<RoutesOfPrefix, PrefixPolicy>;
using TeamTable = CountedTable<hyssophall::catalogue::v1::Team>;
using KeyTable = PersistentTable<hyssophall::catalogue::v1::Key, KeyIdPolicy>;
using KeyHashTable = PersistentTable<hyssophall::catalogue::v1::Key, KeyHashPolicy>;

} // namespace detail

} // namespace Hyssophall
