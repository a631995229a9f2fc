#pragma once

#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/HttpRequest.h"

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

/// \brief One completion request as the engine received it.
struct TestCompletion
{
    foxtailring::HttpRequest request;
    nlohmann::json body;
    std::shared_ptr<foxtailring::Http1Responder> responder;

    void sendToken(std::int64_t id, const std::string &text) const;
    void sendFinish(const std::string &reason) const;
};
