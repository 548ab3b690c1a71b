// Estimates how long runs take on a target, from runs that have ended and runs in progress.
#pragma once

#include <array>
#include <cstddef>
#include <span>

#include "base/clock.h"

namespace dandelionridge::policy {

// Runs are estimated by kind, since runs of one kind take about equally long.
enum class run_kind { nested, idempotent, non_idempotent, download };
inline constexpr std::size_t run_kind_count = 4;

// Returns the kind of a run. A nested request is of the kind nested whatever else it is, and any
// other download is of the kind download, idempotent or not.
run_kind run_kind_of(bool nested, bool download, bool idempotent);

// Moving averages of run durations.
struct run_estimates {
    // By kind; zero while no run of that kind has ended.
    std::array<base::duration, run_kind_count> by_kind_{};
    // Over all kinds; zero while no run has ended.
    base::duration overall_{};
};

// Records a run that has ended.
void record_run(run_estimates& estimates, run_kind kind, base::duration elapsed);

// Returns the expected duration of a run, or `fallback` while no run of that kind has ended.
base::duration expected_run_duration(const run_estimates& estimates, run_kind kind,
                                     base::duration fallback);

// Returns the time after which a run is overdue: `factor` times the expected duration, but no less
// than what a busy host alone can cause.
base::duration overdue_run_time(base::duration expected, int factor);

// Returns the present mean duration of a run over all kinds, in which runs in progress that already
// last more than twice the mean count with their ages. Zero while no run has ended.
base::duration current_run_duration(const run_estimates& estimates,
                                    std::span<const base::duration> ages);

// Returns the present durations of runs by kind: the averages, scaled so that the mean over all
// kinds is `present`.
std::array<base::duration, run_kind_count> current_run_durations(const run_estimates& estimates,
                                                                 base::duration present);

}  // namespace dandelionridge::policy
