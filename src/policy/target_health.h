// Detects targets that pass their health checks and yet fail their requests.
//
// Pattern: outlier ejection by Bayesian inference. A target is modelled as either healthy or
// failing, and may change between the two at any time. Each outcome of a run updates the
// probability that it is failing at present. Above one half the target is ejected for a time that
// grows with each trial that fails, after which idempotent requests test it one at a time.
#pragma once

#include <optional>
#include <string_view>

#include "base/clock.h"

namespace dandelionridge::policy {

// A healthy target accepts all requests. Of requests that do not have allow_ejected set, an ejected
// target accepts none, and a target on trial accepts one at a time.
enum class health_state { healthy, ejected, on_trial };

std::string_view to_text(health_state state);

// Probability that a target is failing while nothing is known of it.
inline constexpr double prior_suspicion = 0.25;

struct target_health {
    health_state state_ = health_state::healthy;
    // Probability that the target is failing, as of updated_at_.
    double suspicion_ = prior_suspicion;
    base::instant updated_at_{};
    // End of the ejection.
    base::instant trial_starts_at_{};
    // Trials that have failed since the target was last healthy.
    int failed_trials_ = 0;
    // A trial request is in flight.
    bool trial_running_ = false;
    // The last failure, if no run has succeeded since.
    std::optional<base::instant> failed_at_;
};

enum class run_outcome { succeeded, failed };

// Returns the suspicion after `age` without any outcome: it decays towards prior_suspicion, since
// the target may have changed.
double decayed_suspicion(double suspicion, base::duration age);

// Records the outcome of a run. Returns true if the state changed.
bool record_outcome(target_health& health, run_outcome outcome, base::instant now);

// Puts an ejected target on trial when its ejection has ended. Returns true if the state changed.
bool update_health(target_health& health, base::instant now);

// Returns true if the target accepts a request that does not have allow_ejected set.
bool accepts(const target_health& health, bool idempotent, base::instant now);

// Returns true if a request that is not idempotent should go to another target if one takes it: the
// last run has failed, too few failures are known to eject the target, and a read can find out
// whether it is failing at the cost of a retry only.
bool defers_non_idempotent(const target_health& health, base::instant now);

// Records that a request goes to the target. No effect unless the target is on trial.
void begin_trial(target_health& health);

// Records that the trial request ended without showing whether the target is failing.
void end_trial(target_health& health);

}  // namespace dandelionridge::policy
