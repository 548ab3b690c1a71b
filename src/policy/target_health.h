// Whether a target that answers its health checks fails its requests all the same.
//
// Pattern: outlier ejection by Bayesian evidence. A target is sound or failing, and changes between
// the two by itself. Each outcome moves the probability that it is failing at present; above one
// half it is ejected for a hold-off, after which single idempotent requests try it out.
#pragma once

#include "base/clock.h"

namespace dandelionridge::policy {

enum class health_state { healthy, ejected, on_trial };

// Probability that a target of which nothing is known is failing.
inline constexpr double prior_suspicion = 0.25;

struct target_health {
    health_state state_ = health_state::healthy;
    // Probability that the target is failing, as of updated_at_.
    double suspicion_ = prior_suspicion;
    base::instant updated_at_{};
    base::instant trial_starts_at_{};
    bool trial_running_ = false;
};

enum class run_outcome { succeeded, failed };

// The probability after a time in which nothing was heard: the evidence fades.
double decayed_suspicion(double suspicion, base::duration age);

// Takes note of the outcome of a run. Returns true if the state changed.
bool record_outcome(target_health& health, run_outcome outcome, base::instant now);

// Moves on with time: an ejected target comes on trial. Returns true if the state changed.
bool update_health(target_health& health, base::instant now);

// True if a request may go there now without need.
bool accepts(const target_health& health, bool idempotent, base::instant now);

// A request goes to a target that is on trial.
void begin_trial(target_health& health);

// That request ended without telling anything.
void end_trial(target_health& health);

}  // namespace dandelionridge::policy
