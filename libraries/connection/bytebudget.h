#pragma once

#include <atomic>
#include <cstddef>

namespace Hyssophall {

/// Bounds how many bytes all users together hold at a time. Thread-safe.
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t limit);

    /// Takes the bytes, or returns false and takes nothing if fewer are left.
    bool tryTake(std::size_t bytes);
    void giveBack(std::size_t bytes);

    /// The largest number of bytes that were taken at a time.
    std::size_t mostTaken() const;

private:
    const std::size_t limit;
    std::atomic<std::size_t> taken{0};
    std::atomic<std::size_t> most{0};
};

} // namespace Hyssophall
