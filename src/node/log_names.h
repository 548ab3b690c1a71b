// Lists of names in events.
#pragma once

#include <algorithm>
#include <span>
#include <string>

namespace dandelionridge::node {

// Maximum number of names in one list of an event.
inline constexpr std::size_t max_logged_names = 16;

// Joins names for the log: at most max_logged_names, and the number of the others.
inline std::string join_names(std::span<const std::string> names) {
    std::string joined;
    for (const std::string& name : names.first(std::min(names.size(), max_logged_names))) {
        joined += joined.empty() ? name : "," + name;
    }
    if (names.size() > max_logged_names) {
        joined += ",+" + std::to_string(names.size() - max_logged_names);
    }
    return joined;
}

}  // namespace dandelionridge::node
