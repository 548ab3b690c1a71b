// Data types for HTTP requests and responses, without their bodies.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace dandelionridge::net {

// Header that carries the ID of a request, in both directions.
inline constexpr std::string_view request_id_header = "x-request-id";

struct http_header {
    // Lower case, without the colon.
    std::string name_;
    std::string value_;

    bool operator==(const http_header&) const = default;
};

struct http_request {
    std::string method_;
    // Percent-encoded path, then '?' and the percent-encoded query if there is one.
    std::string path_;
    std::string host_;
    std::vector<http_header> headers_;
    // Size of the body in bytes; not set if the request has no body or a chunked one.
    std::optional<std::uint64_t> body_length_;
    bool chunked_ = false;
    // When a server read the request's head.
    base::instant received_at_{};
    // Bytes of the response that a server may buffer until the responses before it are sent; not
    // set for the first request of a connection.
    std::optional<std::size_t> response_buffer_bytes_{};
};

struct http_response {
    int status_ = 0;
    std::vector<http_header> headers_;
    // Size of the body in bytes; not set if only chunks or the end of the connection mark its end.
    std::optional<std::uint64_t> length_;
};

// Returns the value of the first header with this name, or null. The name must be in lower case.
const std::string* find_header(const std::vector<http_header>& headers, std::string_view name);

// Returns true if a response to this method with this status never has a body.
bool response_has_no_body(std::string_view method, int status);

}  // namespace dandelionridge::net
