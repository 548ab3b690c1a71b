// Formats HTTP/1.1 messages.
#pragma once

#include <string>
#include <string_view>

#include "net/http_types.h"

namespace dandelionridge::net {

// Ends a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

// Returns true if a comma-separated header value contains the token, ignoring case.
bool has_token(std::string_view value, std::string_view token);

// Returns true for headers that concern one connection only. The name must be in lower case.
bool is_hop_by_hop_header(std::string_view name);

// Returns the head of a response. Framing and hop-by-hop headers in `response` are left out: this
// function adds those that apply. `close` adds `connection: close`. `chunked` is ignored if the
// response has a length.
std::string response_head_text(const http_response& response, bool close, bool chunked = false);

// Returns the head of a request for a persistent connection. Framing and hop-by-hop headers are
// replaced as in response_head_text().
std::string request_head_text(const http_request& request);

// Returns one chunk of a chunked body. `bytes` must not be empty: an empty chunk ends the body.
std::string chunk_text(std::string_view bytes);

}  // namespace dandelionridge::net
