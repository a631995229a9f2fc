#include "SseReader.h"

#include "foxtailring/transport/Http1Stream.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace foxtailring::test {

namespace {

constexpr std::chrono::seconds readWithin {20};

bool takePrefix(std::string_view &line, std::string_view prefix)
{
    if (!line.starts_with(prefix))
        return false;
    line.remove_prefix(prefix.size());
    return true;
}

} // namespace

void SseReader::head(const HttpResponse &response)
{
    const std::lock_guard lock(m_mutex);
    m_status = response.status;
    m_changed.notify_all();
}

void SseReader::body(std::string_view bytes)
{
    const std::lock_guard lock(m_mutex);
    m_raw += bytes;
    m_pending += bytes;
    for (auto end = m_pending.find('\n'); end != std::string::npos; end = m_pending.find('\n')) {
        takeLine(std::string_view(m_pending).substr(0, end));
        m_pending.erase(0, end + 1);
    }
    m_changed.notify_all();
}

void SseReader::takeLine(std::string_view line)
{
    if (line.empty())
        m_event.clear();
    else if (takePrefix(line, "id: "))
        m_lastId = line;
    else if (takePrefix(line, "event: "))
        m_event = line;
    else if (takePrefix(line, "data: "))
        takeData(line);
}

void SseReader::takeData(std::string_view data)
{
    if (data == "[DONE]") {
        m_done = true;
        return;
    }
    if (m_event == "error") {
        m_error = data;
        return;
    }
    const auto json = nlohmann::json::parse(data);
    if (json.at("choices").empty())
        return;
    const auto &choice = json.at("choices").at(0);
    if (choice.contains("delta"))
        m_text += choice.at("delta").value("content", "");
    else
        m_text += choice.at("text").get<std::string>();
    if (choice.at("finish_reason").is_string())
        m_finishReason = choice.at("finish_reason");
}

void SseReader::closed(const Result<Done> &result)
{
    const std::lock_guard lock(m_mutex);
    m_result = result;
    m_handle.reset();
    m_changed.notify_all();
}

void SseReader::setHandle(std::shared_ptr<Http1Stream> handle)
{
    const std::lock_guard lock(m_mutex);
    if (!m_result)
        m_handle = std::move(handle);
}

void SseReader::cut()
{
    std::shared_ptr<Http1Stream> handle;
    {
        const std::lock_guard lock(m_mutex);
        handle = m_handle;
    }
    if (handle)
        handle->cancel();
}

template <typename Predicate>
bool SseReader::wait(Predicate done)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, readWithin, done);
}

bool SseReader::waitForTokens(std::size_t count)
{
    return wait([&] {
        return static_cast<std::size_t>(std::count(m_text.begin(), m_text.end(), ' ')) >= count;
    });
}

bool SseReader::waitForEnd()
{
    return wait([&] { return m_result.has_value(); });
}

int SseReader::status()
{
    const std::lock_guard lock(m_mutex);
    return m_status;
}

std::string SseReader::text()
{
    const std::lock_guard lock(m_mutex);
    return m_text;
}

std::string SseReader::lastId()
{
    const std::lock_guard lock(m_mutex);
    return m_lastId;
}

std::string SseReader::error()
{
    const std::lock_guard lock(m_mutex);
    return m_error;
}

std::string SseReader::finishReason()
{
    const std::lock_guard lock(m_mutex);
    return m_finishReason;
}

bool SseReader::isDone()
{
    const std::lock_guard lock(m_mutex);
    return m_done;
}

bool SseReader::isClosed()
{
    const std::lock_guard lock(m_mutex);
    return m_result.has_value();
}

bool SseReader::wasCut()
{
    const std::lock_guard lock(m_mutex);
    return m_result && !m_result->isOk();
}

std::string SseReader::raw()
{
    const std::lock_guard lock(m_mutex);
    return m_raw;
}

} // namespace foxtailring::test
