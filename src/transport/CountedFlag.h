#pragma once

#include <atomic>
#include <cstddef>
#include <utility>

namespace foxtailring {

/// \brief A flag that counts as one in a shared counter while it is set.
class CountedFlag
{
public:
    /// \param counter must outlive the flag
    explicit CountedFlag(std::atomic<std::size_t> &counter)
        : m_counter(counter)
    {
    }
    ~CountedFlag() { set(false); }
    CountedFlag(const CountedFlag &) = delete;
    CountedFlag &operator=(const CountedFlag &) = delete;

    void set(bool isSet)
    {
        if (std::exchange(m_isSet, isSet) == isSet)
            return;
        if (isSet)
            ++m_counter;
        else
            --m_counter;
    }

private:
    std::atomic<std::size_t> &m_counter;
    bool m_isSet = false;
};

} // namespace foxtailring
