// Decides which requests a process still accepts during a planned stop.
//
// Pattern: graceful drain with admission by expected run time. What is accepted must end before the
// process does; what cannot is refused at once, while the caller can still use another host.
#pragma once

#include "base/clock.h"

namespace dandelionridge::policy {

// Times of a planned stop, counted from its beginning.
struct drain_times {
    // From here on no request is accepted, whatever its run takes.
    base::duration accept_until_{};
    // The same for nested requests, which runs on this host make.
    base::duration accept_nested_until_{};
    // Targets must end by then the runs that are accepted during the stop, so that their own
    // responses still reach the callers.
    base::duration runs_end_by_{};
    // Requests that are still open get a final response.
    base::duration respond_by_{};
    // The process ends, even if requests are open.
    base::duration exit_by_{};
};

// A planned stop in progress.
struct planned_stop {
    drain_times times_;
    base::instant started_at_{};
};

// Returns the times of a planned stop after which the process is killed at `bound`.
drain_times drain_times_for(base::duration bound);

// Returns true if a request that arrives `elapsed` after the beginning of the stop is accepted.
// `run_duration` is the expected duration of its run; zero if unknown.
bool accepts_while_draining(const drain_times& times, base::duration elapsed,
                            base::duration run_duration, bool nested);

// Returns true if a run of the expected duration, zero if unknown, that begins `now` at the target
// of a stopping process will probably end before its deadline.
bool run_ends_in_time(const planned_stop& stop, base::duration run_duration, base::instant now);

// Returns the time by which a target must have ended a run that begins during the stop.
base::instant run_deadline(const planned_stop& stop);

// Returns how long a stopping process goes on listening if nothing is in flight: `min_listening`,
// unless the stop is too short for that.
base::duration listening_time(const drain_times& times, base::duration min_listening);

}  // namespace dandelionridge::policy
