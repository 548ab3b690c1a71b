// How a node stops on request: what is in flight is completed, and nothing is begun that cannot
// end.
#include <algorithm>

#include "node/node.h"

namespace dandelionridge::node {

namespace {

constexpr base::duration drain_check_interval = base::milliseconds(50);
// The process ends after more than this many consecutive checks that found nothing in flight.
constexpr int flush_checks = 2;

}  // namespace

void node::stop() {
    loop_->post([this] { begin_drain(); });
}

void node::begin_drain() {
    if (draining_) {
        return;
    }
    draining_ = true;
    stop_ = {policy::drain_times_for(settings_.drain_bound_), clock_.now()};
    record("draining", {{"calls", std::to_string(caller_proxy_->open_calls())},
                        {"attempts", std::to_string(target_proxy_->open_attempts())}});
    target_proxy_->drain(stop_);
    caller_proxy_->drain(stop_);
    check_drained();
}

// Ends the process once nothing is in flight or its time is over. Keeps listening for a while, so
// that callers learn that they should use another host.
void node::check_drained() {
    const base::duration elapsed = clock_.now() - stop_.started_at_;
    const bool no_runs = target_proxy_->open_attempts() == 0;
    const bool idle = no_runs && caller_proxy_->open_calls() == 0 && target_proxy_->all_delivered();
    // The operating system may still hold bytes of responses that have just ended.
    idle_checks_ = idle ? idle_checks_ + 1 : 0;
    const base::duration min_listening = policy::listening_time(
        stop_.times_, std::max(settings_.drain_idle_, environment_.readiness_lag_));
    // Runs on this host send their nested requests on new connections. Open calls do not: callers
    // that come without a break would keep a host that waits for their end from stopping.
    const bool stops_listening = elapsed >= min_listening && no_runs && caller_proxy_->listening();
    if (stops_listening || elapsed >= stop_.times_.accept_nested_until_) {
        target_proxy_->close();
    }
    if (stops_listening) {
        // The operating system refuses new connections from now on; requests on open connections
        // are still served.
        caller_proxy_->stop_listening();
        idle_checks_ = 0;
    }
    const bool finished = (!caller_proxy_->listening() && idle_checks_ > flush_checks) ||
                          elapsed >= stop_.times_.exit_by_;
    if (elapsed >= stop_.times_.respond_by_) {
        caller_proxy_->finish_all_calls();
    }
    if (!finished) {
        drain_timer_->start(drain_check_interval, [this] { check_drained(); });
        return;
    }
    caller_proxy_->close_idle_callers();
    target_proxy_->record_cut_runs();
    const target_proxy_counters& counters = target_proxy_->counters();
    record("drained", {{"calls", std::to_string(caller_proxy_->open_calls())},
                       {"attempts", std::to_string(target_proxy_->open_attempts())},
                       {"taken", std::to_string(counters.taken_while_stopping_)},
                       {"busy", std::to_string(counters.busy_while_stopping_)},
                       {"refused", std::to_string(counters.refused_while_stopping_)},
                       {"ms", std::to_string(base::whole_ms(elapsed))}});
    loop_->stop();
}

}  // namespace dandelionridge::node
