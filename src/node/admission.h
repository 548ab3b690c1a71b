// Whether a guard may take an attempt: its target, the target's slots, and the last check of the
// request's key before a slot is used.
#pragma once

#include <optional>
#include <string>

#include "base/clock.h"
#include "config/host_list.h"
#include "config/rules.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

// What a guard knows when it decides.
struct admission_view {
    const config::rule_set& rules_;
    const config::host_list& hosts_;
    const std::string& host_;
    // Age of the newest evidence that the rules are current, and its bound.
    base::duration freshness_age_{};
    base::duration freshness_bound_{};
};

// The target that an attempt names, if it is on this host.
const config::target_entry* find_target(const admission_view& view,
                                        const wire::attempt_begin& begin);

// Slots of a target of this host; one if it is unknown.
int slots_of_target(const admission_view& view, const std::string& target);

// Why the key of an attempt must not be honoured now, if so. An attempt without a key passes.
std::optional<wire::refusal_reason> check_key(const admission_view& view,
                                              const wire::attempt_begin& begin);

}  // namespace dandelionridge::node
