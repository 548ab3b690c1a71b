#include "node/admission.h"

#include <algorithm>

namespace dandelionridge::node {

const config::target_entry* find_target(const admission_view& view,
                                        const wire::attempt_begin& begin) {
    const config::host_entry* own = config::find_host(view.hosts_, view.host_);
    if (own == nullptr) {
        return nullptr;
    }
    const auto found = std::find_if(
        own->targets_.begin(), own->targets_.end(), [&](const config::target_entry& target) {
            return target.name_ == begin.target_name && target.service_ == begin.service_name;
        });
    return found == own->targets_.end() ? nullptr : &*found;
}

int slots_of_target(const admission_view& view, const std::string& target) {
    const config::host_entry* own = config::find_host(view.hosts_, view.host_);
    if (own == nullptr) {
        return 1;
    }
    for (const config::target_entry& entry : own->targets_) {
        const auto service = view.rules_.services_.find(entry.service_);
        if (entry.name_ == target && service != view.rules_.services_.end()) {
            return config::slots_of(view.rules_, service->second, target);
        }
    }
    return 1;
}

std::optional<wire::refusal_reason> check_key(const admission_view& view,
                                              const wire::attempt_begin& begin) {
    if (begin.key_id.empty()) {
        return std::nullopt;
    }
    if (view.freshness_age_ > view.freshness_bound_) {
        return wire::refusal_reason::configuration_stale;
    }
    if (config::key_in_force(view.rules_, begin.key_id, begin.organisation)) {
        return std::nullopt;
    }
    return begin.rules_version > view.rules_.version_ ? wire::refusal_reason::configuration_lag
                                                      : wire::refusal_reason::key_withdrawn;
}

}  // namespace dandelionridge::node
