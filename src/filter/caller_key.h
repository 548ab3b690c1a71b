// Finds and removes a caller's key in what would be passed on to a target.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "net/http_types.h"

namespace dandelionridge::filter {

// The key that a request presents: Authorization (Bearer, or Basic with the key as password),
// X-Api-Key, the query parameter api_key, or the cookie api_key, in this order.
std::optional<std::string> presented_key(const net::http_request& request);

// Removes credentials and every copy of the key: headers that hold it, query parameters that hold
// it, also percent-encoded or in Base64. False if the path itself holds it.
bool strip_key(net::http_request& request, std::string_view key);

// Removes the header that presents the key, and headers that hold a plain copy of it.
void strip_header_key(net::http_request& request, std::string_view name, std::string_view key);

// True if the text holds the key, plain, percent-encoded or in Base64.
bool holds_key(std::string_view text, std::string_view key);

}  // namespace dandelionridge::filter
