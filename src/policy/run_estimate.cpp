#include "policy/run_estimate.h"

#include <algorithm>

namespace dandelionridge::policy {

namespace {

// Weight of the newest run: one in this many.
constexpr int memory = 6;

void average(base::duration& mean, base::duration value) {
    mean = mean == base::duration::zero() ? value : mean + (value - mean) / memory;
}

}  // namespace

run_kind run_kind_of(bool nested, bool download, bool idempotent) {
    if (nested) {
        return run_kind::nested;
    }
    if (download) {
        return run_kind::download;
    }
    return idempotent ? run_kind::idempotent : run_kind::non_idempotent;
}

void note_run(run_estimates& runs, run_kind kind, base::duration took) {
    average(runs.by_kind_[static_cast<std::size_t>(kind)], took);
    average(runs.all_, took);
}

base::duration expected_run(const run_estimates& runs, run_kind kind, base::duration fallback) {
    const base::duration known = runs.by_kind_[static_cast<std::size_t>(kind)];
    return known == base::duration::zero() ? fallback : known;
}

base::duration present_run(const run_estimates& runs, std::span<const base::duration> ages) {
    if (runs.all_ == base::duration::zero()) {
        return runs.all_;
    }
    base::duration sum = runs.all_ * memory;
    int count = memory;
    for (const base::duration age : ages) {
        if (age > 2 * runs.all_) {
            sum += age;
            ++count;
        }
    }
    return sum / count;
}

std::array<base::duration, run_kinds> present_runs(const run_estimates& runs,
                                                   base::duration present) {
    std::array<base::duration, run_kinds> by_kind = runs.by_kind_;
    if (runs.all_ == base::duration::zero()) {
        return by_kind;
    }
    const double factor = std::chrono::duration<double>(present) / runs.all_;
    for (base::duration& run : by_kind) {
        run = std::chrono::duration_cast<base::duration>(run * factor);
    }
    return by_kind;
}

}  // namespace dandelionridge::policy
