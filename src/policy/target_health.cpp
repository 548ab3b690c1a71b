#include "policy/target_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dandelionridge::policy {

namespace {

// Part of their requests that sound and failing targets fail.
constexpr double failures_of_sound = 0.012;
constexpr double failures_of_failing = 0.85;

// Suspicion moves to the usual one with this time.
constexpr double memory_s = 6;

constexpr double least_suspicion = 0.01;
constexpr double most_suspicion = 0.97;
constexpr double eject_above = 0.5;
constexpr double readmit_below = 0.3;

constexpr base::duration hold_off = base::milliseconds(1100);
// A target without idempotent requests is tried with others after this much more time.
constexpr base::duration other_trial_wait = base::milliseconds(500);

double updated(double suspicion, run_outcome outcome) {
    const bool failed = outcome == run_outcome::failed;
    const double if_failing = failed ? failures_of_failing : 1 - failures_of_failing;
    const double if_sound = failed ? failures_of_sound : 1 - failures_of_sound;
    const double failing = suspicion * if_failing;
    const double sound = (1 - suspicion) * if_sound;
    return std::clamp(failing / (failing + sound), least_suspicion, most_suspicion);
}

void eject(target_health& health, base::instant now) {
    health.state_ = health_state::ejected;
    health.trial_starts_at_ = now + hold_off;
    health.trial_running_ = false;
}

}  // namespace

double decayed_suspicion(double suspicion, base::duration age) {
    const std::chrono::duration<double> passed = age;
    const double kept = std::exp(-std::max(0.0, passed.count()) / memory_s);
    return prior_suspicion + (suspicion - prior_suspicion) * kept;
}

bool record_outcome(target_health& health, run_outcome outcome, base::instant now) {
    health.suspicion_ =
        updated(decayed_suspicion(health.suspicion_, now - health.updated_at_), outcome);
    health.updated_at_ = now;
    switch (health.state_) {
        case health_state::healthy:
            if (health.suspicion_ <= eject_above) {
                return false;
            }
            eject(health, now);
            return true;
        case health_state::ejected:
            // A run that began before the ejection.
            return false;
        case health_state::on_trial:
            break;
    }
    health.trial_running_ = false;
    if (outcome == run_outcome::failed) {
        eject(health, now);
        return true;
    }
    if (health.suspicion_ >= readmit_below) {
        return false;
    }
    health.state_ = health_state::healthy;
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
    const bool long_enough = now - health.trial_starts_at_ > other_trial_wait;
    return !health.trial_running_ && (idempotent || long_enough);
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
