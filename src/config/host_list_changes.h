// What changed between two host lists, for the log.
#pragma once

#include <string>
#include <vector>

#include "config/host_list.h"

namespace dandelionridge::config {

// Names of targets, each list sorted. A target is available if it is listed and its host is not
// leaving.
struct host_list_changes {
    // Available now, and not listed before.
    std::vector<std::string> added_;
    // Available now, and on a leaving host before.
    std::vector<std::string> returned_;
    // On a leaving host now, and not listed or available before.
    std::vector<std::string> leaving_;
    // No longer listed.
    std::vector<std::string> removed_;
};

host_list_changes changes_between(const host_list& before, const host_list& after);

// Returns true if no target was added, removed or changed between available and leaving.
bool is_empty(const host_list_changes& changes);

}  // namespace dandelionridge::config
