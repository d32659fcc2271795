#pragma once

#include "process/hooks.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace Hyssophall {

/**
 * A queue of fixed capacity between two duties that run on threads of their own.
 *
 * A full ring refuses an element in place of blocking the sender, so that a slow receiver never stalls the sender's duty.
 */
template<typename Element>
class BoundedRing
{
public:
    /// Holds at most @p capacity elements.
    explicit BoundedRing(std::size_t capacity)
        : capacity(capacity)
    {
    }

    /// Adds an element. Returns false when the ring is full or closed; the element is then dropped.
    bool tryPush(Element element)
    {
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            if (this->closed || this->elements.size() >= this->capacity) {
                return false;
            }
            this->elements.push_back(std::move(element));
        }
        this->available.notify_one();
        return true;
    }

    /// Waits until @p deadline for an element. Returns nothing at the deadline, or when the ring is closed and empty.
    std::optional<Element> popUntil(SteadyTime deadline)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->available.wait_until(lock, deadline, [this] { return this->closed || !this->elements.empty(); });
        if (this->elements.empty()) {
            return std::nullopt;
        }
        Element element = std::move(this->elements.front());
        this->elements.pop_front();
        return element;
    }

    /// Refuses further elements and wakes all receivers.
    void close()
    {
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            this->closed = true;
        }
        this->available.notify_all();
    }

private:
    const std::size_t capacity;
    std::mutex mutex;
    std::condition_variable available;
    std::deque<Element> elements;
    bool closed = false;
};

} // namespace Hyssophall
