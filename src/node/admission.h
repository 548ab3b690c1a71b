// Decides whether the target proxy may take an attempt: finds the target and its slots, and checks
// the request's key a last time before a slot is used.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "config/host_list.h"
#include "config/rules.h"
#include "config/settings.h"
#include "policy/departures.h"
#include "wire/gen/fleet_types.h"

namespace dandelionridge::node {

// The configuration and history that an admission decision is based on.
struct admission_view {
    const config::rule_set& rules_;
    const config::host_list& hosts_;
    const config::settings& settings_;
    // Age of the newest evidence that the rules are current; zero if freshness is not enforced.
    base::duration freshness_age_{};
    // Names of this host's targets that a host list has contained.
    const std::set<std::string>& previously_listed_;
    const policy::departures& departures_;
};

// Adds the names of the targets that a host list contains on this host to `previously_listed`.
void record_listed_targets(std::set<std::string>& previously_listed, const config::host_list& hosts,
                           const std::string& host);

// A target of this host.
struct local_target {
    base::address address_;
    int slots_ = 1;
    // True if the host list marks the host as leaving or no longer contains the target, or if the
    // target reported that it is leaving.
    bool leaving_ = false;
    // Start of the target in milliseconds since 1970; 0 if unknown.
    std::int64_t started_ms_ = 0;
    std::string zone_;
    // The target's zone is evacuated.
    bool evacuated_ = false;
    // The host list contains the target. What follows is set only then.
    bool listed_ = false;
    // As in config::target_entry.
    std::int64_t sequence_ = 0;
    base::duration warmup_left_{};
};

// Returns the target that an attempt names, or nothing if it is not on this host. If the settings
// name the host's only target, a name that no host list has contained yet is taken for that target,
// which itself rejects requests meant for another target. A target that the host list no longer
// contains is returned as leaving.
std::optional<local_target> find_target(const admission_view& view,
                                        const wire::attempt_begin& begin);

// Returns true if the rules of this host, which may be newer than those of the caller proxy, allow
// the attempt's request in the region of a zone.
bool is_region_allowed(const admission_view& view, const wire::attempt_begin& begin,
                       const std::string& zone);

// Returns why the key of an attempt must not be honoured now, or nothing if it may be. An attempt
// without a key is accepted.
std::optional<wire::refusal_reason> check_key(const admission_view& view,
                                              const wire::attempt_begin& begin);

}  // namespace dandelionridge::node
