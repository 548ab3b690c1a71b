#include "policy/retry.h"

#include <algorithm>

#include "policy/run_estimate.h"

namespace dandelionridge::policy {

namespace {

constexpr int intervals_per_window = 20;

// Multiple of the expected duration that few runs of a sound target exceed.
constexpr int overdue_factor = 4;

// Maximum wait for a target proxy whose link was lost, if the request is idempotent.
constexpr base::duration max_idempotent_resolution_wait = base::seconds(2);

// Part of its share of the slack that a process may use from its start.
constexpr double initial_slack_share = 0.3;

// Share of the budget that only nested requests may use.
constexpr double nested_reserve_share = 0.3;

// Returns true if another attempt cannot cause a second run that the request does not allow.
bool retry_is_safe(const retry_context& context) {
    if (context.idempotent_) {
        return true;
    }
    return context.outcome_ == attempt_outcome::not_run && !context.may_have_run_before_;
}

// Returns true if another attempt can be sent, is allowed by the route and can end in time if it is
// sent after `delay`.
bool retry_is_feasible(const retry_context& context, base::duration delay) {
    const bool attempts_left = context.budget_exempt_ || context.attempts_ < context.max_attempts_;
    const bool target_left = (context.other_target_ && attempts_left) || context.same_target_;
    const base::duration run_time_left = context.time_left_ - context.reserved_time_ - delay;
    return context.replayable_ && target_left &&
           run_time_left > std::max(context.run_duration_, context.min_time_left_);
}

// Returns true if the attempt most likely goes on, and another one can still be sent if its status
// says otherwise.
bool status_comes_first(const retry_context& context) {
    return context.outcome_ == attempt_outcome::in_doubt &&
           context.status_due_in_ > base::duration::zero() &&
           retry_is_feasible(context, context.status_due_in_);
}

// Returns the interval that contains `now`, which is added if there is none, and evicts those that
// lie entirely before the window.
retry_budget::interval& interval_at(retry_budget& budget, const retry_limits& limits,
                                    base::instant now) {
    const base::duration length = limits.window_ / intervals_per_window;
    while (!budget.intervals_.empty() &&
           now - budget.intervals_.front().started_at_ >= limits.window_ + length) {
        budget.intervals_.pop_front();
    }
    if (budget.intervals_.empty() || now - budget.intervals_.back().started_at_ >= length) {
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

double usable_slack_share(base::duration age, base::duration window) {
    if (age >= window) {
        return 1;
    }
    const double part = static_cast<double>(age.count()) / static_cast<double>(window.count());
    return std::max(initial_slack_share, part);
}

base::duration overdue_after(base::duration run_duration) {
    return overdue_run_time(run_duration, overdue_factor);
}

base::duration resolution_wait(bool idempotent, base::duration time_left) {
    return idempotent ? std::min<base::duration>(time_left, max_idempotent_resolution_wait)
                      : time_left;
}

base::duration next_decision_after(bool idempotent, base::duration wait_left) {
    return idempotent ? std::min<base::duration>(wait_left, decision_interval) : wait_left;
}

double usable_budget_share(bool nested) {
    return nested ? 1 : 1 - nested_reserve_share;
}

bool can_ever_retry(const retry_limits& limits, double share) {
    return share * limits.ratio_ > 0 || share * limits.slack_ + limits.rounding_ >= 1;
}

bool has_budget(const retry_budget& budget, const retry_limits& limits, double share,
                base::instant now) {
    double requests = 0;
    double retries = budget.reserved_;
    const base::duration length = limits.window_ / intervals_per_window;
    // The bound must hold for every window, so an interval that lies only partly within the window
    // counts with its retries but not with its requests.
    for (const retry_budget::interval& interval : budget.intervals_) {
        const base::duration age = now - interval.started_at_;
        requests += age < limits.window_ ? interval.requests_ : 0;
        retries += age < limits.window_ + length ? interval.retries_ : 0;
    }
    return retries + 1 <= share * (limits.ratio_ * requests + limits.slack_) + limits.rounding_;
}

double retries_allowed_within(const retry_budget& budget, const retry_limits& limits, double share,
                              base::duration time, base::instant now) {
    double requests = 0;
    double retries_left = budget.reserved_;
    for (const retry_budget::interval& interval : budget.intervals_) {
        const base::duration age = now - interval.started_at_;
        requests += age < limits.window_ ? interval.requests_ : 0;
        retries_left += age + time < limits.window_ ? interval.retries_ : 0;
    }
    const double allowed = share * (limits.ratio_ * requests + limits.slack_) + limits.rounding_;
    return std::max(0.0, allowed - retries_left);
}

bool claim_retry(retry_budget& budget, const retry_limits& limits, double share,
                 base::instant now) {
    if (!has_budget(budget, limits, share, now)) {
        return false;
    }
    interval_at(budget, limits, now).retries_ += 1;
    return true;
}

retry_reservation::retry_reservation(retry_budget& budget, const retry_limits& limits, double share,
                                     base::instant now) {
    if (has_budget(budget, limits, share, now)) {
        budget.reserved_ += 1;
        budget_ = &budget;
    }
}

retry_reservation::~retry_reservation() {
    if (budget_ != nullptr) {
        budget_->reserved_ -= 1;
    }
}

void retry_reservation::use(const retry_limits& limits, base::instant now) {
    if (budget_ == nullptr) {
        return;
    }
    budget_->reserved_ -= 1;
    interval_at(*budget_, limits, now).retries_ += 1;
    budget_ = nullptr;
}

bool may_retry_within_budget(const retry_context& context) {
    return retry_is_safe(context) && retry_is_feasible(context, base::duration::zero());
}

bool may_borrow_retry(const retry_context& context, retry_decision decision) {
    return decision != retry_decision::retry && decision != retry_decision::wait &&
           context.slot_free_ && may_retry_within_budget(context);
}

// Returns true if the budget will most likely allow a retry while it can still end in time, after
// those of the requests that wait already. One request may wait for what further requests add.
bool budget_will_suffice(const retry_budget& budget, const retry_limits& limits,
                         const retry_context& context, base::instant now) {
    const double share = usable_budget_share(context.nested_);
    if (!can_ever_retry(limits, share)) {
        return false;
    }
    const base::duration wait = context.time_left_ - context.reserved_time_ - context.run_duration_;
    const double allowed = retries_allowed_within(budget, limits, share, wait, now);
    return static_cast<double>(context.budget_waiters_) + 1 <= std::max(1.0, allowed);
}

retry_decision decide_retry(retry_budget& budget, const retry_limits& limits,
                            const retry_context& context, base::instant now) {
    const double share = usable_budget_share(context.nested_);
    if (status_comes_first(context)) {
        return retry_decision::wait;
    }
    const bool possible = may_retry_within_budget(context);
    const bool covered = context.budget_exempt_ || context.retry_reserved_;
    if (possible && (covered || claim_retry(budget, limits, share, now))) {
        return retry_decision::retry;
    }
    if (context.outcome_ == attempt_outcome::failed) {
        return retry_decision::forward_failure;
    }
    if (context.outcome_ == attempt_outcome::in_doubt &&
        context.time_left_ > base::duration::zero()) {
        return retry_decision::wait;
    }
    if (possible && context.outcome_ == attempt_outcome::unknown && !context.target_failed_ &&
        budget_will_suffice(budget, limits, context, now)) {
        return retry_decision::await_budget;
    }
    const bool not_run =
        context.outcome_ == attempt_outcome::not_run && !context.may_have_run_before_;
    return not_run ? retry_decision::refuse_not_run : retry_decision::refuse_unknown;
}

}  // namespace dandelionridge::policy
