// Standard Base64 with padding.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace dandelionridge::base {

std::string base64_encode(std::string_view bytes);

// Returns the decoded bytes, or nothing if the text is not valid Base64.
std::optional<std::string> base64_decode(std::string_view text);

}  // namespace dandelionridge::base
