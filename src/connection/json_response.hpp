#pragma once

#include <nlohmann/json.hpp>

#include "connection/http_message.hpp"

namespace jacinthvane {

inline http_response make_json_response(int status, const nlohmann::json& body) {
    http_response response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = body.dump();
    return response;
}

}  // namespace jacinthvane
