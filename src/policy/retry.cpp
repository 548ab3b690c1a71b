#include "policy/retry.h"

namespace dandelionridge::policy {

namespace {

constexpr int intervals_a_window = 20;

// Part of the budget that only nested requests may use.
constexpr double nested_reserve = 0.3;

bool may_run_again(const retry_context& question) {
    if (question.idempotent_) {
        return true;
    }
    return question.outcome_ == attempt_outcome::not_run && !question.maybe_ran_before_;
}

bool can_run_again(const retry_context& question) {
    const bool allowed = question.budget_exempt_ || question.attempts_ < question.max_attempts_;
    return question.replayable_ && question.other_target_ && allowed &&
           question.time_left_ > question.run_duration_;
}

// The interval of the present time; those that the window has left whole are dropped.
retry_budget::interval& interval_at(retry_budget& budget, const retry_limits& limits,
                                    base::instant now) {
    const base::duration length = limits.window_ / intervals_a_window;
    while (!budget.intervals_.empty() &&
           now - budget.intervals_.front().began_ >= limits.window_ + length) {
        budget.intervals_.pop_front();
    }
    if (budget.intervals_.empty() || now - budget.intervals_.back().began_ >= length) {
        budget.intervals_.push_back({now, 0, 0});
    }
    return budget.intervals_.back();
}

}  // namespace

void record_request(retry_budget& budget, const retry_limits& limits, double repeat_probability,
                    base::instant now) {
    retry_budget::interval& interval = interval_at(budget, limits, now);
    interval.requests_ += 1;
    interval.retries_ += repeat_probability;
}

double usable_budget_share(bool nested) {
    return nested ? 1 : 1 - nested_reserve;
}

bool has_budget(const retry_budget& budget, const retry_limits& limits, double part,
                base::instant now) {
    double requests = 0;
    double retries = 0;
    const base::duration length = limits.window_ / intervals_a_window;
    // An interval that lies partly within the window counts with its retries, not its requests.
    for (const retry_budget::interval& one : budget.intervals_) {
        const base::duration age = now - one.began_;
        requests += age < limits.window_ ? one.requests_ : 0;
        retries += age < limits.window_ + length ? one.retries_ : 0;
    }
    return retries + 1 <= part * (limits.ratio_ * requests + limits.slack_);
}

retry_decision decide_retry(retry_budget& budget, const retry_limits& limits,
                            const retry_context& context, base::instant now) {
    const double part = usable_budget_share(context.nested_);
    if (may_run_again(context) && can_run_again(context) &&
        (context.budget_exempt_ || has_budget(budget, limits, part, now))) {
        if (!context.budget_exempt_) {
            interval_at(budget, limits, now).retries_ += 1;
        }
        return retry_decision::retry;
    }
    if (context.outcome_ == attempt_outcome::failed) {
        return retry_decision::forward_failure;
    }
    if (context.outcome_ == attempt_outcome::in_doubt &&
        context.time_left_ > base::duration::zero()) {
        return retry_decision::wait;
    }
    const bool not_run = context.outcome_ == attempt_outcome::not_run && !context.maybe_ran_before_;
    return not_run ? retry_decision::refuse_not_run : retry_decision::refuse_unknown;
}

}  // namespace dandelionridge::policy
