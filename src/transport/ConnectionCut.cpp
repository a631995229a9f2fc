#include "foxtailring/transport/ConnectionCut.h"

namespace foxtailring {

std::string_view connectionCutCauseName(ConnectionCut::Cause cause)
{
    switch (cause) {
    case ConnectionCut::Cause::IdleTimeout:
        return "idleTimeout";
    case ConnectionCut::Cause::HeaderTimeout:
        return "headerTimeout";
    case ConnectionCut::Cause::BodyTimeout:
        return "bodyTimeout";
    case ConnectionCut::Cause::Stop:
        return "stop";
    case ConnectionCut::Cause::CallerClosed:
        return "callerClosed";
    case ConnectionCut::Cause::Closing:
        return "closing";
    }
    return "";
}

std::string_view connectionCutPhaseName(ConnectionCut::Phase phase)
{
    switch (phase) {
    case ConnectionCut::Phase::Head:
        return "head";
    case ConnectionCut::Phase::Body:
        return "body";
    case ConnectionCut::Phase::Response:
        return "response";
    case ConnectionCut::Phase::Closing:
        return "closing";
    case ConnectionCut::Phase::Refused:
        return "refused";
    case ConnectionCut::Phase::Unread:
        return "unread";
    case ConnectionCut::Phase::Discarded:
        return "discarded";
    }
    return "";
}

} // namespace foxtailring
