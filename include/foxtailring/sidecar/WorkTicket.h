#pragma once

#include <memory>

namespace foxtailring {

class DrainState;

/// \brief One piece of admitted work; counted out of the DrainState when destroyed.
class WorkTicket
{
public:
    /// \param drain has admitted the work
    explicit WorkTicket(std::shared_ptr<DrainState> drain);
    ~WorkTicket();
    WorkTicket(const WorkTicket &) = delete;
    WorkTicket &operator=(const WorkTicket &) = delete;

private:
    const std::shared_ptr<DrainState> m_drain;
};

} // namespace foxtailring
