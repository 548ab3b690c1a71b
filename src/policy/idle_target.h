// When a target should be asked for, because nobody has found out lately how it is.
//
// Pattern: active recovery check by real traffic. A target that no entry chooses may have recovered
// unnoticed, or fail unnoticed; single idempotent requests show which.
#pragma once

#include "base/clock.h"

namespace dandelionridge::policy {

struct idle_target {
    // When a run began last.
    base::instant last_run_at_{};
    // When entries were asked for a request last.
    base::instant requested_at_{};
};

// True if entries should be asked now for an idempotent request. A run that is stuck does not make
// a target busy: only a free slot counts.
bool needs_probe(const idle_target& target, int free_slots, base::instant now);

}  // namespace dandelionridge::policy
