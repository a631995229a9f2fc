#pragma once

#include "foxtailring/decisions/sessions/AttemptResult.h"
#include "foxtailring/transport/HttpResponse.h"

#include "StreamedEvent.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

struct BackendCodec;
struct Error;
struct ServerAttempt;

/// \brief Reads the answers of servers to one request: which kind of answer it is, and whether it
/// is whole.
class AnswerReader
{
public:
    /// \param codec must outlive the reader
    /// \param method of the request
    /// \param isRun the request is to be answered by events
    AnswerReader(const BackendCodec &codec, std::string method, bool isRun);

    /// \brief The head of the answer to \a attempt arrived.
    void readHead(ServerAttempt &attempt, HttpResponse head) const;
    /// \brief Adds bytes to an answer that is passed on as a whole. False: it is too large.
    static bool readBody(ServerAttempt &attempt, std::string_view bytes);
    /// \brief Adds bytes to a stream. Returns the events that are complete now; none: an event is
    /// too large.
    static std::optional<std::vector<StreamedEvent>> readEvents(ServerAttempt &attempt,
                                                                std::string_view bytes);
    /// \brief True if the answer, whose last byte has arrived, ends too early.
    bool isCutShort(const ServerAttempt &attempt) const;
    /// \brief What the failure of an attempt's connection makes of it.
    static AttemptResult failureOf(const Error &error);

private:
    const BackendCodec &m_codec;
    const std::string m_method;
    const bool m_isRun;
};

} // namespace foxtailring
