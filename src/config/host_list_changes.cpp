#include "config/host_list_changes.h"

#include <map>

namespace dandelionridge::config {

namespace {

// Returns whether each listed target is leaving, by the target's name.
std::map<std::string, bool> leaving_by_target(const host_list& hosts) {
    std::map<std::string, bool> leaving;
    for (const host_entry& host : hosts.hosts_) {
        for (const target_entry& target : host.targets_) {
            leaving[target.name_] = host.leaving_;
        }
    }
    return leaving;
}

}  // namespace

host_list_changes changes_between(const host_list& before, const host_list& after) {
    host_list_changes changes;
    const std::map<std::string, bool> old_targets = leaving_by_target(before);
    const std::map<std::string, bool> new_targets = leaving_by_target(after);
    for (const auto& [name, leaving] : new_targets) {
        const auto old_target = old_targets.find(name);
        const bool listed_before = old_target != old_targets.end();
        if (leaving && (!listed_before || !old_target->second)) {
            changes.leaving_.push_back(name);
        } else if (!leaving && !listed_before) {
            changes.added_.push_back(name);
        } else if (!leaving && old_target->second) {
            changes.returned_.push_back(name);
        }
    }
    for (const auto& [name, leaving] : old_targets) {
        if (!new_targets.contains(name)) {
            changes.removed_.push_back(name);
        }
    }
    return changes;
}

bool is_empty(const host_list_changes& changes) {
    return changes.added_.empty() && changes.returned_.empty() && changes.leaving_.empty() &&
           changes.removed_.empty();
}

}  // namespace dandelionridge::config
