// Writes the text of HTTP/1.1 messages.
#pragma once

#include <string>
#include <string_view>

#include "net/http_types.h"

namespace dandelionridge::net {

inline constexpr std::string_view last_chunk = "0\r\n\r\n";

// True if a comma-separated header value names that token.
bool has_token(std::string_view value, std::string_view token);

// True for headers that concern one connection only.
bool is_hop_by_hop_header(std::string_view name);

// The head of an answer. Headers that frame the body are added; those given are left out.
std::string response_head_text(const http_response& response, bool close, bool chunked = false);

// The head of a request, kept-alive.
std::string request_head_text(const http_request& request);

// One chunk of a chunked body.
std::string chunk_text(std::string_view bytes);

}  // namespace dandelionridge::net
