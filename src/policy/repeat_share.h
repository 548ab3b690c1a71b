// Which part of the runs at a service are repeats, over the whole fleet, as far as an entry can
// tell.
//
// Pattern: a shared retry budget without shared state. Each entry has its part of the budget, and
// most need little of it. Guards count what runs at their targets and say so with their answers;
// while the fleet as a whole repeats little, an entry may use several times its part.
#pragma once

#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace dandelionridge::policy {

// Runs of the last seconds at one target; older ones fade.
struct run_counts {
    double runs_ = 0;
    // Those of them that were sent before, or belong to a run that was.
    double repeats_ = 0;
    base::instant noted_at_{};
};

void note_run_began(run_counts& counts, bool repeat, base::instant now);

// The counts as they have faded until now.
run_counts faded_counts(const run_counts& counts, base::instant now);

// What the guards of one service have told an entry lately, by target.
struct repeat_reports {
    std::unordered_map<std::string, run_counts> by_target_;
};

void note_counts(repeat_reports& reports, const std::string& target, const run_counts& counts);

// How many times its own part of the budget an entry may use: 1 where the fleet uses up the
// budget's ratio, or where too little is known.
double budget_multiple(const repeat_reports& reports, double ratio, base::instant now);

}  // namespace dandelionridge::policy
