// Finds a caller's key in a request and removes it before the request is forwarded to a target.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "net/http_types.h"

namespace dandelionridge::filter {

// Returns the key that a request presents, or nullopt if there is none. Looks at Authorization
// (Bearer, or Basic with the key as password), X-Api-Key, the query parameter api_key and the
// cookie api_key, in this order.
std::optional<std::string> presented_key(const net::http_request& request);

// Removes all credential headers, and every header and query parameter that contains the key,
// plain, percent-encoded or in Base64. Returns false if the path or the host contains the key.
bool strip_key(net::http_request& request, std::string_view key);

// Removes the header that presents the key, and headers that contain a plain copy of it.
void strip_header_key(net::http_request& request, std::string_view name, std::string_view key);

// Returns true if the text contains the key, plain, percent-encoded or in Base64.
bool contains_key(std::string_view text, std::string_view key);

}  // namespace dandelionridge::filter
