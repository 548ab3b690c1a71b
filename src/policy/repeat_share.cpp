#include "policy/repeat_share.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dandelionridge::policy {

namespace {

constexpr double memory_s = 5.0;
// Reports that are older say nothing of the present.
constexpr base::duration report_life = base::seconds(2);
// Runs in all reports below which they say too little.
constexpr double least_runs = 10;
constexpr double most_multiple = 4;

}  // namespace

run_counts faded_counts(const run_counts& counts, base::instant now) {
    const std::chrono::duration<double> age = now - counts.noted_at_;
    const double kept = std::exp(-std::max(0.0, age.count()) / memory_s);
    return {counts.runs_ * kept, counts.repeats_ * kept, now};
}

void note_run_began(run_counts& counts, bool repeat, base::instant now) {
    counts = faded_counts(counts, now);
    counts.runs_ += 1;
    counts.repeats_ += repeat ? 1 : 0;
}

void note_counts(repeat_reports& reports, const std::string& target, const run_counts& counts) {
    reports.by_target_[target] = counts;
}

double budget_multiple(const repeat_reports& reports, double ratio, base::instant now) {
    double runs = 0;
    double repeats = 0;
    for (const auto& [target, counts] : reports.by_target_) {
        if (now - counts.noted_at_ <= report_life) {
            runs += counts.runs_;
            repeats += counts.repeats_;
        }
    }
    const double firsts = runs - repeats;
    if (runs < least_runs || firsts <= 0 || ratio <= 0) {
        return 1;
    }
    const double used = repeats / firsts / ratio;
    return std::clamp(most_multiple * (1 - used), 1.0, most_multiple);
}

}  // namespace dandelionridge::policy
