#pragma once

#include "foxtailring/decisions/admission/AdmissionDecision.h"

namespace foxtailring {

class AdmissionGate;

/// \brief Permission of one request to run; destroying it releases its place.
class AdmissionPass
{
public:
    AdmissionPass(AdmissionGate &gate, Ticket ticket);
    ~AdmissionPass();
    AdmissionPass(const AdmissionPass &) = delete;
    AdmissionPass &operator=(const AdmissionPass &) = delete;

private:
    AdmissionGate &m_gate;
    Ticket m_ticket;
};

} // namespace foxtailring
