// Whether a guard may take an attempt: its target, the target's slots, and the last check of the
// request's key before a slot is used.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "config/host_list.h"
#include "config/rules.h"
#include "config/settings.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

// What a guard knows when it decides.
struct admission_view {
    const config::rule_set& rules_;
    const config::host_list& hosts_;
    const config::settings& settings_;
    // Age of the newest evidence that the rules are current; zero if it does not matter.
    base::duration freshness_age_{};
    // Names of this host's targets that some list had.
    const std::set<std::string>& previously_listed_;
};

// Takes note of the targets that a list has on this host.
void record_listed(std::set<std::string>& previously_listed, const config::host_list& hosts,
                   const std::string& host);

// A target of this host.
struct local_target {
    base::address address_;
    int slots_ = 1;
    // The list says that it is leaving.
    bool leaving_ = false;
};

// The target that an attempt names, if it is on this host. Where the settings name the host's one
// target, a name that no list had yet is taken for it: the target itself turns away what is meant
// for another. One that the list has no more is leaving.
std::optional<local_target> find_target(const admission_view& view,
                                        const wire::attempt_begin& begin);

// Why the key of an attempt must not be honoured now, if so. An attempt without a key passes.
std::optional<wire::refusal_reason> check_key(const admission_view& view,
                                              const wire::attempt_begin& begin);

}  // namespace dandelionridge::node
