// Writes JSON for logs, status pages and response bodies.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace dandelionridge::observe {

// Returns the text of a JSON value. Bytes that are not UTF-8, which callers and platforms may send,
// are replaced. A negative `indent` gives a single line.
std::string json_text(const nlohmann::json& value, int indent = -1);

}  // namespace dandelionridge::observe
