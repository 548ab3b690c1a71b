#include "observe/json_output.h"

#include <nlohmann/json.hpp>

namespace dandelionridge::observe {

std::string json_text(const nlohmann::json& value, int indent) {
    constexpr bool ascii_only = false;
    return value.dump(indent, ' ', ascii_only, nlohmann::json::error_handler_t::replace);
}

}  // namespace dandelionridge::observe
