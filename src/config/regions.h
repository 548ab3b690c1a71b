// The regions in which a request may be served.
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "config/rules.h"

namespace dandelionridge::config {

// The restrictions that apply to a request; null without one. Valid as long as the rules.
struct region_limits {
    const allowed_regions* route_ = nullptr;
    const allowed_regions* organisation_ = nullptr;
};

// Returns the region of a zone, or the zone itself if no rule names it.
std::string region_of(const rule_set& rules, const std::string& zone);

// Returns the restrictions on a request; `route` may be null, and an unknown organisation has none.
region_limits region_limits_of(const rule_set& rules, const route_rule* route,
                               const std::string& organisation);

// Returns true if all restrictions allow the region.
bool allows(const region_limits& limits, std::string_view region);

// Returns the allowed regions that no zone is in. They allow nothing.
std::set<std::string> unknown_regions(const rule_set& rules);

}  // namespace dandelionridge::config
