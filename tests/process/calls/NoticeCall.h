#pragma once

#include "CallAnswer.h"
#include "Wait.h"

#include <cstddef>
#include <string>

namespace foxtailring::harness {

class SystemFixture;

/// \brief A non-idempotent call of the plain service: one revision notice, which has a target of
/// its own.
class NoticeCall
{
public:
    /// \param key Idempotency-Key; empty: none
    NoticeCall(std::string name, std::string key, std::string body = "revision 4");

    /// \brief Sends it through an entry, once.
    CallAnswer send(SystemFixture &system, std::size_t entry,
                    std::chrono::milliseconds timeout = std::chrono::seconds(20)) const;

    /// \brief Target at the service.
    std::string target() const { return "/notices/" + m_name; }

private:
    std::string m_name;
    std::string m_key;
    std::string m_body;
};

} // namespace foxtailring::harness
