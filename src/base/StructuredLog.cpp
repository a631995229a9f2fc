#include "foxtailring/base/StructuredLog.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>
#include <nlohmann/json.hpp>

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

std::string line(std::string_view event, StructuredLog::Fields fields)
{
    nlohmann::ordered_json json;
    json["event"] = event;
    json["program"] = identity().program;
    json["node"] = identity().nodeId;
    for (const auto &[key, value] : fields)
        json[std::string(key)] = value;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("foxtailring"));
}

} // namespace

void StructuredLog::configure(std::string_view program, std::string_view nodeId)
{
    static log4cplus::Initializer initializer;
    identity() = Identity {std::string(program), std::string(nodeId)};
    constexpr bool toStandardError = true;
    constexpr bool flushEachLine = true;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(toStandardError, flushEachLine));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q}Z %p %m%n")));
    logger().removeAllAppenders();
    logger().addAppender(appender);
    logger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void StructuredLog::info(std::string_view event, Fields fields)
{
    LOG4CPLUS_INFO(logger(), line(event, fields));
}

void StructuredLog::warn(std::string_view event, Fields fields)
{
    LOG4CPLUS_WARN(logger(), line(event, fields));
}

} // namespace foxtailring
