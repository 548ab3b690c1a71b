// What a process knows of targets better than a platform that has come back from a copy.
//
// Targets stamp their entries: a later stamp comes from a later write. A list from a copy may show
// a target as it was before, or bring back one that has left. Until the target has written again,
// the state that is known stays in use.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "config/host_list.h"

namespace dandelionridge::control {

// Order of the entries that a target has written.
struct entry_stamp {
    std::int64_t started_ms_ = 0;
    std::int64_t sequence_ = 0;

    auto operator<=>(const entry_stamp&) const = default;
};

// The targets that were removed last, with the last stamp of each.
struct removed_targets {
    std::map<std::string, entry_stamp, std::less<>> stamps_;
    // Names in the order of their removal; may hold names that are listed again.
    std::deque<std::string> order_;
};

// Records which targets are no longer in use, and forgets those that are again.
void record_removals(removed_targets& removed, const config::host_list& before,
                     const config::host_list& after);

// Returns the names of the listed targets whose entries are older than those known: targets in use
// with a later stamp, and removed ones that have not written since.
std::set<std::string> find_outdated(const config::host_list& listed,
                                    const config::host_list& in_use,
                                    const removed_targets& removed);

// Returns the listed hosts, but the outdated targets with the state in which they are in use, or
// not at all if they are not, and the missing ones as they are in use if their host is not listed,
// or is listed with a target that was started earlier.
config::hosts_ptr keep_in_use(const config::hosts_ptr& listed, const config::host_list& in_use,
                              const std::set<std::string>& outdated,
                              const std::set<std::string>& missing);

}  // namespace dandelionridge::control
