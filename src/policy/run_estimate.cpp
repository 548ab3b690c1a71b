#include "policy/run_estimate.h"

#include <algorithm>

namespace dandelionridge::policy {

namespace {

// The newest run has a weight of one in this many in the moving average.
constexpr int averaging_runs = 6;

// Shorter delays of a run are due to chance: a busy host alone can cause them.
constexpr base::duration min_overdue_delay = base::milliseconds(200);

void update_average(base::duration& mean, base::duration value) {
    mean = mean == base::duration::zero() ? value : mean + (value - mean) / averaging_runs;
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

void record_run(run_estimates& estimates, run_kind kind, base::duration elapsed) {
    update_average(estimates.by_kind_[static_cast<std::size_t>(kind)], elapsed);
    update_average(estimates.overall_, elapsed);
}

base::duration expected_run_duration(const run_estimates& estimates, run_kind kind,
                                     base::duration fallback) {
    const base::duration known = estimates.by_kind_[static_cast<std::size_t>(kind)];
    return known == base::duration::zero() ? fallback : known;
}

base::duration overdue_run_time(base::duration expected, int factor) {
    return std::max<base::duration>(factor * expected, min_overdue_delay);
}

base::duration current_run_duration(const run_estimates& estimates,
                                    std::span<const base::duration> ages) {
    if (estimates.overall_ == base::duration::zero()) {
        return estimates.overall_;
    }
    base::duration sum = estimates.overall_ * averaging_runs;
    int count = averaging_runs;
    for (const base::duration age : ages) {
        if (age > 2 * estimates.overall_) {
            sum += age;
            ++count;
        }
    }
    return sum / count;
}

std::array<base::duration, run_kind_count> current_run_durations(const run_estimates& estimates,
                                                                 base::duration present) {
    std::array<base::duration, run_kind_count> by_kind = estimates.by_kind_;
    if (estimates.overall_ == base::duration::zero()) {
        return by_kind;
    }
    const double factor = std::chrono::duration<double>(present) / estimates.overall_;
    for (base::duration& run : by_kind) {
        run = std::chrono::duration_cast<base::duration>(run * factor);
    }
    return by_kind;
}

}  // namespace dandelionridge::policy
