#include "policy/host_stop.h"

#include <algorithm>
#include <chrono>

namespace dandelionridge::policy {

namespace {

// A run is given this multiple of its expected duration. It begins at once, so unlike a request
// that a stopping process accepts from a caller it needs no time for waiting and further attempts.
constexpr double run_duration_factor = 2;
// The same for a request that may be sent again, which loses only time if its run is cut off.
constexpr double idempotent_run_duration_factor = 1.5;

}  // namespace

stop_state state_of(const host_stop& host, base::instant now) {
    return now < host.valid_until_ ? host.state_ : stop_state::none;
}

base::instant stop_report_end(stopping_host host, base::instant now) {
    switch (host) {
        case stopping_host::own_running:
            return now;
        case stopping_host::own_stopping:
            return base::instant::max();
        case stopping_host::other:
            break;
    }
    return now + stop_notice_validity;
}

void record_stop_notice(host_stop& host, base::instant now, base::instant valid_until) {
    const bool announced = state_of(host, now) != stop_state::none;
    host = {announced ? stop_state::closed : stop_state::stopping, valid_until};
}

void record_stop_refusal(host_stop& host, bool idempotent, base::instant now,
                         base::instant valid_until) {
    const stop_state refused = idempotent ? stop_state::closed : stop_state::idempotent_only;
    host = {std::max(state_of(host, now), refused), valid_until};
}

bool is_closed_to(stop_state state, bool idempotent) {
    return state == stop_state::closed || (state == stop_state::idempotent_only && !idempotent);
}

bool takes_run_while_stopping(const planned_stop& stop, const stopping_run& run,
                              base::instant now) {
    const double factor = run.idempotent_ ? idempotent_run_duration_factor : run_duration_factor;
    const auto needed = std::chrono::duration_cast<base::duration>(run.duration_ * factor);
    return now < stop.started_at_ + stop.times_.accept_nested_until_ &&
           now + needed <= run_deadline(stop);
}

}  // namespace dandelionridge::policy
