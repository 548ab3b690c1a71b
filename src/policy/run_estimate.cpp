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

void record_run(run_estimates& runs, run_kind kind, base::duration elapsed) {
    average(runs.by_kind_[static_cast<std::size_t>(kind)], elapsed);
    average(runs.overall_, elapsed);
}

base::duration expected_run_duration(const run_estimates& runs, run_kind kind,
                                     base::duration fallback) {
    const base::duration known = runs.by_kind_[static_cast<std::size_t>(kind)];
    return known == base::duration::zero() ? fallback : known;
}

base::duration current_run_duration(const run_estimates& runs,
                                    std::span<const base::duration> ages) {
    if (runs.overall_ == base::duration::zero()) {
        return runs.overall_;
    }
    base::duration sum = runs.overall_ * memory;
    int count = memory;
    for (const base::duration age : ages) {
        if (age > 2 * runs.overall_) {
            sum += age;
            ++count;
        }
    }
    return sum / count;
}

std::array<base::duration, run_kind_count> current_run_durations(const run_estimates& runs,
                                                                 base::duration present) {
    std::array<base::duration, run_kind_count> by_kind = runs.by_kind_;
    if (runs.overall_ == base::duration::zero()) {
        return by_kind;
    }
    const double factor = std::chrono::duration<double>(present) / runs.overall_;
    for (base::duration& run : by_kind) {
        run = std::chrono::duration_cast<base::duration>(run * factor);
    }
    return by_kind;
}

}  // namespace dandelionridge::policy
