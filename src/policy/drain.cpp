#include "policy/drain.h"

#include <algorithm>

namespace dandelionridge::policy {

namespace {

// Shares of the time until the process is killed. The rest after `exit_share` is for a process that
// gets the processor late.
constexpr double accept_share = 0.5;
constexpr double accept_nested_share = 0.75;
constexpr double run_end_share = 0.84;
constexpr double respond_share = 0.88;
constexpr double exit_share = 0.93;

// Within this share of the time, requests are accepted regardless of their expected run: a caller
// cannot know yet that it should use another host.
constexpr double always_accept_share = 0.3;

// A run is given this multiple of its expected duration, which few runs exceed.
constexpr int run_duration_factor = 4;

base::duration share_of(base::duration value, double share) {
    return std::chrono::duration_cast<base::duration>(value * share);
}

}  // namespace

drain_times drain_times_for(base::duration bound) {
    return {share_of(bound, accept_share), share_of(bound, accept_nested_share),
            share_of(bound, run_end_share), share_of(bound, respond_share),
            share_of(bound, exit_share)};
}

bool accepts_while_draining(const drain_times& times, base::duration elapsed,
                            base::duration run_duration, bool nested) {
    const base::duration latest = nested ? times.accept_nested_until_ : times.accept_until_;
    const base::duration earliest =
        share_of(latest, always_accept_share / (nested ? accept_nested_share : accept_share));
    const base::duration by_run = times.runs_end_by_ - run_duration_factor * run_duration;
    return elapsed < std::clamp(by_run, earliest, latest);
}

bool run_ends_in_time(const planned_stop& stop, base::duration run_duration, base::instant now) {
    return now + run_duration_factor * run_duration < run_deadline(stop);
}

base::instant run_deadline(const planned_stop& stop) {
    return stop.started_at_ + stop.times_.runs_end_by_;
}

base::duration listening_time(const drain_times& times, base::duration min_listening) {
    return std::min(min_listening, times.accept_until_);
}

}  // namespace dandelionridge::policy
