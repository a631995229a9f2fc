#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/transport/HttpResponse.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {
class Http1Stream;
}

namespace foxtailring::test {

/// \brief A caller that reads server-sent events. Thread-safe.
class SseReader
{
public:
    void head(const HttpResponse &response);
    void body(std::string_view bytes);
    void closed(const Result<Done> &result);

    void setHandle(std::shared_ptr<Http1Stream> handle);
    /// \brief Closes the connection, as a caller that goes away does.
    void cut();

    /// \brief Waits until the text has at least \a count spaces, which end a token each.
    bool waitForTokens(std::size_t count);
    bool waitForEnd();

    int status();
    std::string text();
    std::string lastId();
    std::string error(); ///< data of the error event
    std::string finishReason();
    bool isDone();   ///< `[DONE]` arrived
    bool isClosed(); ///< the connection ended
    bool wasCut();   ///< it ended without the end of the response
    std::string raw();

private:
    void takeLine(std::string_view line);
    void takeData(std::string_view data);
    template <typename Predicate>
    bool wait(Predicate done);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::shared_ptr<Http1Stream> m_handle;
    int m_status = 0;
    std::string m_pending;
    std::string m_raw;
    std::string m_text;
    std::string m_lastId;
    std::string m_event;
    std::string m_error;
    std::string m_finishReason;
    bool m_done = false;
    std::optional<Result<Done>> m_result;
};

} // namespace foxtailring::test
