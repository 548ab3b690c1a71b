// How long a target takes for a run, from the runs that ended and those that are under way.
#pragma once

#include <array>
#include <cstddef>
#include <span>

#include "base/clock.h"

namespace dandelionridge::policy {

// Runs of one kind are alike.
enum class run_kind { nested, idempotent, non_idempotent, download };
inline constexpr std::size_t run_kind_count = 4;

run_kind run_kind_of(bool nested, bool download, bool idempotent);

struct run_estimates {
    // By kind; zero while no run of that kind has ended.
    std::array<base::duration, run_kind_count> by_kind_{};
    // Over all kinds.
    base::duration overall_{};
};

void record_run(run_estimates& runs, run_kind kind, base::duration elapsed);

// Expected time of a run; `fallback` while nothing is known.
base::duration expected_run_duration(const run_estimates& runs, run_kind kind,
                                     base::duration fallback);

// The present time of a run, in which runs that already last longer than usual count with their
// ages. Zero while nothing is known.
base::duration current_run_duration(const run_estimates& runs,
                                    std::span<const base::duration> ages);

// The present times of runs by kind, where a run of any kind takes `present` in the mean.
std::array<base::duration, run_kind_count> current_run_durations(const run_estimates& runs,
                                                                 base::duration present);

}  // namespace dandelionridge::policy
