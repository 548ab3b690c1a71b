// Decides when a target proxy requests a probe for a target that has been idle: an idempotent
// request whose outcome shows the target's health.
//
// Pattern: active recovery check by real traffic. A target that no caller proxy chooses may have
// recovered or begun to fail without anyone noticing. Single idempotent requests show which.
#pragma once

#include "base/clock.h"

namespace dandelionridge::policy {

// When a target was last used and a probe last requested for it.
struct idle_target {
    // Time at which the last run began.
    base::instant last_run_at_{};
    // Time at which a probe was last requested from caller proxies.
    base::instant requested_at_{};
};

// Returns true if a probe should be requested from caller proxies now. A run that hangs does not
// make a target count as busy: it is enough that a slot is free.
bool needs_probe(const idle_target& target, int free_slots, base::instant now);

}  // namespace dandelionridge::policy
