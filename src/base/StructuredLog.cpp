#include "foxtailring/base/StructuredLog.h"

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/LogRateLimiter.h"
#include "LineWriter.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <unistd.h>

namespace foxtailring {

namespace {

struct Identity
{
    std::string program;
    std::string nodeId;
};

Identity &identity()
{
    static Identity value;
    return value;
}

// Passes finished lines on to standard output.
class LineAppender : public log4cplus::Appender
{
public:
    ~LineAppender() override { destructorImpl(); }
    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        m_writer.write(event.getMessage());
        if (const auto dropped = m_writer.takeDroppedCount())
            m_writer.write(R"({"event":"logDropped","lines":")" + std::to_string(dropped) + "\"}");
    }

private:
    LineWriter m_writer {STDOUT_FILENO};
};

struct Budget
{
    std::mutex mutex;
    LogRateLimiter lines;
};

Budget &budget()
{
    static Budget value;
    return value;
}

std::string timeText()
{
    timespec now {};
    clock_gettime(CLOCK_REALTIME, &now);
    tm utc {};
    gmtime_r(&now.tv_sec, &utc);
    char seconds[32];
    std::strftime(seconds, sizeof seconds, "%Y-%m-%dT%H:%M:%S", &utc);
    char text[48];
    std::snprintf(text, sizeof text, "%s.%03ldZ", seconds, now.tv_nsec / 1'000'000);
    return text;
}

std::string line(std::string_view level, std::string_view event, StructuredLog::Fields fields,
                 std::uint64_t omitted)
{
    nlohmann::ordered_json json;
    json["time"] = timeText();
    json["level"] = level;
    json["event"] = event;
    json["program"] = identity().program;
    json["node"] = identity().nodeId;
    for (const auto &[key, value] : fields)
        json[std::string(key)] = value;
    if (omitted > 0)
        json["omittedBefore"] = omitted;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("foxtailring"));
}

// None when the event has used up its lines.
std::optional<std::uint64_t> admit(std::string_view event)
{
    static const Clock clock = steadyClock();
    const std::lock_guard lock(budget().mutex);
    if (!budget().lines.tryAcquire(event, clock()))
        return std::nullopt;
    return budget().lines.takeOmittedCount(event);
}

} // namespace

void StructuredLog::configure(std::string_view program, std::string_view nodeId)
{
    static log4cplus::Initializer initializer;
    identity() = Identity {std::string(program), std::string(nodeId)};
    logger().removeAllAppenders();
    logger().addAppender(log4cplus::SharedAppenderPtr(new LineAppender));
    logger().setAdditivity(false);
    logger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void StructuredLog::info(std::string_view event, Fields fields)
{
    if (const auto omitted = admit(event))
        LOG4CPLUS_INFO(logger(), line("info", event, fields, *omitted));
}

void StructuredLog::warn(std::string_view event, Fields fields)
{
    if (const auto omitted = admit(event))
        LOG4CPLUS_WARN(logger(), line("warn", event, fields, *omitted));
}

} // namespace foxtailring
