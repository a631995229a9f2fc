#pragma once

#include "foxtailring/sidecar/SidecarContext.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace foxtailring {

class Http2Stream;
class MessageStream;
struct Frame;
struct LoadReport;

/// \brief Serves `/node/reports`. Thread-safe.
class ReportService : public std::enable_shared_from_this<ReportService>
{
public:
    explicit ReportService(const SidecarContext &context);
    ~ReportService();
    ReportService(const ReportService &) = delete;
    ReportService &operator=(const ReportService &) = delete;

    void open(const std::shared_ptr<Http2Stream> &stream);
    /// \brief Sends a report to every watcher at once.
    void sendToAll();
    void stop();

private:
    struct Watcher;

    void takeFrame(const std::shared_ptr<MessageStream> &stream, const Frame &frame);
    void send(MessageStream &stream);
    LoadReport report();

    const SidecarContext m_context;
    std::atomic<std::uint64_t> m_sequence = 0;
    std::mutex m_mutex; // guards m_watchers
    std::vector<std::shared_ptr<Watcher>> m_watchers;
};

} // namespace foxtailring
