#pragma once

#include "foxtailring/base/Error.h"

#include <cassert>
#include <utility>
#include <variant>

namespace foxtailring {

/// \brief Success without a value, as in Result<Done>.
struct Done
{
};

/// \brief Either a value or an Error.
template <typename T>
class [[nodiscard]] Result
{
public:
    Result(T value)
        : m_state(std::move(value))
    {
    }
    Result(Error error)
        : m_state(std::move(error))
    {
    }
    Result(ErrorCode code, std::string message)
        : m_state(Error {code, std::move(message)})
    {
    }

    bool isOk() const { return std::holds_alternative<T>(m_state); }
    explicit operator bool() const { return isOk(); }

    /// \brief Requires isOk().
    const T &value() const &
    {
        assert(isOk());
        return *std::get_if<T>(&m_state);
    }
    T &value() &
    {
        assert(isOk());
        return *std::get_if<T>(&m_state);
    }
    T &&value() &&
    {
        assert(isOk());
        return std::move(*std::get_if<T>(&m_state));
    }

    /// \brief Requires !isOk().
    const Error &error() const
    {
        assert(!isOk());
        return *std::get_if<Error>(&m_state);
    }

private:
    std::variant<T, Error> m_state;
};

} // namespace foxtailring
