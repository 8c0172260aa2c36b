#pragma once

#include <cstddef>
#include <memory>

#include <boost/lockfree/queue.hpp>

namespace GraniteField::Core {

/// A queue of fixed capacity that joins two duties, each on a thread of its own. Any number of threads
/// may push and pop. What it can't take stays with the pusher, who has to say what happens then.
template <typename Item>
class BoundedRing {
public:
    explicit BoundedRing(std::size_t capacity)
        : m_capacity(capacity)
        , m_queue(capacity)
    {
    }

    ~BoundedRing()
    {
        while (try_pop()) { }
    }

    BoundedRing(BoundedRing const&) = delete;
    BoundedRing& operator=(BoundedRing const&) = delete;

    /// Takes the item unless the ring is full; then the item stays where it is and false comes back.
    [[nodiscard]] bool try_push(std::unique_ptr<Item>& item)
    {
        if (!m_queue.bounded_push(item.get()))
            return false;
        // The ring owns the item now.
        static_cast<void>(item.release());
        return true;
    }

    /// The oldest item, or null when the ring is empty.
    [[nodiscard]] std::unique_ptr<Item> try_pop()
    {
        Item* item = nullptr;
        if (!m_queue.pop(item))
            return nullptr;
        return std::unique_ptr<Item>(item);
    }

    [[nodiscard]] std::size_t capacity() const { return m_capacity; }

private:
    std::size_t m_capacity;
    boost::lockfree::queue<Item*> m_queue;
};

}
