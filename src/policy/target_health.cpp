#include "policy/target_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dandelionridge::policy {

namespace {

// Fraction of their requests that healthy and failing targets fail.
constexpr double healthy_failure_rate = 0.012;
constexpr double failing_failure_rate = 0.85;

// Time constant with which suspicion decays towards prior_suspicion.
constexpr double suspicion_decay_s = 6;

constexpr double min_suspicion = 0.01;
constexpr double max_suspicion = 0.97;
constexpr double eject_threshold = 0.5;
constexpr double readmit_threshold = 0.3;

// Duration of an ejection. It grows with each failed trial, since each costs a retry. At most, a
// target that has recovered is tested after about two seconds.
constexpr base::duration first_ejection_duration = base::milliseconds(1100);
constexpr base::duration ejection_growth = base::milliseconds(450);
constexpr base::duration max_ejection_duration = base::seconds(2);
// Time on trial after which a target accepts other requests as well, in case no idempotent request
// has come to test it.
constexpr base::duration non_idempotent_trial_delay = base::milliseconds(500);

// Time after a failure for which requests that are not idempotent go elsewhere. Short of the time
// in which a target without requests counts as unused, since its service may have no others.
constexpr base::duration deferral_time = base::seconds(1);

// Returns the suspicion after an outcome by Bayes' rule, clamped to the bounds above.
double posterior_suspicion(double suspicion, run_outcome outcome) {
    const bool failed = outcome == run_outcome::failed;
    const double likelihood_failing = failed ? failing_failure_rate : 1 - failing_failure_rate;
    const double likelihood_healthy = failed ? healthy_failure_rate : 1 - healthy_failure_rate;
    const double joint_failing = suspicion * likelihood_failing;
    const double joint_healthy = (1 - suspicion) * likelihood_healthy;
    return std::clamp(joint_failing / (joint_failing + joint_healthy), min_suspicion,
                      max_suspicion);
}

base::duration ejection_duration(int failed_trials) {
    return std::min<base::duration>(first_ejection_duration + failed_trials * ejection_growth,
                                    max_ejection_duration);
}

void eject(target_health& health, base::instant now) {
    health.state_ = health_state::ejected;
    health.trial_starts_at_ = now + ejection_duration(health.failed_trials_);
    health.trial_running_ = false;
}

}  // namespace

std::string_view to_text(health_state state) {
    switch (state) {
        case health_state::healthy:
            return "healthy";
        case health_state::ejected:
            return "ejected";
        case health_state::on_trial:
            break;
    }
    return "on_trial";
}

double decayed_suspicion(double suspicion, base::duration age) {
    const std::chrono::duration<double> elapsed = age;
    const double remaining = std::exp(-std::max(0.0, elapsed.count()) / suspicion_decay_s);
    return prior_suspicion + (suspicion - prior_suspicion) * remaining;
}

bool record_outcome(target_health& health, run_outcome outcome, base::instant now) {
    health.suspicion_ = posterior_suspicion(
        decayed_suspicion(health.suspicion_, now - health.updated_at_), outcome);
    health.updated_at_ = now;
    health.failed_at_ = outcome == run_outcome::failed ? std::optional(now) : std::nullopt;
    switch (health.state_) {
        case health_state::healthy:
            if (health.suspicion_ <= eject_threshold) {
                return false;
            }
            eject(health, now);
            return true;
        case health_state::ejected:
            // The run began before the ejection.
            return false;
        case health_state::on_trial:
            break;
    }
    health.trial_running_ = false;
    if (outcome == run_outcome::failed) {
        ++health.failed_trials_;
        eject(health, now);
        return true;
    }
    if (health.suspicion_ >= readmit_threshold) {
        return false;
    }
    health.state_ = health_state::healthy;
    health.failed_trials_ = 0;
    return true;
}

bool update_health(target_health& health, base::instant now) {
    if (health.state_ != health_state::ejected || now < health.trial_starts_at_) {
        return false;
    }
    health.state_ = health_state::on_trial;
    return true;
}

bool accepts(const target_health& health, bool idempotent, base::instant now) {
    switch (health.state_) {
        case health_state::healthy:
            return true;
        case health_state::ejected:
            return false;
        case health_state::on_trial:
            break;
    }
    const bool open_to_all = now - health.trial_starts_at_ > non_idempotent_trial_delay;
    return !health.trial_running_ && (idempotent || open_to_all);
}

bool defers_non_idempotent(const target_health& health, base::instant now) {
    return health.state_ == health_state::healthy && health.failed_at_ &&
           now - *health.failed_at_ < deferral_time;
}

void begin_trial(target_health& health) {
    if (health.state_ == health_state::on_trial) {
        health.trial_running_ = true;
    }
}

void end_trial(target_health& health) {
    health.trial_running_ = false;
}

}  // namespace dandelionridge::policy
