// What the targets that refused a request for overload say of its chances elsewhere.
#pragma once

#include "base/clock.h"

namespace dandelionridge::policy {

// Number of targets that must have refused a request, each because it would have waited for longer
// than its time left, before no further one is asked. Targets are chosen by the shortest expected
// delay, so that others hardly have a shorter queue; one that was stale or atypical does not
// decide.
inline constexpr int min_overloaded_targets = 3;

struct overload_refusals {
    // Refusals by targets whose wait and run would have exceeded the time left.
    int out_of_time_ = 0;
    // Shortest expected time until the end of the run, over all targets that had no free slot.
    base::duration shortest_ = base::duration::max();
};

// Records a refusal by a target that had no free slot and expects the request to wait for `wait`,
// zero if it reported none, and to run for `run`. `queue_full`: the request was ready to wait.
void record_overload(overload_refusals& refusals, bool queue_full, base::duration wait,
                     base::duration run, base::duration time_left);

// Returns true if the request is known not to end in time at any target.
bool is_known_failure(const overload_refusals& refusals, base::duration time_left);

}  // namespace dandelionridge::policy
