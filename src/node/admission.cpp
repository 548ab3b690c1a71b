#include "node/admission.h"

#include <algorithm>

namespace dandelionridge::node {

namespace {

constexpr std::size_t most_remembered = 1000;

int slots_by_rules(const admission_view& view, const std::string& service,
                   const std::string& target) {
    const auto rule = view.rules_.services_.find(service);
    return rule == view.rules_.services_.end()
               ? 1
               : config::slots_of(view.rules_, rule->second, target);
}

// Slots of any target of the service in the list, for one that the list does not have.
int usual_slots(const admission_view& view, const std::string& service) {
    const auto places = view.hosts_.by_service_.find(service);
    if (places != view.hosts_.by_service_.end()) {
        for (const config::target_index& place : places->second) {
            const int slots = view.hosts_.hosts_[place.host_].targets_[place.target_].slots_;
            if (slots > 0) {
                return slots;
            }
        }
    }
    return slots_by_rules(view, service, "");
}

}  // namespace

void record_listed(std::set<std::string>& previously_listed, const config::host_list& hosts,
                   const std::string& host) {
    const config::host_entry* own = config::find_host(hosts, host);
    if (own == nullptr) {
        return;
    }
    if (previously_listed.size() > most_remembered) {
        previously_listed.clear();
    }
    for (const config::target_entry& target : own->targets_) {
        previously_listed.insert(target.name_);
    }
}

std::optional<local_target> find_target(const admission_view& view,
                                        const wire::attempt_begin& begin) {
    const config::settings& settings = view.settings_;
    if (const config::host_entry* own = config::find_host(view.hosts_, settings.host_)) {
        for (const config::target_entry& target : own->targets_) {
            if (target.name_ == begin.target_name && target.service_ == begin.service_name) {
                const int slots = target.slots_ > 0
                                      ? target.slots_
                                      : slots_by_rules(view, target.service_, target.name_);
                return local_target{target.address_, slots, own->leaving_};
            }
        }
    }
    if (settings.target_address_.port_ != 0 && settings.target_service_ == begin.service_name) {
        const bool gone = view.previously_listed_.contains(begin.target_name);
        return local_target{settings.target_address_, usual_slots(view, begin.service_name), gone};
    }
    return std::nullopt;
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
    // A guard that is behind must not undo what the entry knows; one that cannot become stale by
    // its own rules takes the entry's word.
    if (begin.rules_version > view.rules_.version_) {
        return view.settings_.strict_freshness_
                   ? std::optional(wire::refusal_reason::configuration_lag)
                   : std::nullopt;
    }
    return wire::refusal_reason::key_withdrawn;
}

}  // namespace dandelionridge::node
