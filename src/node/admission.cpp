#include "node/admission.h"

#include <algorithm>

#include "config/regions.h"

namespace dandelionridge::node {

namespace {

// The set of listed names is cleared once it holds more than this, which bounds its size.
constexpr std::size_t max_previously_listed = 1000;

// Returns the slots that the rules give a target; 1 if they do not contain its service.
int slots_by_rules(const admission_view& view, const std::string& service,
                   const std::string& target) {
    const auto rule = view.rules_.services_.find(service);
    return rule == view.rules_.services_.end()
               ? 1
               : config::slots_of(view.rules_, rule->second, target);
}

// Returns the slots to assume for a target that the host list does not contain: those of any listed
// target of its service, or else those that the rules give.
int default_slots(const admission_view& view, const std::string& service) {
    const auto indices = view.hosts_.by_service_.find(service);
    if (indices != view.hosts_.by_service_.end()) {
        for (const config::target_index& index : indices->second) {
            const int slots = view.hosts_.hosts_[index.host_].targets_[index.target_].slots_;
            if (slots > 0) {
                return slots;
            }
        }
    }
    return slots_by_rules(view, service, "");
}

}  // namespace

void record_listed_targets(std::set<std::string>& previously_listed, const config::host_list& hosts,
                           const std::string& host) {
    const config::host_entry* own_host = config::find_host(hosts, host);
    if (own_host == nullptr) {
        return;
    }
    if (previously_listed.size() > max_previously_listed) {
        previously_listed.clear();
    }
    for (const config::target_entry& target : own_host->targets_) {
        previously_listed.insert(target.name_);
    }
}

std::optional<local_target> find_target(const admission_view& view,
                                        const wire::attempt_begin& begin) {
    const config::settings& settings = view.settings_;
    if (const config::host_entry* own_host = config::find_host(view.hosts_, settings.host_)) {
        const config::target_entry* target =
            config::find_target_entry(*own_host, begin.target_name, begin.service_name);
        if (target != nullptr) {
            const int slots = target->slots_ > 0
                                  ? target->slots_
                                  : slots_by_rules(view, target->service_, target->name_);
            const bool departing =
                policy::is_departing(view.departures_, target->name_, target->started_ms_);
            return local_target{target->address_,
                                slots,
                                own_host->leaving_ || departing,
                                target->started_ms_,
                                own_host->zone_,
                                view.hosts_.evacuated_zones_.contains(own_host->zone_),
                                true,
                                target->sequence_,
                                target->warmup_left_};
        }
    }
    if (settings.target_address_.port_ != 0 && settings.target_service_ == begin.service_name) {
        const bool leaving = view.previously_listed_.contains(begin.target_name) ||
                             policy::is_departing(view.departures_, begin.target_name, 0);
        return local_target{settings.target_address_,
                            default_slots(view, begin.service_name),
                            leaving,
                            0,
                            settings.zone_,
                            view.hosts_.evacuated_zones_.contains(settings.zone_)};
    }
    return std::nullopt;
}

bool is_region_allowed(const admission_view& view, const wire::attempt_begin& begin,
                       const std::string& zone) {
    const auto host =
        std::find_if(begin.headers.begin(), begin.headers.end(),
                     [](const wire::header_field& header) { return header.name == "host"; });
    const config::route_rule* route =
        config::find_route(view.rules_, host == begin.headers.end() ? "" : host->value, begin.path);
    return config::allows(config::region_limits_of(view.rules_, route, begin.organisation),
                          config::region_of(view.rules_, zone));
}

std::optional<wire::refusal_reason> check_key(const admission_view& view,
                                              const wire::attempt_begin& begin) {
    if (begin.key_id.empty()) {
        return std::nullopt;
    }
    if (view.freshness_age_ > view.settings_.freshness_bound_) {
        return wire::refusal_reason::configuration_stale;
    }
    if (config::key_in_force(view.rules_, begin.key_id, begin.organisation)) {
        return std::nullopt;
    }
    // The caller proxy has newer rules, which older ones here must not overrule. If freshness is
    // not enforced, this target proxy relies on the check by the caller proxy.
    if (begin.rules_version > view.rules_.version_) {
        return view.settings_.strict_freshness_
                   ? std::optional(wire::refusal_reason::configuration_lag)
                   : std::nullopt;
    }
    return wire::refusal_reason::key_withdrawn;
}

}  // namespace dandelionridge::node
