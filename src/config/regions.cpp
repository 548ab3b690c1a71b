#include "config/regions.h"

#include <algorithm>

namespace dandelionridge::config {

namespace {

bool lists(const allowed_regions* allowed, std::string_view region) {
    return allowed == nullptr ||
           std::find(allowed->begin(), allowed->end(), region) != allowed->end();
}

const allowed_regions* restriction(const allowed_regions& allowed) {
    return allowed.empty() ? nullptr : &allowed;
}

}  // namespace

std::string region_of(const rule_set& rules, const std::string& zone) {
    for (const zone_rule& rule : rules.zones_) {
        if (rule.name_ == zone) {
            return rule.region_;
        }
    }
    return zone;
}

region_limits region_limits_of(const rule_set& rules, const route_rule* route,
                               const std::string& organisation) {
    region_limits limits;
    if (route != nullptr) {
        limits.route_ = restriction(route->allowed_regions_);
    }
    const auto found = rules.organisations_.find(organisation);
    if (found != rules.organisations_.end()) {
        limits.organisation_ = restriction(found->second.allowed_regions_);
    }
    return limits;
}

bool allows(const region_limits& limits, std::string_view region) {
    return lists(limits.route_, region) && lists(limits.organisation_, region);
}

std::set<std::string> unknown_regions(const rule_set& rules) {
    std::set<std::string> unknown;
    for (const auto& [match, route] : rules.routes_) {
        unknown.insert(route.allowed_regions_.begin(), route.allowed_regions_.end());
    }
    for (const auto& [name, organisation] : rules.organisations_) {
        unknown.insert(organisation.allowed_regions_.begin(), organisation.allowed_regions_.end());
    }
    for (const zone_rule& zone : rules.zones_) {
        unknown.erase(zone.region_);
    }
    return unknown;
}

}  // namespace dandelionridge::config
