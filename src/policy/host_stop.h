// Decides which requests the target beside a stopping process still gets.
//
// Pattern: graceful drain of a sidecar. Only the process beside a target reaches it, and the target
// does not stop with that process. So the process goes on passing requests on while their runs can
// end in time, and caller proxies use such a target when no other has a free slot.
#pragma once

#include "base/clock.h"
#include "policy/drain.h"

namespace dandelionridge::policy {

// What a caller proxy knows of the planned stop of a host.
enum class stop_state {
    none,
    // The host takes attempts whose runs end in time, for callers that find no other free slot.
    stopping,
    // The time that is left is too short for the run of a request that may not be sent again.
    idempotent_only,
    // The host refuses all attempts.
    closed,
};

struct host_stop {
    stop_state state_ = stop_state::none;
    // Time until which the state is valid.
    base::instant valid_until_{};
};

// Time for which a host's announcement that it stops is valid. A host that stops for longer says so
// again when it refuses an attempt.
inline constexpr base::duration stop_notice_validity = base::seconds(10);

// The host of which a stop is reported, as seen by the process that hears of it.
enum class stopping_host {
    other,
    // The host of this process, which does not stop: a refusal there concerns its target only.
    own_running,
    // The host of this process, which does not run again after its own stop.
    own_stopping,
};

// Returns the time until which a report on the stop of a host is valid; `now` if it is not.
base::instant stop_report_end(stopping_host host, base::instant now);

// Returns the state of a host at `now`: none once what is known of it is no longer valid.
stop_state state_of(const host_stop& host, base::instant now);

// Records that a host announced its stop. A host announces it when it begins to stop and once more
// when it takes no further attempts.
void record_stop_notice(host_stop& host, base::instant now, base::instant valid_until);

// Records that a host refused an attempt because it stops. An idempotent one is taken for longer.
void record_stop_refusal(host_stop& host, bool idempotent, base::instant now,
                         base::instant valid_until);

// Returns true if a host in that state takes no attempt of that kind.
bool is_closed_to(stop_state state, bool idempotent);

// Properties of an attempt that decide whether a stopping process takes it.
struct stopping_run {
    // Expected duration of the run; zero if unknown.
    base::duration duration_{};
    // The request may be sent again if the run is cut off.
    bool idempotent_ = false;
};

// Returns true if a stopping process takes an attempt that can begin `now`.
bool takes_run_while_stopping(const planned_stop& stop, const stopping_run& run, base::instant now);

}  // namespace dandelionridge::policy
