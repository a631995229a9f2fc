#pragma once

#include "CallAnswer.h"
#include "Wait.h"

#include <cstddef>
#include <string>

namespace foxtailring::harness {

class SystemFixture;

/// \brief A non-idempotent call of the plain service: a revision notice with its own target.
class NoticeCall
{
public:
    /// \param key Idempotency-Key; empty for none
    NoticeCall(std::string name, std::string key, std::string body = "revision 4");

    /// \brief Sends the call once, through the entry with index \a entry modulo the entry count.
    CallAnswer send(SystemFixture &system, std::size_t entry,
                    std::chrono::milliseconds timeout = std::chrono::seconds(20)) const;

    /// \brief Path at the service.
    std::string target() const { return "/notices/" + m_name; }

private:
    std::string m_name;
    std::string m_key;
    std::string m_body;
};

} // namespace foxtailring::harness
