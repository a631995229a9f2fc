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

LineWriter &standardOutput()
{
    static LineWriter writer(STDOUT_FILENO);
    return writer;
}

// Writes formatted lines to standard output without blocking.
class LineAppender : public log4cplus::Appender
{
public:
    ~LineAppender() override { destructorImpl(); }
    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        standardOutput().write(event.getMessage());
        if (const auto droppedCount = standardOutput().takeDroppedCount())
            standardOutput().write(R"({"event":"logDropped","lines":")"
                                   + std::to_string(droppedCount) + "\"}");
    }
};

struct SharedRateLimiter
{
    std::mutex mutex;
    LogRateLimiter limiter;
};

SharedRateLimiter &rateLimiter()
{
    static SharedRateLimiter value;
    return value;
}

std::string formatUtcTime()
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

std::string formatLine(std::string_view level, std::string_view event, StructuredLog::Fields fields,
                       std::uint64_t omittedCount)
{
    nlohmann::ordered_json json;
    json["time"] = formatUtcTime();
    json["level"] = level;
    json["event"] = event;
    json["program"] = identity().program;
    json["node"] = identity().nodeId;
    for (const auto &[key, value] : fields)
        json[std::string(key)] = value;
    if (omittedCount > 0)
        json["omittedBefore"] = omittedCount;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("foxtailring"));
}

// Lines of the event omitted before this one; none when this one must be omitted too.
std::optional<std::uint64_t> takeLineToken(std::string_view event)
{
    static const Clock clock = steadyClock();
    const std::lock_guard lock(rateLimiter().mutex);
    if (!rateLimiter().limiter.tryAcquire(event, clock()))
        return std::nullopt;
    return rateLimiter().limiter.takeOmittedCount(event);
}

} // namespace

void StructuredLog::configure(std::string_view program, std::string_view nodeId)
{
    standardOutput(); // constructed first, so that it outlives the logging library
    static log4cplus::Initializer initializer;
    identity() = Identity {std::string(program), std::string(nodeId)};
    logger().removeAllAppenders();
    logger().addAppender(log4cplus::SharedAppenderPtr(new LineAppender));
    logger().setAdditivity(false);
    logger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void StructuredLog::info(std::string_view event, Fields fields)
{
    if (const auto omittedCount = takeLineToken(event))
        LOG4CPLUS_INFO(logger(), formatLine("info", event, fields, *omittedCount));
}

void StructuredLog::warn(std::string_view event, Fields fields)
{
    if (const auto omittedCount = takeLineToken(event))
        LOG4CPLUS_WARN(logger(), formatLine("warn", event, fields, *omittedCount));
}

void StructuredLog::flush(std::chrono::milliseconds timeout)
{
    standardOutput().flush(timeout);
}

} // namespace foxtailring
