#pragma once

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace Hyssophall {

/**
 * A persistent (copy-on-write) hash table of immutable entries. Copies are cheap and share all nodes that neither of them has changed.
 *
 * Implemented as a hash trie: each branch has 16 children, selected by 4 bits of the 64-bit hash of the key, and the leaves are buckets of
 * entries. A change copies one bucket and the branches above it, which are four or five at 240,000 entries. Only one thread at a time may
 * change a table.
 *
 * @tparam Policy defines `static std::string_view key(const Value &)` and `static bool isEqual(std::string_view, std::string_view)`.
 */
template<typename Value, typename Policy>
class PersistentTable
{
public:
    using Entry = std::shared_ptr<const Value>;

    std::size_t size() const
    {
        return this->entryCount;
    }

    /// The entry with this key, or null.
    Entry find(std::string_view key) const
    {
        std::uint64_t remainingHash = hashOf(key);
        const Node *node = this->root.get();
        while (node != nullptr && node->branches) {
            node = (*node->branches)[remainingHash & childMask].get();
            remainingHash >>= hashBitsPerLevel;
        }
        if (node == nullptr) {
            return nullptr;
        }
        const auto position = findIn(*node, key);
        return position == node->entries.end() ? nullptr : *position;
    }

    /// Adds the entry or replaces the one with the same key.
    void put(Entry entry)
    {
        const std::uint64_t hash = hashOf(Policy::key(*entry));
        if (putBelow(this->root, std::move(entry), hash, 0)) {
            ++this->entryCount;
        }
    }

    /// Removes the entry with this key. Returns false if there is none.
    bool remove(std::string_view key)
    {
        // Search first: removeBelow() copies the shared branches on its way, which would be wasted when there is nothing to remove.
        if (this->find(key) == nullptr) {
            return false;
        }
        removeBelow(this->root, key, hashOf(key));
        --this->entryCount;
        return true;
    }

    void forEach(const std::function<void(const Entry &)> &visit) const
    {
        if (this->root != nullptr) {
            visitBelow(*this->root, visit);
        }
    }

    /// All entries in ascending order of their keys.
    std::vector<Entry> sorted() const
    {
        std::vector<Entry> entries;
        entries.reserve(this->entryCount);
        this->forEach([&entries](const Entry &entry) { entries.push_back(entry); });
        std::sort(entries.begin(), entries.end(), [](const Entry &left, const Entry &right) { return Policy::key(*left) < Policy::key(*right); });
        return entries;
    }

private:
    static constexpr unsigned hashBitsPerLevel = 4;
    static constexpr std::uint64_t childMask = 15;
    static constexpr unsigned maximumDepth = 64 / hashBitsPerLevel;
    static constexpr std::size_t maximumBucketSize = 12;

    struct Node;
    using NodePointer = std::shared_ptr<Node>;
    using Branches = std::array<NodePointer, childMask + 1>;

    /// An inner node if branches is set, else a leaf with a bucket of entries.
    struct Node {
        Node() = default;
        Node(const Node &other)
            : branches(other.branches ? std::make_unique<Branches>(*other.branches) : nullptr)
            , entries(other.entries)
        {
        }
        Node &operator=(const Node &) = delete;

        std::unique_ptr<Branches> branches;
        std::vector<Entry> entries;
    };

    static std::uint64_t hashOf(std::string_view key)
    {
        return XXH64(key.data(), key.size(), 0);
    }

    static typename std::vector<Entry>::const_iterator findIn(const Node &node, std::string_view key)
    {
        return std::find_if(node.entries.begin(), node.entries.end(), [key](const Entry &entry) { return Policy::isEqual(Policy::key(*entry), key); });
    }

    /// Copies a node that is shared with other tables, so that it can be changed. A node that isn't shared is changed in place, which makes
    /// filling a whole table fast.
    static void detach(NodePointer &node)
    {
        if (node == nullptr) {
            node = std::make_shared<Node>();
        } else if (node.use_count() > 1) {
            node = std::make_shared<Node>(*node);
        } else {
            // Synchronizes with another thread that has just dropped the last other reference to this node.
            std::atomic_thread_fence(std::memory_order_acquire);
        }
    }

    static bool putBelow(NodePointer &node, Entry entry, std::uint64_t remainingHash, unsigned depth)
    {
        detach(node);
        if (node->branches) {
            return putBelow((*node->branches)[remainingHash & childMask], std::move(entry), remainingHash >> hashBitsPerLevel, depth + 1);
        }
        const auto position = findIn(*node, Policy::key(*entry));
        if (position != node->entries.end()) {
            node->entries[static_cast<std::size_t>(position - node->entries.cbegin())] = std::move(entry);
            return false;
        }
        if (node->entries.size() == node->entries.capacity()) {
            // Grows by 2, as the vector's default doubling would leave a quarter of the memory of all buckets unused.
            node->entries.reserve(node->entries.size() + 2);
        }
        node->entries.push_back(std::move(entry));
        if (node->entries.size() > maximumBucketSize && depth < maximumDepth) {
            split(*node, depth);
        }
        return true;
    }

    static void split(Node &node, unsigned depth)
    {
        const std::vector<Entry> entries = std::move(node.entries);
        node.entries = {};
        node.branches = std::make_unique<Branches>();
        for (const Entry &entry : entries) {
            const std::uint64_t remainingHash = hashOf(Policy::key(*entry)) >> (hashBitsPerLevel * depth);
            putBelow((*node.branches)[remainingHash & childMask], entry, remainingHash >> hashBitsPerLevel, depth + 1);
        }
    }

    static void removeBelow(NodePointer &node, std::string_view key, std::uint64_t remainingHash)
    {
        detach(node);
        if (node->branches) {
            removeBelow((*node->branches)[remainingHash & childMask], key, remainingHash >> hashBitsPerLevel);
            const auto isEmpty = [](const NodePointer &child) { return child == nullptr; };
            if (std::all_of(node->branches->begin(), node->branches->end(), isEmpty)) {
                node = nullptr;
            }
            return;
        }
        node->entries.erase(findIn(*node, key));
        if (node->entries.empty()) {
            node = nullptr;
        }
    }

    static void visitBelow(const Node &node, const std::function<void(const Entry &)> &visit)
    {
        for (const Entry &entry : node.entries) {
            visit(entry);
        }
        if (node.branches) {
            for (const NodePointer &child : *node.branches) {
                if (child != nullptr) {
                    visitBelow(*child, visit);
                }
            }
        }
    }

    NodePointer root;
    std::size_t entryCount = 0;
};

} // namespace Hyssophall
